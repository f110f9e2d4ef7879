//! Detection of duplicate transfers from one donor.

/// Maximum number of transfers from one donor to one receiver that may be unanswered at once.
pub(crate) const WINDOW: u64 = 64;

/// `ReplayWindow` stores which transfer numbers of a donor were accepted, in constant space.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct ReplayWindow {
    /// Start of the window; every lower number is answered.
    next: u64,
    /// Bit `n` is set if number `next + n` was accepted.
    accepted: u64,
}

impl ReplayWindow {
    /// Moves the window up to the donor's lowest unanswered number.
    pub(crate) fn advance(&mut self, oldest: u64) {
        if oldest > self.next {
            let shift = u32::try_from(oldest - self.next).unwrap_or(u32::MAX);
            self.accepted = self.accepted.checked_shr(shift).unwrap_or(0);
            self.next = oldest;
        }
        self.normalize();
    }

    /// Returns whether a number was accepted or its answer has reached the donor.
    pub(crate) fn is_duplicate(&self, number: u64) -> bool {
        number < self.next
            || (self.is_in_window(number) && self.accepted >> (number - self.next) & 1 == 1)
    }

    /// Returns whether a number is in the window and can be recorded.
    pub(crate) fn is_in_window(&self, number: u64) -> bool {
        number >= self.next && number - self.next < WINDOW
    }

    /// Records an accepted number, which must be in the window.
    pub(crate) fn record(&mut self, number: u64) {
        self.accepted |= 1 << (number - self.next);
        self.normalize();
    }

    /// Moves past the leading numbers that were accepted without a gap.
    fn normalize(&mut self) {
        let run = self.accepted.trailing_ones();
        self.accepted = self.accepted.checked_shr(run).unwrap_or(0);
        self.next += u64::from(run);
    }
}
