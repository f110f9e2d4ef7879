//! The retry budget, which bounds how much retries add to the load.

/// Milliseconds in one second.
const MS_PER_S: u64 = 1_000;

/// Thousandths of a retry in one retry.
const WHOLE: u64 = 1_000;

/// `Options` bound the retries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Retries allowed for each thousand first tries.
    pub ratio_permille: u64,
    /// Retries allowed per thousand seconds whatever the number of first tries.
    pub floor_per_1000_s: u64,
    /// Most retries saved up.
    pub burst: u64,
}

impl Options {
    /// Returns one of `members` VMs' part of a budget that all share: `ratio_permille` of the requests and `slack` beyond
    /// in each `window_ms`.
    ///
    /// Half of the slack comes over time and a quarter may be saved up; the rest is kept for what the VMs do not know of
    /// each other.
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

/// `Budget` counts the retries that a gate may still make.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Budget {
    options: Options,
    /// Retries saved up, in thousandths.
    saved: u64,
    /// Time of the last fill, in ms.
    filled_ms: u64,
}

impl Budget {
    /// Returns a full budget.
    pub fn new(now_ms: u64, options: Options) -> Self {
        Self {
            saved: options.burst * WHOLE,
            filled_ms: now_ms,
            options,
        }
    }

    /// Takes other bounds from now on; what was saved up beyond them is lost.
    pub fn adjust(&mut self, now_ms: u64, options: Options) {
        self.fill(now_ms);
        self.saved = self.saved.min(options.burst * WHOLE);
        self.options = options;
    }

    /// Notes a first try.
    pub fn deposit(&mut self) {
        self.add(self.options.ratio_permille);
    }

    /// Takes one retry from the budget if it holds one.
    pub fn withdraw(&mut self, now_ms: u64) -> bool {
        self.fill(now_ms);
        let granted = self.saved >= WHOLE;
        if granted {
            self.saved -= WHOLE;
        }
        granted
    }

    /// Adds what the floor has given since the last fill.
    fn fill(&mut self, now_ms: u64) {
        let elapsed = now_ms.saturating_sub(self.filled_ms);
        // Less than a thousandth of a retry is left for the next time.
        let added = elapsed.saturating_mul(self.options.floor_per_1000_s) / MS_PER_S;
        if added > 0 {
            self.filled_ms = now_ms;
            self.add(added);
        }
    }

    fn add(&mut self, thousandths: u64) {
        let most = self.options.burst * WHOLE;
        self.saved = self.saved.saturating_add(thousandths).min(most);
    }
}
