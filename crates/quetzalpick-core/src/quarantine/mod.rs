//! Prompt parts that crash endpoints: how they are found, and which requests are not sent any more.
//!
//! Each VM keeps a `Witness` and reports its crashes and answers to the leader. The leader's `Investigation` asks all VMs about the
//! suspects and quarantines the part that explains the crashes. A VM does not send requests with a quarantined part.
//!
//! A VM reports at once when it has seen a crash, and when a reply names a new suspect that it has seen answered. Where many VMs
//! report at long intervals, answers would otherwise come too late to clear sound parts.

mod answered;
mod blocklist;
mod crash;
mod decision;
mod investigation;
mod options;
mod part;
mod rows;
mod witness;

pub use answered::Answered;
pub use crash::Crash;
pub use decision::Decision;
pub use investigation::Investigation;
pub use options::Options;
pub use part::Part;
pub use witness::Witness;
