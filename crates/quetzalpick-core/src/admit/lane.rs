//! The waiting requests of one workspace.
