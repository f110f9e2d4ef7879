//! A workspace's rate and burst, divided over VMs and a leader.
//!
//! A part of each rate is divided evenly over all VMs that may be alive, and needs nobody's word: the floors. The rest is kept
//! by the leader, from whom a VM draws when its own bucket is short. What was drawn is spent once, and every bucket begins
//! empty, so that a VM that restarts, or a new leader, never adds to what the workspace may spend.

mod bucket;
mod overdraft;

pub use bucket::Bucket;
pub use overdraft::Overdraft;

use crate::record::PARTS_TOTAL;

/// `Parts` is a part of a rate and burst, in parts of `PARTS_TOTAL`.
pub type Parts = u64;

/// Returns the floor of one of `members` VMs, where floors take `floor_permille` of the whole.
pub fn floor(members: usize, floor_permille: u64) -> Parts {
    let members = u64::try_from(members.max(1)).unwrap_or(u64::MAX);
    floors(floor_permille) / members
}

/// Returns what the leader keeps, where floors take `floor_permille` of the whole.
pub fn leader_part(floor_permille: u64) -> Parts {
    PARTS_TOTAL - floors(floor_permille)
}

fn floors(floor_permille: u64) -> Parts {
    PARTS_TOTAL / 1_000 * floor_permille.min(1_000)
}
