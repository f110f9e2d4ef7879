//! Settings files in TOML, checked as a whole with every problem reported.

pub mod command;
mod problem;
mod reader;
pub mod sections;
mod source;

pub use problem::{Problem, Problems};
pub use reader::{Reader, Section, load, print_default};
pub use source::Source;
