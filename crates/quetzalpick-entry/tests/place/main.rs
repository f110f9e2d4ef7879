//! The planner against engines whose answers are lost, whose orders take effect late, and whose reports lag.

mod engine;
mod limits;
mod moves;
mod world;
