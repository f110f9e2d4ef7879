//! This gate's shares of the workspaces' rates and bursts: charging, gathering from peers, and keeping in step.

mod charged;
mod keep;
mod peer;
mod shares;

pub(crate) use charged::Charged;
pub(crate) use keep::{hand_over, keep};
pub(crate) use peer::{Answerer, Peers};
pub(crate) use shares::{Gather, Shares};
