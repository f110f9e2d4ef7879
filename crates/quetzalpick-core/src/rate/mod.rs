//! Divides a workspace's rate and burst between all VMs and the leader.
//!
//! A part of each rate, the floors, is divided evenly between all VMs that may be alive and is used without coordination. The
//! leader holds the rest; a VM draws from it when its own bucket runs short. Drawn units are spent once, and every bucket starts
//! empty, so that a restarted VM or a new leader never adds to what the workspace may spend.

mod bucket;
mod overdraft;

pub use bucket::Bucket;
pub use overdraft::Overdraft;

use crate::record::PARTS_TOTAL;

/// `Parts` is a share of a rate and burst, as a number of parts out of `PARTS_TOTAL`.
pub type Parts = u64;

/// Returns the floor of one of `members` VMs when all floors together are `floor_permille` of the total.
pub fn floor(members: usize, floor_permille: u64) -> Parts {
    let members = u64::try_from(members.max(1)).unwrap_or(u64::MAX);
    total_floor(floor_permille) / members
}

/// Returns the leader's share when all floors together are `floor_permille` of the total.
pub fn leader_part(floor_permille: u64) -> Parts {
    PARTS_TOTAL - total_floor(floor_permille)
}

fn total_floor(floor_permille: u64) -> Parts {
    PARTS_TOTAL / 1_000 * floor_permille.min(1_000)
}
