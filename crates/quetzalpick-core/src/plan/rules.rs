//! What placement owes whatever the demand: reachability, pins, bounds, and removal of what is not wanted.

use crate::plan::Reason;
use crate::plan::builder::Draft;
use crate::plan::fleet::{EngineState, Phase, signed};
use crate::plan::memory::Keep;

impl Draft<'_, '_> {
    /// Gives every item a first copy; those that nothing serves go first, models before adapters.
    pub(crate) fn reach(&mut self) {
        let items = 0..self.fleet.items.len();
        let missing = items.filter(|item| self.fleet.expected(*item) == 0);
        let mut missing: Vec<_> = missing
            .map(|item| (self.fleet.outgoing(item) > 0, item))
            .collect();
        missing.sort_unstable();
        for (is_served, item) in missing {
            let reason = if is_served {
                Reason::Replace
            } else {
                Reason::Unreachable
            };
            if !self.place(item, Keep::One, reason) {
                self.spread_base(item, reason);
            }
        }
    }

    /// Loads another copy of an adapter's base model where both fit, as no holder of the base has room for the adapter.
    fn spread_base(&mut self, item: usize, reason: Reason) {
        let Some(base) = self.fleet.items[item].base else {
            return;
        };
        let adapter_mb = signed(self.fleet.items[item].memory_mb);
        let base_mb = signed(self.fleet.items[base].memory_mb);
        let fleet = &self.fleet;
        // A base model without any serving copy is wanted for its own sake, and one that is under way may have room.
        let under_way = |engine: &EngineState<'_>| {
            engine.is_usable() && engine.has(base, Phase::Loading) && engine.soon_mb >= adapter_mb
        };
        if fleet.good(base) == 0 || fleet.engines.iter().any(under_way) {
            return;
        }
        let engines = fleet.engines_for(base);
        let fits = |at: &&usize| fleet.engines[**at].available_mb() >= base_mb + adapter_mb;
        if let Some(engine) = engines.iter().find(fits) {
            self.load(*engine, base, reason);
        }
    }

    /// Loads pinned items where they are pinned, a base model before its adapter.
    pub(crate) fn pin(&mut self) {
        for item in 0..self.fleet.items.len() {
            for engine in 0..self.fleet.engines.len() {
                let here = &self.fleet.engines[engine];
                let wanted = &self.fleet.items[item];
                let pinned = here.is_usable() && wanted.is_pinned_to(here.endpoint);
                if !pinned || here.copy(item).is_some() {
                    continue;
                }
                let missing = wanted.base.filter(|base| here.copy(*base).is_none());
                let first = missing.unwrap_or(item);
                if self.fleet.engines_for(first).contains(&engine) {
                    self.place_at(&[engine], first, Keep::Bounds, Reason::Pinned);
                }
            }
        }
    }

    /// Loads up to the fewest copies, and as many as are going away.
    pub(crate) fn fill(&mut self) {
        for item in 0..self.fleet.items.len() {
            let wanted = &self.fleet.items[item];
            let (min, max) = (wanted.min, wanted.max);
            let outgoing = self.fleet.outgoing(item);
            let goal = min.max(outgoing).min(max.max(min));
            // The first copy was asked for already.
            for _ in self.fleet.expected(item).max(1)..goal {
                let reason = if self.fleet.expected(item) < min {
                    Reason::Fewest
                } else {
                    Reason::Replace
                };
                if !self.place(item, Keep::Bounds, reason) {
                    break;
                }
            }
        }
    }

    /// Unloads what is not wanted any more, once what replaces it serves.
    pub(crate) fn clear(&mut self) {
        for engine in 0..self.fleet.engines.len() {
            for copy in 0..self.fleet.engines[engine].copies.len() {
                let Some(reason) = self.unwanted(engine, copy) else {
                    continue;
                };
                if !self.fleet.may_unload(engine, copy, Keep::Bounds) {
                    continue;
                }
                for adapter in self.fleet.dependents(engine, copy) {
                    self.unload(engine, adapter, reason);
                }
                self.unload(engine, copy, reason);
            }
        }
    }

    /// Returns why a copy should go.
    fn unwanted(&self, engine: usize, copy: usize) -> Option<Reason> {
        let here = &self.fleet.engines[engine];
        let candidate = &here.copies[copy];
        let Some(item) = candidate.item else {
            return Some(Reason::Stale);
        };
        let wanted = &self.fleet.items[item];
        let good = self.fleet.good(item);
        if here.draining {
            let replaced = good >= self.fleet.outgoing(item).min(wanted.max);
            return replaced.then_some(Reason::Draining);
        }
        if !self.fleet.is_good(here, item) {
            let stale = !candidate.wanted || self.has_lost_base(engine, item);
            let replaced = good >= self.fleet.outgoing(item).min(wanted.max);
            return (stale && replaced).then_some(Reason::Stale);
        }
        (good > wanted.max).then_some(Reason::Most)
    }

    /// Tells whether an adapter's base model neither serves here nor is being loaded here.
    fn has_lost_base(&self, engine: usize, item: usize) -> bool {
        let here = &self.fleet.engines[engine];
        let base = self.fleet.items[item].base;
        base.is_some_and(|base| !here.has(base, Phase::Serving) && !here.has(base, Phase::Loading))
    }
}
