//! The operators' query and command language: one grammar for the command line, the interactive mode and the operator
//! API.
//!
//! `Statement::parse` parses a line of text; `resolve` turns a command into the `Change` to append, based on the state
//! that the keeper has applied. This crate does no I/O.

#![forbid(unsafe_code)]
#![warn(rust_2018_idioms)]

mod command;
mod errors;
mod grammar;
mod query;
mod reply;
mod resolve;
mod words;

pub use command::{Action, Command, Mode, ObjectKind, Selection};
pub use errors::{Error, Result};
pub use grammar::{HELP, Statement};
pub use query::Query;
pub use reply::{Cell, Reply, Request, Table};
pub use resolve::{Resolution, resolve};
