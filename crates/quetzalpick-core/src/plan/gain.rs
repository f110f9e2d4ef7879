//! Further copies whose gain in served demand justifies a load.

use crate::plan::Reason;
use crate::plan::builder::PlanBuilder;
use crate::plan::fleet::{Copy, EngineState, Fleet, Phase, signed};
use crate::plan::memory::{Eviction, MinCopies};

/// `Candidate` describes a possible further copy, the eviction it requires and its gain.
#[derive(Debug, Clone)]
pub(crate) struct Candidate {
    pub(crate) item: usize,
    pub(crate) engine: usize,
    /// Copies to unload first, if memory is short.
    pub(crate) eviction: Option<Eviction>,
    /// Additional demand that could be served, in tokens per second.
    pub(crate) gain: i64,
}

impl Fleet<'_> {
    /// Returns each engine's demand in excess of what it can serve, in tokens per second.
    pub(crate) fn overloads(&self, engine_rate: u64) -> Vec<u64> {
        let overload = |(engine, demand): (&EngineState<'_>, u64)| {
            let served = engine_rate.saturating_mul(u64::from(engine.accelerators));
            demand.saturating_sub(served)
        };
        self.engines
            .iter()
            .zip(self.engine_demand())
            .map(overload)
            .collect()
    }

    /// Returns the further copy with the greatest gain; `may_change` returns whether the copies of an item may change
    /// now.
    pub(crate) fn best_candidate(
        &self,
        engine_rate: u64,
        may_change: impl Fn(usize) -> bool,
    ) -> Option<Candidate> {
        let overloads = self.overloads(engine_rate);
        let total_overload = overloads.iter().sum();
        let is_overloaded = |item: usize| {
            let mut engines = self.engines.iter().zip(&overloads);
            engines.any(|(engine, overload)| *overload > 0 && self.is_expected(engine, item))
        };
        let items = 0..self.items.len();
        let overloaded = items.filter(|item| {
            let wanted = &self.items[*item];
            let wants_more = wanted.demand > 0 && self.expected_copies(*item) < wanted.max;
            wants_more && may_change(*item) && is_overloaded(*item)
        });
        let pairs = overloaded.flat_map(|item| {
            let engines = self.engines_for(item);
            engines.into_iter().map(move |engine| (item, engine))
        });
        let candidates = pairs.filter_map(|(item, engine)| {
            self.evaluate(engine_rate, total_overload, item, engine, &may_change)
        });
        candidates.max_by_key(|candidate| {
            (
                candidate.gain,
                std::cmp::Reverse((candidate.item, candidate.engine)),
            )
        })
    }

    /// Returns a further copy of an item at an engine as a candidate; `None` if no eviction frees enough memory.
    ///
    /// `total_overload` is the sum of the overloads without this copy, in tokens per second.
    fn evaluate(
        &self,
        engine_rate: u64,
        total_overload: u64,
        item: usize,
        engine: usize,
        may_change: &impl Fn(usize) -> bool,
    ) -> Option<Candidate> {
        let memory_mb = self.items[item].memory_mb;
        let fits = self.engines[engine].projected_free_mb >= signed(memory_mb);
        let cost = |copy: usize| {
            let copied_item = self.engines[engine].copies[copy].item;
            let may_evict = copied_item.is_none_or(may_change);
            may_evict.then(|| self.demand_served(engine, copy))
        };
        let eviction = if fits {
            None
        } else {
            Some(self.cheapest_eviction(engine, memory_mb, MinCopies::Configured, cost)?)
        };
        let mut projected = self.clone();
        projected.project(item, engine, eviction.as_ref());
        let gain = signed(total_overload) - signed(projected.overloads(engine_rate).iter().sum());
        Some(Candidate {
            item,
            engine,
            eviction,
            gain,
        })
    }

    /// Applies a further copy and its eviction to this fleet; the free memory is not updated.
    fn project(&mut self, item: usize, engine: usize, eviction: Option<&Eviction>) {
        let wanted = &self.items[item];
        let target = &mut self.engines[engine];
        for copy in eviction.iter().flat_map(|eviction| &eviction.copies) {
            target.copies[*copy].phase = Phase::Unloading;
        }
        target.copies.push(Copy {
            artifact: wanted.artifact,
            version: wanted.version,
            memory_mb: wanted.memory_mb,
            phase: Phase::Loading,
            item: Some(item),
            wanted: true,
        });
    }
}

impl PlanBuilder<'_, '_> {
    /// Adds a candidate: evicts and reserves memory if needed; otherwise loads it, or reserves the memory being freed.
    pub(crate) fn add_candidate(&mut self, candidate: &Candidate) {
        let memory_mb = self.fleet.items[candidate.item].memory_mb;
        if let Some(eviction) = &candidate.eviction {
            self.evict(eviction, memory_mb);
        } else if self.fleet.engines[candidate.engine].available_mb() >= signed(memory_mb) {
            self.load(candidate.engine, candidate.item, Reason::Demand);
        } else {
            self.fleet.engines[candidate.engine].projected_free_mb -= signed(memory_mb);
        }
    }
}
