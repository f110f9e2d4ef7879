//! What an endpoint says about its limit, and which of two statements is in force.

use crate::limit::Rate;

/// `Statement` holds what one answer of an endpoint says about its limit. The endpoint wrote it between the two times.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Statement {
    /// The limit that the answer names; `None` if it names none.
    pub rate: Option<Rate>,
    /// When the request was sent, in ms.
    pub sent_ms: u64,
    /// When the answer arrived, in ms.
    pub received_ms: u64,
}

impl Statement {
    /// Returns whether it takes the place of another statement of the same endpoint.
    ///
    /// Answers may overtake each other. Where it is not certain which one was written later, the lower limit is in force until
    /// the answer to a request that was sent afterwards.
    pub fn supersedes(&self, known: &Self) -> bool {
        if self.sent_ms > known.received_ms {
            return true;
        }
        let may_be_later = self.received_ms >= known.sent_ms;
        let is_lower = self.highest() < known.highest();
        let confirms = self.rate == known.rate && self.received_ms > known.received_ms;
        may_be_later && (is_lower || confirms)
    }

    /// Returns the number of requests in 1,000 s, for comparisons.
    fn highest(&self) -> u64 {
        self.rate.map_or(u64::MAX, Rate::per_1000_s)
    }
}
