//! Settings in TOML: read as a whole, with every problem listed.

mod problem;
mod reader;
pub mod sections;

pub use problem::{Problem, Problems};
pub use reader::{Reader, Section, load, print_default};
