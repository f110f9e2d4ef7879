//! Recent demand that halves at a fixed interval.
