//! One gate's shares of the workspaces' rates and bursts, and the transfers of shares between gates.

mod bucket;
mod charge;
mod demand;
mod donors;
mod gate;
mod headroom;
mod message;
mod pending;
mod rebalance;
mod replay_window;
mod share;

pub(crate) use bucket::Bucket;
pub use charge::{Charge, Debit};
pub use gate::{Options, Quota};
pub use message::{Ack, Answer, Hint, Peer, Transfer, TransferRequest};

/// Micro-tokens in one token.
pub const MICRO: u64 = 1_000_000;
