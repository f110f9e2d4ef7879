//! State derived by the fold: every VM applies the same entries in offset order and reaches the same state.

mod catalog;
mod claims;
mod decide;
mod fold;
mod ledger;
mod outcome;
mod recent;
mod roster;
mod shares;
mod snapshot;

pub use catalog::{Catalog, Target, is_plain};
pub use claims::{ActiveClaim, Claims};
pub use fold::{Leadership, State};
pub use ledger::{Account, Ledger, OpenIntent};
pub use outcome::{Outcome, Reason};
pub use roster::{Membership, Roster};
pub use shares::{Grant, Shares};
pub use snapshot::Snapshot;
