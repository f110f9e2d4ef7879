//! This VM's link to the endpoints: whether it sends to them itself or through other VMs.

mod monitor;
mod state;

pub(crate) use monitor::Monitor;
pub(crate) use state::Link;
