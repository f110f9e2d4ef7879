//! Memory for new copies: which engine takes a copy, and which copies are evicted or relocated for it.

use std::cmp::Reverse;

use crate::plan::Reason;
use crate::plan::builder::PlanBuilder;
use crate::plan::fleet::{Copy, EngineState, Fleet, Phase, signed};

/// `Eviction` lists copies of one engine, by index, to be unloaded to free memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Eviction {
    pub(crate) engine: usize,
    pub(crate) copies: Vec<usize>,
}

impl Fleet<'_> {
    /// Returns whether a serving copy may be unloaded while every item keeps `min_copies` ready copies.
    ///
    /// A base model is only unloaded together with its adapters, which `dependents` returns.
    pub(crate) fn may_unload(&self, engine: usize, copy: usize, min_copies: MinCopies) -> bool {
        // While another version is being loaded here, keep this one: its adapters wait for that version and need not
        // move.
        let here = &self.engines[engine];
        if here.has_other_version(&here.copies[copy], Phase::Loading) {
            return false;
        }
        let dependents = self.dependents(engine, copy);
        let mut all = dependents.iter().chain([&copy]);
        all.all(|copy| self.may_unload_alone(engine, *copy, min_copies))
    }

    fn may_unload_alone(&self, engine: usize, copy: usize, min_copies: MinCopies) -> bool {
        let here = &self.engines[engine];
        let copy = &here.copies[copy];
        if copy.phase != Phase::Serving || here.status.unsettled || !here.status.alive {
            return false;
        }
        let Some(item) = copy.item else {
            return true;
        };
        let wanted = &self.items[item];
        let ready_copies = self.ready_copies(item);
        if copy.wanted && self.is_ready(here, item) {
            return !wanted.is_pinned_to(here.endpoint)
                && ready_copies > min_copies.resolve(wanted.min);
        }
        ready_copies >= min_copies.resolve(wanted.min)
    }

    /// Returns the adapter copies that become unusable when a copy of their base model is unloaded.
    pub(crate) fn dependents(&self, engine: usize, copy: usize) -> Vec<usize> {
        let here = &self.engines[engine];
        let base = &here.copies[copy];
        // Another version of the base model that serves here keeps the adapters usable.
        if here.has_other_version(base, Phase::Serving) {
            return Vec::new();
        }
        let depends = |c: &Copy<'_>| {
            let required_base = c.item.and_then(|item| self.items[item].base);
            required_base.is_some() && required_base == base.item && c.phase != Phase::Unloading
        };
        let copies = here.copies.iter().enumerate();
        copies.filter(|(_, c)| depends(c)).map(|(i, _)| i).collect()
    }

    /// Returns the engines that can load an item, best first: fewest copies in the failure domain, then least demand.
    pub(crate) fn engines_for(&self, item: usize) -> Vec<usize> {
        let base = self.items[item].base;
        let can_load = |engine: &EngineState<'_>| {
            let absent = engine.copy(item).is_none();
            let has_base = base.is_none_or(|base| engine.has(base, Phase::Serving));
            engine.is_usable() && absent && has_base
        };
        let engine_demand = self.engine_demand();
        let engines = self.engines.iter().enumerate();
        let mut engines: Vec<_> = engines
            .filter(|(_, engine)| can_load(engine))
            .map(|(index, engine)| {
                let copies_in_domain = self.copies_in_domain(item, engine.domain);
                let demand = engine_demand[index] / u64::from(engine.accelerators);
                let key = (
                    copies_in_domain,
                    demand,
                    engine.status.requests,
                    Reverse(engine.projected_free_mb),
                    index,
                );
                (key, index)
            })
            .collect();
        engines.sort_unstable();
        engines.into_iter().map(|(_, index)| index).collect()
    }

    /// Returns the cheapest eviction at an engine that frees enough memory, if any.
    ///
    /// `cost` returns the cost of unloading a copy, or `None` if the copy must stay.
    pub(crate) fn cheapest_eviction(
        &self,
        engine: usize,
        memory_mb: u64,
        min_copies: MinCopies,
        mut cost: impl FnMut(usize) -> Option<u64>,
    ) -> Option<Eviction> {
        let indices = 0..self.engines[engine].copies.len();
        let unloadable = indices.filter(|copy| self.may_unload(engine, *copy, min_copies));
        let mut rated: Vec<(u64, usize)> = unloadable.filter_map(|c| Some((cost(c)?, c))).collect();
        rated.sort_unstable();
        // Unload one by one on a scratch fleet, because each unload affects whether the other copies may be unloaded.
        let mut scratch = self.clone();
        let mut copies = Vec::new();
        for (_, copy) in rated {
            if scratch.engines[engine].projected_free_mb >= signed(memory_mb) {
                break;
            }
            if !scratch.may_unload(engine, copy, min_copies) {
                continue;
            }
            for unloaded in scratch.dependents(engine, copy).into_iter().chain([copy]) {
                let target = &mut scratch.engines[engine];
                target.copies[unloaded].phase = Phase::Unloading;
                target.projected_free_mb += signed(target.copies[unloaded].memory_mb);
                copies.push(unloaded);
            }
        }
        let fits = scratch.engines[engine].projected_free_mb >= signed(memory_mb);
        fits.then_some(Eviction { engine, copies })
    }

    /// Returns the share of demand that a copy serves, in tokens per second.
    pub(crate) fn demand_served(&self, engine: usize, copy: usize) -> u64 {
        let here = &self.engines[engine];
        let Some(item) = here.copies[copy].item else {
            return 0;
        };
        if !self.is_ready(here, item) {
            return 0;
        }
        self.items[item].demand / self.expected_copies(item).max(1) as u64
    }
}

/// `MinCopies` selects how many ready copies an eviction must leave of each evicted item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MinCopies {
    /// One, for a load that makes an item reachable.
    One,
    /// The configured minimum.
    Configured,
}

impl MinCopies {
    fn resolve(self, configured: usize) -> usize {
        match self {
            Self::One => 1,
            Self::Configured => configured,
        }
    }
}

impl PlanBuilder<'_, '_> {
    /// Loads an item on some engine, or reserves memory being freed, or frees memory for it; returns false if none is
    /// possible.
    pub(crate) fn place(&mut self, item: usize, min_copies: MinCopies, reason: Reason) -> bool {
        let engines = self.fleet.engines_for(item);
        self.place_at(&engines, item, min_copies, reason)
    }

    /// Like `place`, on one of the given engines, which are tried in order.
    pub(crate) fn place_at(
        &mut self,
        engines: &[usize],
        item: usize,
        min_copies: MinCopies,
        reason: Reason,
    ) -> bool {
        let memory_mb = self.fleet.items[item].memory_mb;
        let needed = signed(memory_mb);
        let fits_now = |engine: &&usize| self.fleet.engines[**engine].available_mb() >= needed;
        if let Some(engine) = engines.iter().find(fits_now) {
            self.load(*engine, item, reason);
            return true;
        }
        // Reserve memory that is being freed, so that no later step of the round takes it.
        let fits_later = |engine: &&usize| self.fleet.engines[**engine].projected_free_mb >= needed;
        if let Some(engine) = engines.iter().find(fits_later) {
            self.fleet.engines[*engine].projected_free_mb -= needed;
            return true;
        }
        self.evict_for(engines, item, min_copies) || self.relocate(engines, item, min_copies)
    }

    /// Unloads the copies that are cheapest to evict and reserves memory for the item.
    fn evict_for(&mut self, engines: &[usize], item: usize, min_copies: MinCopies) -> bool {
        let fleet = &self.fleet;
        let memory_mb = fleet.items[item].memory_mb;
        let evictions = engines.iter().filter_map(|engine| {
            let cost = |copy| Some(fleet.demand_served(*engine, copy));
            fleet.cheapest_eviction(*engine, memory_mb, min_copies, cost)
        });
        let cost = |eviction: &Eviction| -> u64 {
            let copies = eviction.copies.iter();
            copies
                .map(|copy| fleet.demand_served(eviction.engine, *copy))
                .sum()
        };
        let Some(eviction) = evictions.min_by_key(|e| (cost(e), e.copies.len())) else {
            return false;
        };
        self.evict(&eviction, memory_mb);
        true
    }

    /// Unloads the evicted copies and reserves memory at their engine.
    pub(crate) fn evict(&mut self, eviction: &Eviction, memory_mb: u64) {
        for copy in &eviction.copies {
            self.unload(eviction.engine, *copy, Reason::MemoryNeeded);
        }
        self.fleet.engines[eviction.engine].projected_free_mb -= signed(memory_mb);
    }

    /// For items whose only copy is on one of the given engines, loads a copy on another engine, so that a later round
    /// can unload the first one.
    fn relocate(&mut self, engines: &[usize], item: usize, min_copies: MinCopies) -> bool {
        if min_copies != MinCopies::One {
            return false;
        }
        engines
            .iter()
            .any(|engine| self.relocate_from(*engine, item))
    }

    fn relocate_from(&mut self, engine: usize, item: usize) -> bool {
        let needed = signed(self.fleet.items[item].memory_mb);
        let fleet = &self.fleet;
        let here = &fleet.engines[engine];
        let indices = 0..here.copies.len();
        let (evictable, retained): (Vec<usize>, Vec<usize>) =
            indices.partition(|copy| fleet.may_unload(engine, *copy, MinCopies::One));
        let mut reclaimable_mb = here.projected_free_mb;
        reclaimable_mb += evictable
            .iter()
            .map(|copy| signed(here.copies[*copy].memory_mb))
            .sum::<i64>();
        let mut available_mb: Vec<i64> = fleet
            .engines
            .iter()
            .map(EngineState::available_mb)
            .collect();
        let mut moves = Vec::new();
        for copy in retained {
            if reclaimable_mb >= needed {
                break;
            }
            let Some((moved_item, memory_mb)) = self.movable(engine, copy) else {
                continue;
            };
            // Another copy is already being loaded elsewhere.
            if fleet.expected_copies(moved_item) > 1 {
                reclaimable_mb += memory_mb;
                continue;
            }
            let targets = fleet.engines_for(moved_item);
            let fits = |to: &usize| *to != engine && available_mb[*to] >= memory_mb;
            if let Some(to) = targets.into_iter().find(fits) {
                available_mb[to] -= memory_mb;
                reclaimable_mb += memory_mb;
                moves.push((to, moved_item));
            }
        }
        if reclaimable_mb < needed {
            return false;
        }
        for (to, moved_item) in moves {
            self.load(to, moved_item, Reason::MemoryNeeded);
        }
        true
    }

    /// Returns the item and memory of a copy if another engine could serve the item instead.
    fn movable(&self, engine: usize, copy: usize) -> Option<(usize, i64)> {
        let here = &self.fleet.engines[engine];
        let candidate = &here.copies[copy];
        let item = candidate.item?;
        let pinned = self.fleet.items[item].is_pinned_to(here.endpoint);
        let serves = candidate.wanted && candidate.phase == Phase::Serving;
        let has_no_dependents = self.fleet.dependents(engine, copy).is_empty();
        let movable = serves && has_no_dependents && !pinned && !here.status.unsettled;
        movable.then_some((item, signed(candidate.memory_mb)))
    }
}
