//! Rules that hold regardless of demand: reachability, pins, configured numbers of copies, and removal of unwanted
//! copies.

use crate::plan::Reason;
use crate::plan::builder::PlanBuilder;
use crate::plan::fleet::{EngineState, Phase, signed};
use crate::plan::memory::MinCopies;

impl PlanBuilder<'_, '_> {
    /// Ensures that every item has a copy; items that nothing serves come first, models before adapters.
    pub(crate) fn ensure_reachable(&mut self) {
        let items = 0..self.fleet.items.len();
        let missing = items.filter(|item| self.fleet.expected_copies(*item) == 0);
        let mut missing: Vec<_> = missing
            .map(|item| (self.fleet.copies_to_replace(item) > 0, item))
            .collect();
        missing.sort_unstable();
        for (is_served, item) in missing {
            let reason = if is_served {
                Reason::Replace
            } else {
                Reason::Unreachable
            };
            if !self.place(item, MinCopies::One, reason) {
                self.add_base_copy(item, reason);
            }
        }
    }

    /// Loads another copy of an adapter's base model on an engine with memory for both, because no engine with the base
    /// model has memory for the adapter.
    fn add_base_copy(&mut self, item: usize, reason: Reason) {
        let Some(base) = self.fleet.items[item].base else {
            return;
        };
        let adapter_mb = signed(self.fleet.items[item].memory_mb);
        let base_mb = signed(self.fleet.items[base].memory_mb);
        let fleet = &self.fleet;
        // A base model without a ready copy is placed as an item of its own, and an engine that is loading one may have
        // memory for the adapter.
        let may_take_adapter = |engine: &EngineState<'_>| {
            engine.is_usable()
                && engine.has(base, Phase::Loading)
                && engine.projected_free_mb >= adapter_mb
        };
        if fleet.ready_copies(base) == 0 || fleet.engines.iter().any(may_take_adapter) {
            return;
        }
        let engines = fleet.engines_for(base);
        let fits = |engine: &&usize| fleet.engines[**engine].available_mb() >= base_mb + adapter_mb;
        if let Some(engine) = engines.iter().find(fits) {
            self.load(*engine, base, reason);
        }
    }

    /// Loads pinned items on the engines they are pinned to, a base model before its adapter.
    pub(crate) fn load_pinned(&mut self) {
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
                    self.place_at(&[engine], first, MinCopies::Configured, Reason::Pinned);
                }
            }
        }
    }

    /// Loads copies up to the configured minimum and up to the number of copies to be replaced, within the maximum.
    pub(crate) fn ensure_min_copies(&mut self) {
        for item in 0..self.fleet.items.len() {
            let wanted = &self.fleet.items[item];
            let (min, max) = (wanted.min, wanted.max);
            let copies_to_replace = self.fleet.copies_to_replace(item);
            let goal = min.max(copies_to_replace).min(max.max(min));
            // `ensure_reachable` has placed the first copy.
            for _ in self.fleet.expected_copies(item).max(1)..goal {
                let reason = if self.fleet.expected_copies(item) < min {
                    Reason::BelowMin
                } else {
                    Reason::Replace
                };
                if !self.place(item, MinCopies::Configured, reason) {
                    break;
                }
            }
        }
    }

    /// Unloads copies that are no longer wanted, once their replacements serve.
    pub(crate) fn unload_unwanted(&mut self) {
        for engine in 0..self.fleet.engines.len() {
            for copy in 0..self.fleet.engines[engine].copies.len() {
                let Some(reason) = self.unload_reason(engine, copy) else {
                    continue;
                };
                if !self.fleet.may_unload(engine, copy, MinCopies::Configured) {
                    continue;
                }
                for adapter in self.fleet.dependents(engine, copy) {
                    self.unload(engine, adapter, reason);
                }
                self.unload(engine, copy, reason);
            }
        }
    }

    /// Returns why a copy should be unloaded; `None` if it should stay.
    fn unload_reason(&self, engine: usize, copy: usize) -> Option<Reason> {
        let here = &self.fleet.engines[engine];
        let candidate = &here.copies[copy];
        let Some(item) = candidate.item else {
            return Some(Reason::Stale);
        };
        let wanted = &self.fleet.items[item];
        let ready_copies = self.fleet.ready_copies(item);
        if here.draining {
            let replaced = ready_copies >= self.fleet.copies_to_replace(item).min(wanted.max);
            return replaced.then_some(Reason::Draining);
        }
        if !self.fleet.is_ready(here, item) {
            let stale = !candidate.wanted || self.lacks_base(engine, item);
            let replaced = ready_copies >= self.fleet.copies_to_replace(item).min(wanted.max);
            return (stale && replaced).then_some(Reason::Stale);
        }
        (ready_copies > wanted.max).then_some(Reason::AboveMax)
    }

    /// Returns whether an adapter's base model neither serves nor is being loaded at an engine.
    fn lacks_base(&self, engine: usize, item: usize) -> bool {
        let here = &self.fleet.engines[engine];
        let base = self.fleet.items[item].base;
        base.is_some_and(|base| !here.has(base, Phase::Serving) && !here.has(base, Phase::Loading))
    }
}
