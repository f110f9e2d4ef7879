//! This VM's link to the endpoints: whether it sends to them itself or through other VMs.

mod monitor;
mod state;

use std::time::Duration;

pub(crate) use monitor::Monitor;
pub(crate) use state::Link;

/// Timeout for a connection to an endpoint.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
