//! Recent demand with a fixed half-life.

/// `Demand` is a decaying sum of the amounts requested.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Demand {
    sum: u64,
    decayed_ms: u64,
}

impl Demand {
    /// Adds an amount to the decayed sum.
    pub(crate) fn add(&mut self, now_ms: u64, half_life_ms: u64, amount: u64) {
        self.decay(now_ms, half_life_ms);
        self.sum = self.sum.saturating_add(amount);
    }

    /// Returns the decayed sum as of now.
    pub(crate) fn sum(&mut self, now_ms: u64, half_life_ms: u64) -> u64 {
        self.decay(now_ms, half_life_ms);
        self.sum
    }

    /// Halves the sum for each full half-life and reduces it linearly for the remainder.
    fn decay(&mut self, now_ms: u64, half_life_ms: u64) {
        let elapsed = now_ms.saturating_sub(self.decayed_ms);
        if elapsed == 0 {
            return;
        }
        self.decayed_ms = now_ms;
        let halvings = (elapsed / half_life_ms).min(63);
        let rest = elapsed % half_life_ms;
        self.sum >>= halvings;
        let drop = u128::from(self.sum) * u128::from(rest) / u128::from(2 * half_life_ms);
        // The drop is at most half of the sum, so it fits.
        self.sum -= u64::try_from(drop).unwrap_or(self.sum);
    }
}
