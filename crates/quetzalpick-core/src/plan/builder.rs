//! The steps of one planning round and their projected effect on the fleet, on which later steps are based.

use crate::plan::fleet::{Copy, Fleet, Phase, signed};
use crate::plan::limits::Limits;
use crate::plan::{Reason, Step};
use crate::record::Operation;

/// `PlanBuilder` collects the steps of a round and applies each to the projected fleet.
#[derive(Debug)]
pub(crate) struct PlanBuilder<'a, 'l> {
    pub(crate) fleet: Fleet<'a>,
    pub(crate) limits: Limits<'l>,
    pub(crate) steps: Vec<Step>,
}

impl<'a> PlanBuilder<'a, '_> {
    /// Loads an item's wanted version; if the limits allow no load now, only reserves its memory.
    pub(crate) fn load(&mut self, engine: usize, item: usize, reason: Reason) {
        let wanted = &self.fleet.items[item];
        let (artifact, version, memory_mb) = (wanted.artifact, wanted.version, wanted.memory_mb);
        let is_adapter = wanted.base.is_some();
        let target = &mut self.fleet.engines[engine];
        target.projected_free_mb -= signed(memory_mb);
        if !self.limits.take(is_adapter) {
            return;
        }
        target.free_mb -= signed(memory_mb);
        target.copies.push(Copy {
            artifact,
            version,
            memory_mb,
            phase: Phase::Loading,
            item: Some(item),
            wanted: true,
        });
        self.steps.push(Step {
            endpoint: target.endpoint.clone(),
            operation: Operation::Load(artifact.clone(), version),
            reason,
        });
    }

    /// Unloads a serving copy, given by its index at the engine.
    pub(crate) fn unload(&mut self, engine: usize, copy: usize, reason: Reason) {
        let target = &mut self.fleet.engines[engine];
        let leaving = &mut target.copies[copy];
        leaving.phase = Phase::Unloading;
        target.projected_free_mb += signed(leaving.memory_mb);
        self.steps.push(Step {
            endpoint: target.endpoint.clone(),
            operation: Operation::Unload(leaving.artifact.clone(), leaving.version),
            reason,
        });
    }
}
