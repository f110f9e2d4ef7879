//! Leader election through a log with conditional appends.
//!
//! A claim or a renewal is appended only at the expected end of the log. Of two concurrent claims one fails, and the next renewal
//! of a replaced leader fails too. A restore of the log from an older copy may lose claims: what was lost is taken for the claim of a
//! leader that may still act, and the numbers of later terms lie above its own. Times are milliseconds on the VM's own clock, which keeps counting while the VM is suspended.

mod candidate;
mod claim;
mod heartbeat;
mod log_state;
mod numbering;
mod options;
mod state_machine;
mod step;
mod term;

pub use candidate::Candidate;
pub use claim::Claim;
pub use heartbeat::Heartbeat;
pub use numbering::Numbering;
pub use options::Options;
pub use state_machine::Election;
pub use step::{Appended, Step, Tail};
