//! What an endpoint says of what it takes, and which of two statements is in force.

/// `Statement` holds what one answer of an endpoint says of something that it takes, such as a rate. The endpoint wrote it between the
/// two times.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Statement<T> {
    /// What the answer names; `None` if it names nothing, and the endpoint takes anything.
    pub value: Option<T>,
    /// When the request was sent, in ms.
    pub sent_ms: u64,
    /// When the answer arrived, in ms.
    pub received_ms: u64,
}

impl<T: Copy + Ord> Statement<T> {
    /// Returns whether it takes the place of another statement of the same endpoint.
    ///
    /// Answers may overtake each other. Where it is not certain which one was written later, the lower value is in force until
    /// the answer to a request that was sent afterwards.
    pub fn supersedes(&self, known: &Self) -> bool {
        if self.sent_ms > known.received_ms {
            return true;
        }
        let may_be_later = self.received_ms >= known.sent_ms;
        let is_lower = self.rank() < known.rank();
        let confirms = self.value == known.value && self.received_ms > known.received_ms;
        may_be_later && (is_lower || confirms)
    }

    /// Returns the value for comparisons: none is the highest.
    fn rank(&self) -> (bool, Option<T>) {
        (self.value.is_none(), self.value)
    }
}
