//! Selects the moves of one planning round: loads into free memory, and evictions for loads.

use std::cmp::Reverse;

use quetzalpick_core::id::{Artifact, Endpoint};

use super::demands::{Demands, Held, Site};
use super::eviction::BuildCopies;
use super::weights::{LoadBudget, may_read_store};
use super::{PlannedService, Planner, WORK_PER_LOAD_MS, load_ms};
use crate::place::Work;
use crate::place::engine_state::DRAIN_MS;
use crate::place::model::{ModelDemand, Place, REQUEST_RUN_MS};

/// `Move` loads a model at an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Move {
    pub(super) endpoint: Endpoint,
    pub(super) model: Artifact,
    /// Model that is evicted before; `None` if memory is free.
    pub(super) evicted: Option<Artifact>,
}

/// `Step` loads a model into free memory, or evicts another one for it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Step {
    /// Cost of getting the copy this way.
    cost: Work,
    /// Copies of the evicted model; of copies that cost the same, one of the model with most copies goes.
    copies: Reverse<u64>,
    /// Index of the site.
    site: usize,
    /// Index of the evicted copy among those of the site; `None` if the memory is free.
    victim: Option<usize>,
}

/// `Selection` chooses moves one after the other, each on the expected effects of those before.
#[derive(Debug)]
pub(super) struct Selection<'a> {
    planner: &'a Planner,
    now_ms: u64,
    service: &'a PlannedService<'a>,
    demands: Demands<'a>,
    builds: BuildCopies,
    budget: LoadBudget,
    /// Least loss of a model at each site, sorted, with the index of the site.
    losses: Vec<(Work, usize)>,
    /// Most memory that is free at any site, in MB.
    max_free_mb: u64,
}

/// Factor by which the gain must exceed the usual for a model that was evicted recently.
const RECENT_EVICTION_FACTOR: Work = 4;

impl<'a> Selection<'a> {
    /// Collects what the moves depend on.
    pub(super) fn new(planner: &'a Planner, now_ms: u64, service: &'a PlannedService<'a>) -> Self {
        let mut selection = Self {
            planner,
            now_ms,
            service,
            demands: Demands::new(planner, now_ms, service),
            builds: BuildCopies::new(service.name, &planner.engines),
            budget: planner.load_budget(now_ms, service.spec),
            losses: Vec::new(),
            max_free_mb: 0,
        };
        selection.update_bounds();
        selection
    }

    /// Determines the least losses and the most free memory, which tell what no site is worth a look for.
    fn update_bounds(&mut self) {
        let loss = |site: &Site<'_>, held: &Held<'_>| {
            let Some(index) = held.model else {
                return Some(0);
            };
            self.demands.models[index].loss(held.share, site.place.pace)
        };
        let least = |(index, site): (usize, &Site<'_>)| {
            let losses = site.held.iter().filter_map(|held| loss(site, held));
            Some((losses.min()?, index))
        };
        let sites = &self.demands.sites;
        let mut losses: Vec<(Work, usize)> = sites.iter().enumerate().filter_map(least).collect();
        losses.sort_unstable();
        self.max_free_mb = sites
            .iter()
            .map(|site| site.free_mb)
            .max()
            .unwrap_or_default();
        self.losses = losses;
    }

    /// Returns the moves of the round.
    pub(super) fn moves(mut self) -> Vec<Move> {
        let mut moves = Vec::new();
        // Each step changes the gains of the others.
        while moves.len() < self.demands.models.len() {
            let mut models = self.by_gain().into_iter();
            let next = models.find_map(|model| Some((model, self.next_step(model)?)));
            let Some((model, step)) = next else {
                break;
            };
            moves.push(self.apply(model, &step));
            self.update_bounds();
        }
        moves
    }

    /// Returns the indices of the models with enough gain: those that are requested and have no copy first, then by gain.
    fn by_gain(&self) -> Vec<usize> {
        let options = &self.planner.options;
        let mut order: Vec<(Reverse<bool>, Reverse<Work>, usize)> = Vec::new();
        for (index, demand) in self.demands.models.iter().enumerate() {
            let gain = demand.gain();
            if gain >= options.min_fill_gain {
                let is_first = self.planner.hysteresis().is_some() && is_unserved(demand);
                order.push((Reverse(is_first), Reverse(gain), index));
            }
        }
        order.sort_unstable();
        order.into_iter().map(|(_, _, index)| index).collect()
    }

    /// Applies a step to the demand and the sites, and returns its move.
    fn apply(&mut self, model: usize, step: &Step) -> Move {
        let site = self.demands.sites.remove(step.site);
        let mut place = site.place;
        let victim = step.victim.map(|index| &site.held[index]);
        if let Some(victim) = victim {
            place = without(place, victim);
            self.builds.remove(site.engine, victim.artifact);
            if let Some(index) = victim.model {
                self.demands.models[index].remove_copy(victim.share, place.pace);
            }
        }
        let demand = &mut self.demands.models[model];
        if may_read_store(self.now_ms, site.engine, demand.model) {
            self.budget.take(victim.is_some());
        }
        demand.add_copy(place);
        Move {
            endpoint: site.endpoint.clone(),
            model: demand.model.name.clone(),
            evicted: victim.map(|victim| victim.artifact.clone()),
        }
    }

    /// Finds the cheapest way to get one more copy of a model: a load where memory is free, or an eviction that frees it.
    fn next_step(&self, model: usize) -> Option<Step> {
        let demand = &self.demands.models[model];
        let options = &self.planner.options;
        let name = &demand.model.name;
        let factor = if self.planner.was_evicted_recently(self.now_ms, name) {
            RECENT_EVICTION_FACTOR
        } else {
            1
        };
        let gain = demand.gain();
        let may_fill = gain >= options.min_fill_gain * factor;
        let is_demand_known = self.now_ms >= self.planner.demand_known_ms;
        let may_evict = is_demand_known && gain >= options.min_eviction_gain * factor;
        let fills = may_fill.then(|| self.fills(model));
        let evictions = may_evict.then(|| self.evictions(model));
        let fills = fills.into_iter().flatten();
        fills.chain(evictions.into_iter().flatten()).min()
    }

    /// Returns the possible loads of a model into free memory.
    fn fills(&self, model: usize) -> impl Iterator<Item = Step> {
        let demand = &self.demands.models[model];
        let sites = self.demands.sites.iter().enumerate();
        let memory_mb = demand.model.memory_mb;
        let fits = self.max_free_mb >= memory_mb;
        let sites = sites.take_while(move |_| fits);
        let sites = sites.filter(move |(_, site)| site.free_mb >= memory_mb);
        let may_load = self.budget.may_load();
        sites
            .filter(move |(_, site)| may_load || site.is_local(model))
            .filter(move |(_, site)| !site.has(model))
            .filter_map(move |(index, site)| self.fill(demand, index, site))
    }

    /// Returns the possible evictions for a model, of each site the cheapest.
    fn evictions(&self, model: usize) -> impl Iterator<Item = Step> {
        let demand = &self.demands.models[model];
        let ratio = self.planner.options.min_eviction_ratio_percent;
        let is_unserved = is_unserved(demand);
        let most = demand.gain() * 100;
        let worth = self.losses.iter();
        let worth = worth.take_while(move |(loss, _)| !is_unserved && loss * ratio <= most);
        // A model without a copy may also evict last copies, at any site.
        let all = (0..self.demands.sites.len()).filter(move |_| is_unserved);
        let sites = worth.map(|(_, index)| *index).chain(all);
        let sites = sites.map(|index| (index, &self.demands.sites[index]));
        let may_load = self.budget.may_evict();
        sites
            .filter(move |(_, site)| may_load || site.is_local(model))
            .filter(move |(_, site)| !site.has(model))
            .filter_map(move |(index, site)| self.evict(demand, index, site))
    }

    /// Returns the load of a model into free memory, if its gain there is sufficient.
    fn fill(&self, demand: &ModelDemand<'_>, index: usize, site: &Site<'_>) -> Option<Step> {
        let reads_store = may_read_store(self.now_ms, site.engine, demand.model);
        let gain = demand.gain_at(site.place);
        let may_load = !reads_store || self.budget.may_load();
        (may_load && gain >= self.min_fill_gain(reads_store)).then(|| Step {
            cost: demand.delay_cost(self.load_time_ms(demand, site))
                + demand.gain().saturating_sub(gain),
            copies: Reverse(u64::MAX),
            site: index,
            victim: None,
        })
    }

    /// Returns the least gain for which a copy is loaded into free memory.
    fn min_fill_gain(&self, reads_store: bool) -> Work {
        let options = &self.planner.options;
        let hysteresis = self.planner.hysteresis().filter(|_| reads_store);
        let min_store_gain = hysteresis.map_or(0, |hysteresis| hysteresis.min_store_gain);
        options.min_fill_gain.max(min_store_gain)
    }

    /// Returns the time that a load takes, in ms; requests that run there delay it.
    fn load_time_ms(&self, demand: &ModelDemand<'_>, site: &Site<'_>) -> u64 {
        let delay_ms = self.service.work_at(site.endpoint) / WORK_PER_LOAD_MS;
        load_ms(site.engine, demand.model).0 + delay_ms
    }

    /// Returns the eviction at a site that costs least, if it is worth it.
    fn evict(&self, demand: &ModelDemand<'_>, index: usize, site: &Site<'_>) -> Option<Step> {
        let reads_store = may_read_store(self.now_ms, site.engine, demand.model);
        if reads_store && !self.budget.may_evict() {
            return None;
        }
        let wait_ms = DRAIN_MS + self.load_time_ms(demand, site);
        let held = site.held.iter().enumerate();
        let fits = |held: &Held<'_>| site.free_mb + held.memory_mb >= demand.model.memory_mb;
        let held = held.filter(|(_, held)| fits(held));
        let steps = held.filter_map(|(victim, held)| {
            Some(Step {
                cost: self.eviction_cost(demand, site, held, wait_ms)? + demand.delay_cost(wait_ms),
                copies: Reverse(self.copies_of(held)),
                site: index,
                victim: Some(victim),
            })
        });
        steps.min()
    }

    /// Returns the copies of the model that a copy belongs to, by which copies that cost the same are told apart.
    fn copies_of(&self, held: &Held<'_>) -> u64 {
        let has_hysteresis = self.planner.hysteresis().is_some();
        let model = held.model.filter(|_| has_hysteresis);
        model.map_or(0, |index| self.demands.models[index].copies)
    }

    /// Returns the cost of evicting a copy, with the delay until its requests have ended; `None` if that isn't worth it.
    ///
    /// `wait_ms` is the time that the move takes besides.
    fn eviction_cost(
        &self,
        demand: &ModelDemand<'_>,
        site: &Site<'_>,
        held: &Held<'_>,
        wait_ms: u64,
    ) -> Option<Work> {
        let Some(index) = held.model else {
            return Some(0);
        };
        let victim = &self.demands.models[index];
        let loss = self.loss(demand, site, held, victim)?;
        let gain = demand.gain_at(without(site.place, held));
        let completion_ms = victim.completion_ms();
        let crowding = demand.gain().saturating_sub(gain);
        let is_worth_it = self.is_worth_it(demand, gain, loss, held.share, wait_ms + completion_ms);
        is_worth_it.then(|| loss + demand.delay_cost(completion_ms) + crowding)
    }

    /// Returns what is lost without a copy; `None` if it must stay.
    fn loss(
        &self,
        demand: &ModelDemand<'_>,
        site: &Site<'_>,
        held: &Held<'_>,
        victim: &ModelDemand<'_>,
    ) -> Option<Work> {
        // Only a model that is requested and has no copy may evict another model's last copy.
        let is_unserved = is_unserved(demand);
        let is_held_back = self.planner.is_held_back(self.now_ms, held.loaded_ms);
        let loss = victim.loss(held.share, site.place.pace);
        let loss = loss.filter(|_| !is_held_back || is_unserved);
        let loss = loss.or(is_unserved.then(|| victim.availability_value()))?;
        let is_last = self.builds.is_last(site.engine, held.artifact);
        Some(loss + if is_last { victim.build_loss() } else { 0 })
    }

    /// Returns whether a copy that is gained after `wait_ms` is worth the loss of another that serves `share`.
    fn is_worth_it(
        &self,
        demand: &ModelDemand<'_>,
        gain: Work,
        loss: Work,
        share: f64,
        wait_ms: u64,
    ) -> bool {
        let ratio = self.planner.options.min_eviction_ratio_percent;
        if self.planner.hysteresis().is_none() || is_unserved(demand) {
            return gain * 100 >= loss * ratio;
        }
        let served_ms = demand.horizon_ms.saturating_sub(wait_ms);
        // The prompts that the evicted copy has read are read again elsewhere.
        let disruption = share * REQUEST_RUN_MS;
        let gained = gain as f64 * served_ms as f64;
        let lost = loss as f64 * demand.horizon_ms as f64 + disruption;
        gained * 100.0 >= lost * ratio as f64
    }
}

/// Returns whether a model is requested and has no copy.
fn is_unserved(demand: &ModelDemand<'_>) -> bool {
    demand.copies == 0 && demand.is_requested
}

/// Returns a site's place once one of its copies is evicted.
fn without(place: Place, held: &Held<'_>) -> Place {
    Place {
        work: (place.work - held.share).max(0.0),
        ..place
    }
}
