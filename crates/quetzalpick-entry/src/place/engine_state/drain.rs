//! Draining of a model before it is unloaded.

use quetzalpick_core::id::Artifact;

use super::EngineState;
use crate::place::{Copy, Phase};

/// Time in which all VMs stop using a draining copy, in ms: they receive updates from the leader several times a second.
pub(crate) const DRAIN_MS: u64 = 350;

impl EngineState {
    /// Starts draining a model, so that VMs use its other copies, and reserves its memory for another model if one is given.
    pub(crate) fn drain(&mut self, now_ms: u64, model: Artifact, reserved_for: Option<Artifact>) {
        self.reserved_for = reserved_for;
        self.set_phase(now_ms, model, Phase::Draining);
    }

    /// Returns a draining copy to service and drops the reservation.
    pub(crate) fn cancel_drain(&mut self, now_ms: u64, model: Artifact) {
        self.reserved_for = None;
        self.set_phase(now_ms, model, Phase::Held);
    }

    /// Returns the model that is being drained.
    pub(crate) fn draining(&self) -> Option<&Artifact> {
        self.draining_copy().map(|copy| &copy.artifact)
    }

    /// Returns the draining model if VMs have had enough time to stop using it.
    pub(crate) fn drained(&self, now_ms: u64) -> Option<&Artifact> {
        let is_due = |copy: &&Copy| now_ms >= copy.since_ms + DRAIN_MS;
        self.draining_copy()
            .filter(is_due)
            .map(|copy| &copy.artifact)
    }

    /// Returns the copy that is being drained.
    fn draining_copy(&self) -> Option<&Copy> {
        let is_draining = |copy: &&Copy| copy.phase == Phase::Draining;
        self.copies.iter().find(is_draining)
    }
}
