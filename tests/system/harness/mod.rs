//! Starts a system of three VMs, calls it, and ends everything that it started.

mod caller;
mod process;
mod system;

pub(crate) use caller::{Caller, TOKENS, chat, expected};
pub(crate) use system::{Ctl, Settings, System, VMS, until};
