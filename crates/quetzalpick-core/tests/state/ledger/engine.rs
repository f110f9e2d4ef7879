//! Simulated engines, which execute any order without checking their free memory.

use quetzalpick_core::id::{Endpoint, Offset};
use quetzalpick_core::record::Operation;
use rand::RngExt;

use super::{Copy, EngineReport, Event, Order, Simulation, copy_of};

/// `Engine` simulates a model engine.
pub(super) struct Engine {
    pub(super) name: Endpoint,
    pub(super) incarnation: u64,
    pub(super) newest_fencing: u64,
    /// Loaded copies with their memory in MB.
    pub(super) loaded: Vec<(Copy, u64)>,
    /// Time in ms at which each load ends, the copy, and its memory in MB.
    pub(super) loading: Vec<(u64, Copy, u64)>,
    /// Fencing numbers of the refused orders.
    pub(super) refused: Vec<u64>,
}

impl Engine {
    pub(super) fn used_mb(&self) -> u64 {
        let loaded = self.loaded.iter().map(|(_, mb)| mb);
        loaded.chain(self.loading.iter().map(|(_, _, mb)| mb)).sum()
    }

    pub(super) fn holds(&self, copy: &Copy) -> bool {
        self.loaded.iter().any(|(other, _)| other == copy)
    }

    pub(super) fn is_loading(&self, copy: &Copy) -> bool {
        self.loading.iter().any(|(_, other, _)| other == copy)
    }
}

impl Simulation {
    pub(super) fn finish_loads(&mut self) {
        let now = self.now;
        for engine in &mut self.engines {
            let (done, loading): (Vec<_>, Vec<_>) = engine
                .loading
                .drain(..)
                .partition(|(end_ms, ..)| *end_ms <= now);
            engine.loading = loading;
            let done = done.into_iter().map(|(_, copy, mb)| (copy, mb));
            engine.loaded.extend(done);
        }
    }

    /// Executes an order even if the engine's memory does not suffice; it may refuse at random.
    pub(super) fn execute_order(&mut self, at: usize, order: &Order) {
        let refuses = self.one_in(20);
        let loaded_ms = self.now + self.random.random_range(0..3_000);
        let checks = self.setup.checks_fencing;
        let engine = &mut self.engines[at];
        if checks && order.fencing < engine.newest_fencing {
            return;
        }
        engine.newest_fencing = engine.newest_fencing.max(order.fencing);
        if refuses {
            engine.refused.push(order.fencing);
            return;
        }
        let copy = copy_of(&order.operation);
        match &order.operation {
            Operation::Load(..) if engine.holds(&copy) || engine.is_loading(&copy) => {}
            Operation::Load(..) => {
                self.counts.loads += 1;
                engine.loading.push((loaded_ms, copy, order.memory_mb));
            }
            Operation::Unload(..) => {
                self.counts.unloads += 1;
                engine.loaded.retain(|(other, _)| *other != copy);
                engine.loading.retain(|(_, other, _)| *other != copy);
            }
        }
    }

    pub(super) fn answer_report(
        &mut self,
        at: usize,
        requested_ms: u64,
        as_of: Offset,
        leader: u64,
    ) {
        let engine = &self.engines[at];
        let memory_mb = self.memory_mb(&engine.name).unwrap_or(0);
        let report = EngineReport {
            requested_ms,
            as_of,
            incarnation: engine.incarnation,
            loaded: engine.loaded.iter().map(|(copy, _)| copy.clone()).collect(),
            loading: engine
                .loading
                .iter()
                .map(|(_, copy, _)| copy.clone())
                .collect(),
            refused: engine.refused.clone(),
            fencing: engine.newest_fencing,
            free_mb: memory_mb.saturating_sub(engine.used_mb()),
        };
        let answered_ms = self.now + self.random.random_range(0..600);
        let event = Event::ReportAnswered(at, leader, Box::new(report));
        self.events.push((answered_ms, event));
    }
}
