//! The command line.

mod arguments;
mod parse;
mod run;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

pub use arguments::command;
pub use run::run;

/// Free port of the loopback address, on which stand-ins listen unless told otherwise.
pub(crate) const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
