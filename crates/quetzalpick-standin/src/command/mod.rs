//! Command line of `quetzalpick-standin`.

mod arguments;
mod parse;
mod run;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

pub use arguments::command;
pub use run::run;

/// Default listen address: the loopback address with a free port.
pub(crate) const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
