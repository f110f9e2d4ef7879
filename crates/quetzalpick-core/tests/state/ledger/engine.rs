//! Engines that take any order, whether they have room or not.

use quetzalpick_core::id::{Endpoint, Offset};
use quetzalpick_core::record::Operation;
use rand::RngExt;

use super::{Copy, Event, Order, View, World, copy_of};

/// `Engine` is a model engine.
pub(super) struct Engine {
    pub(super) name: Endpoint,
    pub(super) incarnation: u64,
    pub(super) seen: u64,
    pub(super) loaded: Vec<(Copy, u64)>,
    pub(super) loading: Vec<(u64, Copy, u64)>,
    pub(super) refused: Vec<u64>,
}

impl Engine {
    pub(super) fn used_mb(&self) -> u64 {
        let loaded = self.loaded.iter().map(|(_, mb)| mb);
        loaded.chain(self.loading.iter().map(|(_, _, mb)| mb)).sum()
    }

    pub(super) fn holds(&self, copy: &Copy) -> bool {
        self.loaded.iter().any(|(held, _)| held == copy)
    }

    pub(super) fn loads(&self, copy: &Copy) -> bool {
        self.loading.iter().any(|(_, held, _)| held == copy)
    }
}

impl World {
    pub(super) fn finish_loads(&mut self) {
        let now = self.now;
        for engine in &mut self.engines {
            let (done, loading): (Vec<_>, Vec<_>) =
                engine.loading.drain(..).partition(|(at, ..)| *at <= now);
            engine.loading = loading;
            let done = done.into_iter().map(|(_, copy, mb)| (copy, mb));
            engine.loaded.extend(done);
        }
    }

    /// An engine takes an order, whether it has room or not.
    pub(super) fn arrive(&mut self, at: usize, order: &Order) {
        let refuses = self.chance(20);
        let done = self.now + self.random.random_range(0..3_000);
        let checks = self.setup.checks_fencing;
        let engine = &mut self.engines[at];
        if checks && order.fencing < engine.seen {
            return;
        }
        engine.seen = engine.seen.max(order.fencing);
        if refuses {
            engine.refused.push(order.fencing);
            return;
        }
        let copy = copy_of(&order.operation);
        match &order.operation {
            Operation::Load(..) if engine.holds(&copy) || engine.loads(&copy) => {}
            Operation::Load(..) => {
                self.counts.loads += 1;
                engine.loading.push((done, copy, order.memory_mb));
            }
            Operation::Unload(..) => {
                self.counts.unloads += 1;
                engine.loaded.retain(|(held, _)| *held != copy);
                engine.loading.retain(|(_, held, _)| *held != copy);
            }
        }
    }

    pub(super) fn ask(&mut self, at: usize, asked: u64, as_of: Offset, leader: u64) {
        let engine = &self.engines[at];
        let memory_mb = self.memory_mb(&engine.name).unwrap_or(0);
        let view = View {
            asked,
            as_of,
            incarnation: engine.incarnation,
            loaded: engine.loaded.iter().map(|(copy, _)| copy.clone()).collect(),
            loading: engine
                .loading
                .iter()
                .map(|(_, copy, _)| copy.clone())
                .collect(),
            refused: engine.refused.clone(),
            fencing: engine.seen,
            free_mb: memory_mb.saturating_sub(engine.used_mb()),
        };
        let answered = self.now + self.random.random_range(0..600);
        let answer = Event::Answer(at, leader, Box::new(view));
        self.events.push((answered, answer));
    }
}
