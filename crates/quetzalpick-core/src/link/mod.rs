//! Whether a VM reaches the endpoints itself, or only through other VMs.

mod options;
mod state;

pub use options::Options;
pub use state::Link;
