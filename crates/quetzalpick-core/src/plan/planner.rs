//! The planner.

use strum::{Display, EnumString, VariantNames};

use crate::id::{Artifact, Endpoint};
use crate::plan::draft::Draft;
use crate::plan::fleet::{Fleet, Phase, Site, signed};
use crate::plan::item::items;
use crate::plan::limits::{Allowance, Limits};
use crate::plan::room::Keep;
use crate::plan::{Demand, Reason, Status, Step};
use crate::record::Operation;
use crate::state::State;
use crate::table::Table;

/// Demand-driven copies considered in one round.
const OFFERS_MAX: usize = 4;

/// `Policy` is the way of placing copies.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum Policy {
    /// The fewest copies and pins only; demand moves nothing.
    Static,
    /// A copy for whatever has demand and too few copies, in place of the least recently used one.
    LeastRecentlyUsed,
    /// Copies by marginal gain, with hysteresis and a price on moves.
    #[default]
    Gain,
}

/// `Options` are the planner's knobs and limits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// The way of placing copies.
    pub policy: Policy,
    /// Model loads that the weight store allows per second.
    pub loads_per_s: u32,
    /// Model loads under way at once.
    pub loads_in_flight: u32,
    /// Adapter loads under way at once across the fleet.
    pub adapters_in_flight: u32,
    /// Tokens per second that one accelerator serves.
    pub engine_rate: u64,
    /// Least gain that justifies a further copy, in tokens per second.
    pub move_price: u64,
    /// Least time between two demand-driven changes of one artifact's copies, in ms.
    pub hold_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            policy: Policy::default(),
            loads_per_s: 2,
            loads_in_flight: 2,
            adapters_in_flight: 16,
            engine_rate: 1_000,
            move_price: 200,
            hold_ms: 30_000,
        }
    }
}

/// `Planner` turns the state and the demand into wanted operations.
///
/// It is asked again after its steps took effect or failed; steps that are still open in the ledger are not repeated.
#[derive(Debug, Clone)]
pub struct Planner {
    options: Options,
    allowance: Allowance,
    /// Time of the last demand-driven change by artifact, in ms.
    changed: Table<Artifact, u64>,
    /// Time of the last demand by artifact, in ms.
    used: Table<Artifact, u64>,
}

impl Planner {
    /// Returns a planner that has moved nothing yet.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            allowance: Allowance::default(),
            changed: Table::default(),
            used: Table::default(),
        }
    }

    /// Returns the options.
    pub fn options(&self) -> &Options {
        &self.options
    }

    /// Returns the operations wanted now, most urgent first, within the limits of the weight store.
    pub fn plan(
        &mut self,
        now_ms: u64,
        state: &State,
        demand: &Demand,
        engines: &Table<Endpoint, Status>,
    ) -> Vec<Step> {
        let fleet = Fleet::new(state, items(state.catalog(), demand), engines);
        self.note_use(now_ms, &fleet);
        let mut allowance = std::mem::take(&mut self.allowance);
        allowance.fill(now_ms, self.options.loads_per_s);
        let limits = Limits::new(&self.options, &mut allowance, fleet.loading());
        let mut draft = Draft {
            fleet,
            limits,
            steps: Vec::new(),
        };
        draft.reach();
        draft.pin();
        draft.fill();
        draft.clear();
        match self.options.policy {
            Policy::Static => {}
            Policy::LeastRecentlyUsed => self.replace_least_recent(&mut draft),
            Policy::Gain => {
                self.follow_demand(now_ms, &mut draft);
                let artifacts: Vec<&Artifact> =
                    draft.fleet.items.iter().map(|item| item.artifact).collect();
                let may_change = |item: usize| self.may_change(now_ms, artifacts[item]);
                draft.spare(self.options.engine_rate, may_change);
            }
        }
        let steps = draft.steps;
        self.allowance = allowance;
        self.note_changes(now_ms, &steps);
        steps
    }

    fn note_use(&mut self, now_ms: u64, fleet: &Fleet<'_>) {
        for item in fleet.items.iter().filter(|item| item.demand > 0) {
            self.used.insert(item.artifact.clone(), now_ms);
        }
    }

    /// Remembers what was changed for the sake of demand, so that it stays for a while.
    fn note_changes(&mut self, now_ms: u64, steps: &[Step]) {
        let by_demand = |step: &&Step| matches!(step.reason, Reason::Demand | Reason::Room);
        for step in steps.iter().filter(by_demand) {
            let (Operation::Load(artifact, _) | Operation::Unload(artifact, _)) = &step.operation;
            self.changed.insert(artifact.clone(), now_ms);
        }
    }

    fn may_change(&self, now_ms: u64, artifact: &Artifact) -> bool {
        let changed = self.changed.get(artifact);
        changed.is_none_or(|at| now_ms.saturating_sub(*at) >= self.options.hold_ms)
    }

    /// Adds the copies that gain more than a move costs.
    fn follow_demand(&self, now_ms: u64, draft: &mut Draft<'_, '_>) {
        for _ in 0..OFFERS_MAX {
            let fleet = &draft.fleet;
            let may_change = |item: usize| self.may_change(now_ms, fleet.items[item].artifact);
            let offer = fleet.best_offer(self.options.engine_rate, may_change);
            let Some(offer) = offer.filter(|o| o.gain >= signed(self.options.move_price)) else {
                return;
            };
            draft.accept(&offer);
        }
    }

    /// Adds a copy of each strained item in place of the least recently used copies.
    fn replace_least_recent(&self, draft: &mut Draft<'_, '_>) {
        for item in 0..draft.fleet.items.len() {
            let wanted = &draft.fleet.items[item];
            let copies = draft.fleet.expected(item);
            let served = self.options.engine_rate.saturating_mul(copies as u64);
            if wanted.demand <= served || copies >= wanted.max {
                continue;
            }
            let memory_mb = wanted.memory_mb;
            let sites = draft.fleet.sites_for(item);
            let fits = |at: &&usize| draft.fleet.sites[**at].available_mb() >= signed(memory_mb);
            if let Some(site) = sites.iter().find(fits) {
                draft.load(*site, item, Reason::Demand);
                continue;
            }
            let fleet = &draft.fleet;
            let last_use = |site: usize, copy: usize| {
                let artifact = fleet.sites[site].copies[copy].artifact;
                self.used.get(artifact).copied().unwrap_or_default()
            };
            let victims = sites.iter().find_map(|site| {
                let cost = |copy| Some(last_use(*site, copy));
                fleet.victims_at(*site, memory_mb, Keep::Bounds, cost)
            });
            if let Some(victims) = victims {
                draft.evict(&victims, memory_mb);
            }
        }
    }
}

impl Draft<'_, '_> {
    /// Gives every item a first copy; those that nothing serves go first, models before adapters.
    fn reach(&mut self) {
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
        let under_way = |site: &Site<'_>| {
            site.is_usable() && site.has(base, Phase::Loading) && site.soon_mb >= adapter_mb
        };
        if fleet.good(base) == 0 || fleet.sites.iter().any(under_way) {
            return;
        }
        let sites = fleet.sites_for(base);
        let fits = |at: &&usize| fleet.sites[**at].available_mb() >= base_mb + adapter_mb;
        if let Some(site) = sites.iter().find(fits) {
            self.load(*site, base, reason);
        }
    }

    /// Loads pinned items where they are pinned, a base model before its adapter.
    fn pin(&mut self) {
        for item in 0..self.fleet.items.len() {
            for site in 0..self.fleet.sites.len() {
                let here = &self.fleet.sites[site];
                let wanted = &self.fleet.items[item];
                let pinned = here.is_usable() && wanted.is_pinned_to(here.endpoint);
                if !pinned || here.copy(item).is_some() {
                    continue;
                }
                let missing = wanted.base.filter(|base| here.copy(*base).is_none());
                let first = missing.unwrap_or(item);
                if self.fleet.sites_for(first).contains(&site) {
                    self.place_at(&[site], first, Keep::Bounds, Reason::Pinned);
                }
            }
        }
    }

    /// Loads up to the fewest copies, and as many as are going away.
    fn fill(&mut self) {
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
    fn clear(&mut self) {
        for site in 0..self.fleet.sites.len() {
            for copy in 0..self.fleet.sites[site].copies.len() {
                let Some(reason) = self.unwanted(site, copy) else {
                    continue;
                };
                if !self.fleet.may_unload(site, copy, Keep::Bounds) {
                    continue;
                }
                for adapter in self.fleet.dependents(site, copy) {
                    self.unload(site, adapter, reason);
                }
                self.unload(site, copy, reason);
            }
        }
    }

    /// Returns why a copy should go.
    fn unwanted(&self, site: usize, copy: usize) -> Option<Reason> {
        let here = &self.fleet.sites[site];
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
            let stale = !candidate.wanted || self.has_lost_base(site, item);
            let replaced = good >= self.fleet.outgoing(item).min(wanted.max);
            return (stale && replaced).then_some(Reason::Stale);
        }
        (good > wanted.max).then_some(Reason::Most)
    }

    /// Tells whether an adapter's base model neither serves here nor is being loaded here.
    fn has_lost_base(&self, site: usize, item: usize) -> bool {
        let here = &self.fleet.sites[site];
        let base = self.fleet.items[item].base;
        base.is_some_and(|base| !here.has(base, Phase::Serving) && !here.has(base, Phase::Loading))
    }
}
