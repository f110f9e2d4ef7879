//! Requests that crash endpoints: what they have in common, how it is found, and which requests are not sent any more.
//!
//! Each VM keeps a `Witness` and reports its crashes and answers to the leader. The leader's `Investigation` asks all VMs about the
//! suspects and quarantines the feature that explains the crashes. A VM does not send requests with a quarantined feature.
//!
//! A VM reports at once when it has seen a crash, and when a reply names a new suspect that it has seen answered. Where many VMs
//! report at long intervals, answers would otherwise come too late to clear sound features.

mod answered;
mod blocklist;
mod crash;
mod decision;
mod feature;
mod investigation;
mod options;

mod rows;
mod witness;

pub use answered::Answered;
pub use crash::Crash;
pub use decision::Decision;
pub use feature::Feature;
pub use investigation::Investigation;
pub use options::Options;

pub use witness::Witness;
