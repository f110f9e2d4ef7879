//! Command-line client for operators: sends one line of the command language, or runs an interactive session.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

mod arguments;
mod client;
mod errors;
mod exit;
mod render;
mod secret;
mod session;

pub use arguments::{Arguments, Output, command};
pub use client::{Client, Options};
pub use errors::{Error, Result};
pub use exit::Exit;
pub use render::render;
pub use secret::{Line, Secret};
pub use session::{run, run_line};
