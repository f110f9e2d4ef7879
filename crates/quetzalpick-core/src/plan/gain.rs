//! Copies that demand makes worth their move.

use crate::plan::Reason;
use crate::plan::draft::Draft;
use crate::plan::fleet::{Copy, Fleet, Phase, Site, signed};
use crate::plan::room::{Keep, Victims};

/// `Offer` is one further copy with what it gains.
#[derive(Debug, Clone)]
pub(crate) struct Offer {
    pub(crate) item: usize,
    pub(crate) site: usize,
    /// What has to go for it.
    pub(crate) victims: Option<Victims>,
    /// Tokens per second that can be served in addition.
    pub(crate) gain: i64,
}

impl Fleet<'_> {
    /// Returns the demand beyond the engines' speed, in tokens per second by site.
    pub(crate) fn overloads(&self, engine_rate: u64) -> Vec<u64> {
        let overload = |(site, load): (&Site<'_>, u64)| {
            let speed = engine_rate.saturating_mul(u64::from(site.accelerators));
            load.saturating_sub(speed)
        };
        self.sites.iter().zip(self.loads()).map(overload).collect()
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
            let mut sites = self.sites.iter().zip(&overloads);
            sites.any(|(site, overload)| *overload > 0 && self.is_expected(site, item))
        };
        let items = 0..self.items.len();
        let strained = items.filter(|item| {
            let wanted = &self.items[*item];
            let grows = wanted.demand > 0 && self.expected(*item) < wanted.max;
            grows && may_change(*item) && is_strained(*item)
        });
        let pairs = strained.flat_map(|item| {
            let sites = self.sites_for(item);
            sites.into_iter().map(move |site| (item, site))
        });
        let offers = pairs
            .filter_map(|(item, site)| self.offer(engine_rate, before, item, site, &may_change));
        offers.max_by_key(|offer| (offer.gain, std::cmp::Reverse((offer.item, offer.site))))
    }

    fn offer(
        &self,
        engine_rate: u64,
        before: u64,
        item: usize,
        site: usize,
        may_change: &impl Fn(usize) -> bool,
    ) -> Option<Offer> {
        let memory_mb = self.items[item].memory_mb;
        let fits = self.sites[site].soon_mb >= signed(memory_mb);
        let cost = |copy: usize| {
            let owner = self.sites[site].copies[copy].item;
            let free = owner.is_none_or(may_change);
            free.then(|| self.carried(site, copy))
        };
        let victims = if fits {
            None
        } else {
            Some(self.victims_at(site, memory_mb, Keep::Bounds, cost)?)
        };
        let mut after = self.clone();
        after.imagine(item, site, victims.as_ref());
        let gain = signed(before) - signed(after.overloads(engine_rate).iter().sum());
        Some(Offer {
            item,
            site,
            victims,
            gain,
        })
    }

    /// Projects a further copy and what goes for it.
    fn imagine(&mut self, item: usize, site: usize, victims: Option<&Victims>) {
        let wanted = &self.items[item];
        let target = &mut self.sites[site];
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
        } else if self.fleet.sites[offer.site].available_mb() >= signed(memory_mb) {
            self.load(offer.site, offer.item, Reason::Demand);
        } else {
            self.fleet.sites[offer.site].soon_mb -= signed(memory_mb);
        }
    }
}
