//! Which copies may go to make room, and where a copy fits.

use std::cmp::Reverse;

use crate::plan::Reason;
use crate::plan::builder::Draft;
use crate::plan::fleet::{Copy, EngineState, Fleet, Phase, signed};

/// `Victims` are copies at one engine, by index, whose memory makes room.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Victims {
    pub(crate) engine: usize,
    pub(crate) copies: Vec<usize>,
}

impl Fleet<'_> {
    /// Tells whether a serving copy may be unloaded while every item keeps `keep(item)` good copies.
    ///
    /// A base model goes only together with its adapters, which are listed by `dependents`.
    pub(crate) fn may_unload(&self, engine: usize, copy: usize, keep: Keep) -> bool {
        // Adapters that wait for another version of their base model need not be moved.
        let here = &self.engines[engine];
        if here.has_sibling(&here.copies[copy], Phase::Loading) {
            return false;
        }
        let dependents = self.dependents(engine, copy);
        let mut all = dependents.iter().chain([&copy]);
        all.all(|copy| self.may_unload_alone(engine, *copy, keep))
    }

    fn may_unload_alone(&self, engine: usize, copy: usize, keep: Keep) -> bool {
        let here = &self.engines[engine];
        let copy = &here.copies[copy];
        if copy.phase != Phase::Serving || here.status.unsettled || !here.status.alive {
            return false;
        }
        let Some(item) = copy.item else {
            return true;
        };
        let wanted = &self.items[item];
        let good = self.good(item);
        if copy.wanted && self.is_good(here, item) {
            return !wanted.is_pinned_to(here.endpoint) && good > keep.of(wanted.min);
        }
        good >= keep.of(wanted.min)
    }

    /// Returns the adapter copies that cannot be used any more when a copy of their base model goes.
    pub(crate) fn dependents(&self, engine: usize, copy: usize) -> Vec<usize> {
        let here = &self.engines[engine];
        let base = &here.copies[copy];
        // Another version that serves here carries the adapters.
        if here.has_sibling(base, Phase::Serving) {
            return Vec::new();
        }
        let depends = |c: &Copy<'_>| {
            let on = c.item.and_then(|item| self.items[item].base);
            on.is_some() && on == base.item && c.phase != Phase::Unloading
        };
        let copies = here.copies.iter().enumerate();
        copies.filter(|(_, c)| depends(c)).map(|(i, _)| i).collect()
    }

    /// Returns the engines that can take an item, the best first: fewest copies in the failure domain, least load.
    pub(crate) fn engines_for(&self, item: usize) -> Vec<usize> {
        let base = self.items[item].base;
        let takes = |engine: &EngineState<'_>| {
            let absent = engine.copy(item).is_none();
            let has_base = base.is_none_or(|base| engine.has(base, Phase::Serving));
            engine.is_usable() && absent && has_base
        };
        let loads = self.loads();
        let engines = self.engines.iter().enumerate();
        let mut engines: Vec<_> = engines
            .filter(|(_, engine)| takes(engine))
            .map(|(at, engine)| {
                let crowd = self.in_domain(item, engine.domain);
                let load = loads[at] / u64::from(engine.accelerators);
                let key = (
                    crowd,
                    load,
                    engine.status.requests,
                    Reverse(engine.soon_mb),
                    at,
                );
                (key, at)
            })
            .collect();
        engines.sort_unstable();
        engines.into_iter().map(|(_, at)| at).collect()
    }

    /// Returns the cheapest victims at an engine that make room for memory; `cost` rates a copy's loss.
    pub(crate) fn victims_at(
        &self,
        engine: usize,
        memory_mb: u64,
        keep: Keep,
        mut cost: impl FnMut(usize) -> Option<u64>,
    ) -> Option<Victims> {
        let indices = 0..self.engines[engine].copies.len();
        let may_go = indices.filter(|copy| self.may_unload(engine, *copy, keep));
        let mut rated: Vec<(u64, usize)> = may_go.filter_map(|c| Some((cost(c)?, c))).collect();
        rated.sort_unstable();
        // Victims are unloaded on a scratch fleet one by one, as each changes what the others may do.
        let mut scratch = self.clone();
        let mut copies = Vec::new();
        for (_, copy) in rated {
            if scratch.engines[engine].soon_mb >= signed(memory_mb) {
                break;
            }
            if !scratch.may_unload(engine, copy, keep) {
                continue;
            }
            for gone in scratch.dependents(engine, copy).into_iter().chain([copy]) {
                let target = &mut scratch.engines[engine];
                target.copies[gone].phase = Phase::Unloading;
                target.soon_mb += signed(target.copies[gone].memory_mb);
                copies.push(gone);
            }
        }
        let fits = scratch.engines[engine].soon_mb >= signed(memory_mb);
        fits.then_some(Victims { engine, copies })
    }

    /// Returns the demand that a copy carries, in tokens per second.
    pub(crate) fn carried(&self, engine: usize, copy: usize) -> u64 {
        let here = &self.engines[engine];
        let Some(item) = here.copies[copy].item else {
            return 0;
        };
        if !self.is_good(here, item) {
            return 0;
        }
        self.items[item].demand / self.expected(item).max(1) as u64
    }
}

/// `Keep` says how many good copies of other items a load may leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Keep {
    /// One, as the load makes something reachable.
    One,
    /// As many as the bounds ask for.
    Bounds,
}

impl Keep {
    fn of(self, min: usize) -> usize {
        match self {
            Self::One => 1,
            Self::Bounds => min,
        }
    }
}

impl Draft<'_, '_> {
    /// Loads an item somewhere, makes room for it, or waits for room that is being made; false if nothing helps.
    pub(crate) fn place(&mut self, item: usize, keep: Keep, reason: Reason) -> bool {
        let engines = self.fleet.engines_for(item);
        self.place_at(&engines, item, keep, reason)
    }

    /// Does the same at one of the given engines.
    pub(crate) fn place_at(
        &mut self,
        engines: &[usize],
        item: usize,
        keep: Keep,
        reason: Reason,
    ) -> bool {
        let memory_mb = self.fleet.items[item].memory_mb;
        let needed = signed(memory_mb);
        let now = |at: &&usize| self.fleet.engines[**at].available_mb() >= needed;
        if let Some(engine) = engines.iter().find(now) {
            self.load(*engine, item, reason);
            return true;
        }
        // Memory that is being freed is reserved, so that no later wish takes it.
        let soon = |at: &&usize| self.fleet.engines[**at].soon_mb >= needed;
        if let Some(engine) = engines.iter().find(soon) {
            self.fleet.engines[*engine].soon_mb -= needed;
            return true;
        }
        self.make_room(engines, item, keep) || self.relocate(engines, item, keep)
    }

    /// Unloads the cheapest victims and reserves their memory.
    fn make_room(&mut self, engines: &[usize], item: usize, keep: Keep) -> bool {
        let fleet = &self.fleet;
        let memory_mb = fleet.items[item].memory_mb;
        let victims = engines.iter().filter_map(|engine| {
            let cost = |copy| Some(fleet.carried(*engine, copy));
            fleet.victims_at(*engine, memory_mb, keep, cost)
        });
        let cost = |v: &Victims| -> u64 {
            let copies = v.copies.iter();
            copies.map(|copy| fleet.carried(v.engine, *copy)).sum()
        };
        let Some(victims) = victims.min_by_key(|v| (cost(v), v.copies.len())) else {
            return false;
        };
        self.evict(&victims, memory_mb);
        true
    }

    /// Unloads victims and reserves memory at their engine.
    pub(crate) fn evict(&mut self, victims: &Victims, memory_mb: u64) {
        for copy in &victims.copies {
            self.unload(victims.engine, *copy, Reason::Room);
        }
        self.fleet.engines[victims.engine].soon_mb -= signed(memory_mb);
    }

    /// Copies items that have no other copy to other engines, so that they can be unloaded here in a later round.
    fn relocate(&mut self, engines: &[usize], item: usize, keep: Keep) -> bool {
        if keep != Keep::One {
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
        let (loose, fixed): (Vec<usize>, Vec<usize>) =
            indices.partition(|copy| fleet.may_unload(engine, *copy, Keep::One));
        let mut room = here.soon_mb;
        room += loose
            .iter()
            .map(|copy| signed(here.copies[*copy].memory_mb))
            .sum::<i64>();
        let mut available: Vec<i64> = fleet
            .engines
            .iter()
            .map(EngineState::available_mb)
            .collect();
        let mut moves = Vec::new();
        for copy in fixed {
            if room >= needed {
                break;
            }
            let Some((single, memory_mb)) = self.movable(engine, copy) else {
                continue;
            };
            // A copy that is already on its way elsewhere needs no second move.
            if fleet.expected(single) > 1 {
                room += memory_mb;
                continue;
            }
            let targets = fleet.engines_for(single);
            let fits = |to: &usize| *to != engine && available[*to] >= memory_mb;
            if let Some(to) = targets.into_iter().find(fits) {
                available[to] -= memory_mb;
                room += memory_mb;
                moves.push((to, single));
            }
        }
        if room < needed {
            return false;
        }
        for (to, single) in moves {
            self.load(to, single, Reason::Room);
        }
        true
    }

    /// Returns the item and memory of a copy that could be served elsewhere instead.
    fn movable(&self, engine: usize, copy: usize) -> Option<(usize, i64)> {
        let here = &self.fleet.engines[engine];
        let candidate = &here.copies[copy];
        let item = candidate.item?;
        let pinned = self.fleet.items[item].is_pinned_to(here.endpoint);
        let serves = candidate.wanted && candidate.phase == Phase::Serving;
        let alone = self.fleet.dependents(engine, copy).is_empty();
        let movable = serves && alone && !pinned && !here.status.unsettled;
        movable.then_some((item, signed(candidate.memory_mb)))
    }
}
