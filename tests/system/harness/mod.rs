//! Starts a system of three VMs as separate processes, sends requests to it, and kills the processes on drop.

mod caller;
mod process;
mod system;

pub(crate) use caller::{Caller, TOKENS, chat_body, expected_text};
pub(crate) use system::{CtlOutput, Settings, System, VMS, wait_until};
