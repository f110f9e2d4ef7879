//! A workspace's rate and burst, divided over VMs that ask a leader.
//!
//! A part of each rate is divided evenly over all VMs that may be alive, and needs nobody's word: the floor. The leader lends
//! the rest for short times to the VMs that are asked for more. Whatever is lent at a time adds up to no more than that rest.

mod allocator;
mod slice;

pub use allocator::{Allocator, Loan, Options, Question};
pub use slice::Slice;

use crate::record::PARTS_TOTAL;

/// `Parts` is a part of a rate and burst, in parts of `PARTS_TOTAL`.
pub type Parts = u64;

/// Returns the floor of one of `members` VMs, where floors take `floor_permille` of the whole.
pub fn floor(members: usize, floor_permille: u64) -> Parts {
    let members = u64::try_from(members.max(1)).unwrap_or(u64::MAX);
    PARTS_TOTAL / 1_000 * floor_permille.min(1_000) / members
}
