//! Limits what VMs may admit beyond a workspace's rate and burst.

/// Share of the tolerance that VMs use while no leader answers, in thousandths; the rest allows for charges of other VMs that a
/// VM is not aware of.
const LEADERLESS_PERMILLE: u64 = 600;

/// Thousandths in one.
const PERMILLE: u128 = 1_000;

/// Milliseconds in one second.
const MS_PER_S: u128 = 1_000;

/// `Overdraft` limits what all VMs together may admit beyond a workspace's rate and burst.
///
/// It serves requests larger than a bucket's capacity; the bucket repays it before it is used again.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Overdraft {
    /// Maximum overdraft at any time, in units.
    pub units: u64,
    /// Additional share of what the rate and the burst allow within a window, in thousandths.
    pub tolerance_permille: u64,
    /// Length of the window, in ms.
    pub window_ms: u64,
}

impl Overdraft {
    /// Returns the share of one of `members` VMs, in units. While no leader answers, the leader's share of the rate is unused, so
    /// that more of the tolerance is available.
    pub fn share(&self, rate: u64, burst: u64, members: u64, leaderless: bool) -> u64 {
        let from_rate = u128::from(rate) * u128::from(self.window_ms) / MS_PER_S;
        let allowed = from_rate + u128::from(burst);
        let used_ppm = u128::from(self.tolerance_permille * LEADERLESS_PERMILLE);
        let extra = allowed * used_ppm / (PERMILLE * PERMILLE);
        let extra = if leaderless { extra } else { 0 };
        let extra = u64::try_from(extra).unwrap_or(u64::MAX);
        self.units.saturating_add(extra) / members.max(1)
    }
}
