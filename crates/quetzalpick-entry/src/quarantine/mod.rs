//! Requests that crash endpoints: what this VM has seen of them, and which requests it does not send.

mod block;
mod state;
mod update;

pub(crate) use block::{Block, Reason};
pub(crate) use state::Quarantine;
pub(crate) use update::Update;
