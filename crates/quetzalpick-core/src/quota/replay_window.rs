//! Detection of duplicate transfers from one donor.

/// Maximum number of transfers from one donor to one receiver that may be unanswered at once.
pub(crate) const WINDOW: u64 = 64;

/// `ReplayWindow` stores which transfer numbers of a donor were accepted, in constant space.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct ReplayWindow {
    /// Lowest number in the window; every lower one is answered.
    start: u64,
    /// Bit `n` is set if number `start + n` was accepted.
    accepted: u64,
}

impl ReplayWindow {
    /// Moves the window up to the donor's lowest unanswered number.
    pub(crate) fn advance(&mut self, oldest: u64) {
        if oldest > self.start {
            let shift = u32::try_from(oldest - self.start).unwrap_or(u32::MAX);
            self.accepted = self.accepted.checked_shr(shift).unwrap_or(0);
            self.start = oldest;
        }
        self.normalize();
    }

    /// Returns whether a number was accepted or its answer has reached the donor.
    pub(crate) fn is_duplicate(&self, number: u64) -> bool {
        number < self.start
            || (self.is_in_window(number) && self.accepted >> (number - self.start) & 1 == 1)
    }

    /// Returns whether a number is in the window and can be recorded.
    pub(crate) fn is_in_window(&self, number: u64) -> bool {
        number >= self.start && number - self.start < WINDOW
    }

    /// Records an accepted number, which must be in the window.
    pub(crate) fn record(&mut self, number: u64) {
        self.accepted |= 1 << (number - self.start);
        self.normalize();
    }

    /// Moves past the leading numbers that were accepted without a gap.
    fn normalize(&mut self) {
        let run = self.accepted.trailing_ones();
        self.accepted = self.accepted.checked_shr(run).unwrap_or(0);
        self.start += u64::from(run);
    }
}
