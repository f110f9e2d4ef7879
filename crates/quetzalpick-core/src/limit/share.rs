//! What a VM may send to an endpoint with a limit while it finds no leader.

use crate::limit::{Limit, MICRO};

/// Length of a slot, in ms.
const SLOT_MS: u64 = 250;

/// Thousandths in one.
const PERMILLE: u64 = 1_000;

/// `Share` counts a VM's requests to one endpoint by slots of time. Nothing is saved from one slot to the next: a VM's share of
/// a slot is mostly a fraction of a request, and is rounded at random to none or one, so that the sum over all VMs keeps to the
/// limit, however many there are.
#[derive(Debug, Clone, Default)]
pub struct Share {
    /// Number of the slot; `None` before the first request.
    slot: Option<u64>,
    /// Requests that may still be sent in it.
    left: u64,
}

impl Share {
    /// Takes one request from the share of one of `members` VMs. `random` must be a new random number.
    ///
    /// # Errors
    ///
    /// The time until the next slot, in ms, if the share of this one is used up.
    pub fn take(
        &mut self,
        now_ms: u64,
        limit: impl Into<Limit>,
        members: u64,
        random: u64,
    ) -> Result<(), u64> {
        let slot = now_ms / SLOT_MS;
        if self.slot != Some(slot) {
            self.slot = Some(slot);
            self.left = share(limit.into(), members, random);
        }
        if self.left == 0 {
            return Err((slot + 1) * SLOT_MS - now_ms);
        }
        self.left -= 1;
        Ok(())
    }
}

/// Returns a VM's requests in one slot.
fn share(limit: Limit, members: u64, random: u64) -> u64 {
    let all = limit.rate.micro_in(SLOT_MS) / PERMILLE * limit.spacing.leaderless_permille();
    let own = all / members.max(1);
    own / MICRO + u64::from(random % MICRO < own % MICRO)
}
