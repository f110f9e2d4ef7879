//! The retry budget, which limits the load added by retries.

/// Milliseconds in one second.
const MS_PER_S: u64 = 1_000;

/// Thousandths of a retry in one retry.
const PERMILLE: u64 = 1_000;

/// `Options` limits the number of retries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Retries allowed per thousand first attempts.
    pub ratio_permille: u64,
    /// Retries allowed per thousand seconds regardless of the number of first attempts.
    pub floor_per_1000_s: u64,
    /// Maximum number of saved retries.
    pub burst: u64,
}

impl Options {
    /// Returns the share of one of `members` VMs in a common budget, which allows `ratio_permille` of the requests plus `slack`
    /// retries in each `window_ms`.
    ///
    /// Half of the slack accrues over time and a quarter may be saved; the rest allows for retries of other VMs that a VM is not
    /// aware of.
    pub fn share(ratio_permille: u64, slack: u64, window_ms: u64, members: u64) -> Self {
        let members = members.max(1);
        Self {
            ratio_permille,
            floor_per_1000_s: slack / 2 * MS_PER_S * MS_PER_S / window_ms.max(1) / members,
            burst: (slack / 4 / members).max(1),
        }
    }
}

impl Default for Options {
    fn default() -> Self {
        Self {
            ratio_permille: 200,
            floor_per_1000_s: 5_000,
            burst: 50,
        }
    }
}

/// `Budget` tracks how many retries a gate may still make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Budget {
    options: Options,
    /// Saved retries, in thousandths.
    saved: u64,
    /// Time of the last fill, in ms.
    filled_ms: u64,
}

impl Budget {
    /// Creates a full budget.
    pub fn new(now_ms: u64, options: Options) -> Self {
        Self {
            saved: options.burst * PERMILLE,
            filled_ms: now_ms,
            options,
        }
    }

    /// Replaces the limits; saved retries beyond the new ones are dropped.
    pub fn adjust(&mut self, now_ms: u64, options: Options) {
        self.fill(now_ms);
        self.saved = self.saved.min(options.burst * PERMILLE);
        self.options = options;
    }

    /// Records a first attempt, which adds to the budget.
    pub fn deposit(&mut self) {
        self.add(self.options.ratio_permille);
    }

    /// Withdraws one retry; returns whether the budget had one.
    pub fn withdraw(&mut self, now_ms: u64) -> bool {
        self.fill(now_ms);
        let granted = self.saved >= PERMILLE;
        if granted {
            self.saved -= PERMILLE;
        }
        granted
    }

    /// Adds the floor's retries accrued since the last fill.
    fn fill(&mut self, now_ms: u64) {
        let elapsed = now_ms.saturating_sub(self.filled_ms);
        // Less than a thousandth of a retry carries over to the next fill.
        let added = elapsed.saturating_mul(self.options.floor_per_1000_s) / MS_PER_S;
        if added > 0 {
            self.filled_ms = now_ms;
            self.add(added);
        }
    }

    fn add(&mut self, thousandths: u64) {
        let most = self.options.burst * PERMILLE;
        self.saved = self.saved.saturating_add(thousandths).min(most);
    }
}
