//! The receiver's memory of one donor's transfers.

/// Transfers from one donor to one receiver that may be unanswered at once.
pub(crate) const WINDOW: u64 = 64;

/// `Receiver` remembers which numbers it took, in constant space.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Receiver {
    /// Every number below is answered.
    next: u64,
    /// Bit `n` tells whether number `next + n` was taken.
    taken: u64,
}

impl Receiver {
    /// Passes over numbers below the donor's oldest unanswered one.
    pub(crate) fn advance(&mut self, oldest: u64) {
        if oldest > self.next {
            let shift = u32::try_from(oldest - self.next).unwrap_or(u32::MAX);
            self.taken = self.taken.checked_shr(shift).unwrap_or(0);
            self.next = oldest;
        }
        self.normalize();
    }

    /// Tells whether a number was taken or its answer has reached the donor.
    pub(crate) fn has_taken(&self, number: u64) -> bool {
        number < self.next || (self.fits(number) && self.taken >> (number - self.next) & 1 == 1)
    }

    /// Tells whether a number can be remembered.
    pub(crate) fn fits(&self, number: u64) -> bool {
        number >= self.next && number - self.next < WINDOW
    }

    /// Remembers a number that fits.
    pub(crate) fn take(&mut self, number: u64) {
        self.taken |= 1 << (number - self.next);
        self.normalize();
    }

    /// Moves past the numbers that were taken without a gap.
    fn normalize(&mut self) {
        let run = self.taken.trailing_ones();
        self.taken = self.taken.checked_shr(run).unwrap_or(0);
        self.next += u64::from(run);
    }
}
