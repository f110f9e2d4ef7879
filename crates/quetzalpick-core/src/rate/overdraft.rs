//! What VMs may let through beyond a workspace's rate and burst.

/// Part of the tolerance that VMs use while no leader answers, in thousandths; the rest is kept for what VMs do not know of each
/// other.
const LEADERLESS_PERMILLE: u64 = 600;

const WHOLE_PERMILLE: u128 = 1_000;

/// Milliseconds in one second.
const MS_PER_S: u128 = 1_000;

/// `Overdraft` is what all VMs together may let through beyond a workspace's rate and burst.
///
/// It is for requests that are larger than what a bucket can hold, and is paid back by the bucket before another one is used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Overdraft {
    /// Units at any time.
    pub units: u64,
    /// Part of what the rate and the burst allow within a window that may be let through beyond it, in thousandths.
    pub tolerance_permille: u64,
    /// Length of the window, in ms.
    pub window_ms: u64,
}

impl Overdraft {
    /// Returns the part of one of `members` VMs. While no leader answers, what the leader keeps is not used, so that more of the
    /// tolerance is left.
    pub fn share(&self, rate: u64, burst: u64, members: u64, leaderless: bool) -> u64 {
        let window = u128::from(rate) * u128::from(self.window_ms) / MS_PER_S;
        let allowed = window + u128::from(burst);
        let used = u128::from(self.tolerance_permille * LEADERLESS_PERMILLE);
        let beyond = allowed * used / (WHOLE_PERMILLE * WHOLE_PERMILLE);
        let beyond = if leaderless { beyond } else { 0 };
        let beyond = u64::try_from(beyond).unwrap_or(u64::MAX);
        self.units.saturating_add(beyond) / members.max(1)
    }
}
