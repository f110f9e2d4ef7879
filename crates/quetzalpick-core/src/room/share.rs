//! What a VM may have in flight at an endpoint while it finds no leader.

use crate::room::PERMILLE;

/// Fraction of the slots that all VMs without a leader use together, in thousandths: requests that the former leader permitted may
/// still run.
const LEADERLESS_PERMILLE: u64 = 500;

/// Returns the requests that one of `members` VMs may have in flight at an endpoint without a permit of the leader.
///
/// The share is mostly a fraction of a request, and is rounded to none or one by `random`. A VM uses one random number for as long as
/// its requests may run, so that the sum over all VMs keeps to the slots.
pub fn own_share(slots: u32, members: u64, random: u64) -> u32 {
    let own = share_permille(slots, members);
    let rounded = own / PERMILLE + u64::from(random % PERMILLE < own % PERMILLE);
    u32::try_from(rounded).unwrap_or(u32::MAX)
}

/// Returns the slots that the leader keeps for VMs that do not report to it, as they may use their shares.
pub(super) fn reserve(slots: u32, members: u64, silent: u64) -> u32 {
    let kept = share_permille(slots, members) * silent;
    u32::try_from(kept.div_ceil(PERMILLE)).unwrap_or(u32::MAX)
}

/// Returns the share of one of `members` VMs, in thousandths of a slot.
fn share_permille(slots: u32, members: u64) -> u64 {
    u64::from(slots) * LEADERLESS_PERMILLE / members.max(1)
}
