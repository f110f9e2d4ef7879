//! This gate's shares of the workspaces' rates and bursts: charging, transfers between gates, and updates from the fold.

mod gathering;
mod maintain;
mod peer;
mod questions;
mod shares;
mod token_charge;

pub(crate) use gathering::GatherLimits;
pub(crate) use maintain::{hand_over, maintain};
pub(crate) use peer::{PeerHandler, PeerTransport};
pub(crate) use shares::Shares;
pub(crate) use token_charge::TokenCharge;
