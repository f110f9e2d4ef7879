//! Some VMs' share of the requests for an endpoint.

use serde::{Deserialize, Serialize};

/// `Share` is some VMs' share of the requests for an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Requests under way there.
    pub in_flight: u32,
    /// Of these, the streams without a first token.
    pub waiting: u32,
    /// Requests for which it is the choice, each second, whether they are sent or not.
    pub offered_per_s: u32,
}

impl Share {
    /// Adds another share.
    pub fn add(&mut self, other: Self) {
        self.in_flight = self.in_flight.saturating_add(other.in_flight);
        self.waiting = self.waiting.saturating_add(other.waiting);
        self.offered_per_s = self.offered_per_s.saturating_add(other.offered_per_s);
    }

    /// Takes another share away, which was added before.
    pub fn take_away(&mut self, other: Self) {
        self.in_flight = self.in_flight.saturating_sub(other.in_flight);
        self.waiting = self.waiting.saturating_sub(other.waiting);
        self.offered_per_s = self.offered_per_s.saturating_sub(other.offered_per_s);
    }

    /// Tells whether there is nothing in it.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
