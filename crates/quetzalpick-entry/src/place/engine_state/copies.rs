//! The copies that the engine holds or is expected to hold.

use quetzalpick_core::id::Artifact;

use super::EngineState;
use crate::place::copy::is_adapter;
use crate::place::{Action, Copy, Phase};

impl EngineState {
    /// Returns the models and adapters that serve and aren't being drained, sorted.
    pub fn held(&self) -> Vec<Artifact> {
        let held = self.copies.iter().filter(|copy| copy.is_held());
        held.map(|copy| copy.artifact.clone()).collect()
    }

    /// Returns the copy of an artifact, in any phase.
    pub(crate) fn copy(&self, artifact: &Artifact) -> Option<&Copy> {
        self.copies.iter().find(|copy| copy.artifact == *artifact)
    }

    /// Returns whether an artifact serves here and isn't being drained.
    pub(crate) fn holds(&self, artifact: &Artifact) -> bool {
        self.copy(artifact).is_some_and(Copy::is_held)
    }

    /// Returns whether an artifact serves here and no order unloads it.
    pub(crate) fn will_keep(&self, artifact: &Artifact) -> bool {
        let order = self.open_order.as_ref().map(|open| &open.order);
        let unloads = order.is_some_and(|order| {
            let concerns = order.artifact() == artifact || order.model == *artifact;
            order.action == Action::Unload && order.adapter.is_none() && concerns
        });
        !unloads && self.holds(artifact)
    }

    /// Returns whether an artifact serves here or is expected to.
    pub(crate) fn will_hold(&self, artifact: &Artifact) -> bool {
        let order = self.open_order.as_ref().map(|open| &open.order);
        let concerned = order.filter(|order| order.artifact() == artifact);
        if let Some(order) = concerned {
            return order.action == Action::Load;
        }
        let is_reserved = self.reserved_for.as_ref() == Some(artifact);
        is_reserved || self.copy(artifact).is_some_and(Copy::is_expected)
    }

    /// Returns the models that serve here.
    pub(crate) fn held_models(&self) -> impl Iterator<Item = &Artifact> {
        let held = self.copies.iter().filter(|copy| copy.is_held());
        let models = held.filter(|copy| !is_adapter(&copy.artifact));
        models.map(|copy| &copy.artifact)
    }

    /// Returns the models that it has copies of, that its open order concerns or that memory is reserved for, sorted.
    pub(crate) fn models(&self) -> Vec<&Artifact> {
        let held = self.copies.iter().map(|copy| &copy.artifact);
        let ordered = self.open_order.iter().map(|open| &open.order.model);
        let concerned = held.chain(&self.reserved_for).chain(ordered);
        let mut models: Vec<&Artifact> =
            concerned.filter(|artifact| !is_adapter(artifact)).collect();
        models.sort_unstable();
        models.dedup();
        models
    }

    /// Returns the adapters that occupy slots, including those being loaded or unloaded.
    pub(crate) fn adapters(&self) -> impl Iterator<Item = &Copy> {
        self.copies.iter().filter(|copy| is_adapter(&copy.artifact))
    }

    /// Marks adapters as held whose expected load time has passed; returns whether there were any.
    pub(crate) fn finish_adapter_loads(&mut self, now_ms: u64) -> bool {
        let mut ended = false;
        for copy in &mut self.copies {
            let due = matches!(copy.phase, Phase::Loading { until_ms } if now_ms >= until_ms);
            if due && is_adapter(&copy.artifact) {
                copy.enter(now_ms, Phase::Held);
                ended = true;
            }
        }
        ended
    }

    /// Sets the phase of a copy, and adds the copy if it is missing.
    pub(super) fn set_phase(&mut self, now_ms: u64, artifact: Artifact, phase: Phase) {
        let index = self
            .copies
            .binary_search_by(|copy| copy.artifact.cmp(&artifact));
        match index {
            Ok(index) if self.copies[index].phase == phase => {}
            Ok(index) => self.copies[index].enter(now_ms, phase),
            Err(index) => {
                let copy = Copy {
                    artifact,
                    phase,
                    since_ms: now_ms,
                    used_ms: now_ms,
                    loaded_ms: None,
                };
                self.copies.insert(index, copy);
            }
        }
    }

    /// Marks artifacts as held, except copies that are already tracked in a phase other than loading.
    pub(super) fn add_held(&mut self, now_ms: u64, held: &[Artifact]) {
        for artifact in held {
            let is_tracked = self
                .copy(artifact)
                .is_some_and(|copy| !matches!(copy.phase, Phase::Loading { .. }));
            if !is_tracked {
                self.set_phase(now_ms, artifact.clone(), Phase::Held);
            }
        }
    }
}
