//! Copies that demand makes worth their move.

use crate::plan::Reason;
use crate::plan::builder::Draft;
use crate::plan::fleet::{Copy, EngineState, Fleet, Phase, signed};
use crate::plan::memory::{Keep, Victims};

/// `Offer` is one further copy with what it gains.
#[derive(Debug, Clone)]
pub(crate) struct Offer {
    pub(crate) item: usize,
    pub(crate) engine: usize,
    /// What has to go for it.
    pub(crate) victims: Option<Victims>,
    /// Tokens per second that can be served in addition.
    pub(crate) gain: i64,
}

impl Fleet<'_> {
    /// Returns the demand beyond the engines' speed, in tokens per second by engine.
    pub(crate) fn overloads(&self, engine_rate: u64) -> Vec<u64> {
        let overload = |(engine, load): (&EngineState<'_>, u64)| {
            let speed = engine_rate.saturating_mul(u64::from(engine.accelerators));
            load.saturating_sub(speed)
        };
        self.engines
            .iter()
            .zip(self.loads())
            .map(overload)
            .collect()
    }

    /// Returns the best further copy, by tokens per second gained; `may_change` tells whose copies may change now.
    pub(crate) fn best_offer(
        &self,
        engine_rate: u64,
        may_change: impl Fn(usize) -> bool,
    ) -> Option<Offer> {
        let overloads = self.overloads(engine_rate);
        let before = overloads.iter().sum();
        let is_strained = |item: usize| {
            let mut engines = self.engines.iter().zip(&overloads);
            engines.any(|(engine, overload)| *overload > 0 && self.is_expected(engine, item))
        };
        let items = 0..self.items.len();
        let strained = items.filter(|item| {
            let wanted = &self.items[*item];
            let grows = wanted.demand > 0 && self.expected(*item) < wanted.max;
            grows && may_change(*item) && is_strained(*item)
        });
        let pairs = strained.flat_map(|item| {
            let engines = self.engines_for(item);
            engines.into_iter().map(move |engine| (item, engine))
        });
        let offers = pairs.filter_map(|(item, engine)| {
            self.offer(engine_rate, before, item, engine, &may_change)
        });
        offers.max_by_key(|offer| (offer.gain, std::cmp::Reverse((offer.item, offer.engine))))
    }

    fn offer(
        &self,
        engine_rate: u64,
        before: u64,
        item: usize,
        engine: usize,
        may_change: &impl Fn(usize) -> bool,
    ) -> Option<Offer> {
        let memory_mb = self.items[item].memory_mb;
        let fits = self.engines[engine].soon_mb >= signed(memory_mb);
        let cost = |copy: usize| {
            let owner = self.engines[engine].copies[copy].item;
            let free = owner.is_none_or(may_change);
            free.then(|| self.carried(engine, copy))
        };
        let victims = if fits {
            None
        } else {
            Some(self.victims_at(engine, memory_mb, Keep::Bounds, cost)?)
        };
        let mut after = self.clone();
        after.imagine(item, engine, victims.as_ref());
        let gain = signed(before) - signed(after.overloads(engine_rate).iter().sum());
        Some(Offer {
            item,
            engine,
            victims,
            gain,
        })
    }

    /// Projects a further copy and what goes for it.
    fn imagine(&mut self, item: usize, engine: usize, victims: Option<&Victims>) {
        let wanted = &self.items[item];
        let target = &mut self.engines[engine];
        for copy in victims.iter().flat_map(|victims| &victims.copies) {
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

impl Draft<'_, '_> {
    /// Takes up an offer: evicts and reserves, or loads if there is memory now.
    pub(crate) fn accept(&mut self, offer: &Offer) {
        let memory_mb = self.fleet.items[offer.item].memory_mb;
        if let Some(victims) = &offer.victims {
            self.evict(victims, memory_mb);
        } else if self.fleet.engines[offer.engine].available_mb() >= signed(memory_mb) {
            self.load(offer.engine, offer.item, Reason::Demand);
        } else {
            self.fleet.engines[offer.engine].soon_mb -= signed(memory_mb);
        }
    }
}
