//! The retry budget, which bounds how much retries add to the load.

/// Thousandths of a retry in one retry.
const WHOLE: u64 = 1_000;

/// `Options` bound the retries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Retries allowed for each thousand first tries.
    pub ratio_permille: u64,
    /// Retries allowed per second whatever the number of first tries.
    pub floor_per_s: u64,
    /// Most retries saved up.
    pub burst: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            ratio_permille: 200,
            floor_per_s: 5,
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

    /// Adds what the floor has given since the last fill: one per second is one thousandth per ms.
    fn fill(&mut self, now_ms: u64) {
        let elapsed = now_ms.saturating_sub(self.filled_ms);
        self.filled_ms = self.filled_ms.max(now_ms);
        self.add(elapsed.saturating_mul(self.options.floor_per_s));
    }

    fn add(&mut self, thousandths: u64) {
        let most = self.options.burst * WHOLE;
        self.saved = self.saved.saturating_add(thousandths).min(most);
    }
}
