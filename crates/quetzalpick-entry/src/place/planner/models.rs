//! Which models get a further copy, and whose copies make room for them.

use quetzalpick_core::id::{Artifact, Endpoint};
use quetzalpick_core::table::Table;

use super::{LOAD_COST, Place, Planner, load_ms};
use crate::config::Engine;
use crate::place::copy::is_adapter;
use crate::place::model::{Need, needs};
use crate::place::room::{free_mb, memory_mb};
use crate::place::site::RETIRE_MS;
use crate::place::{Action, Order, Send, Site, Work};

/// `Room` is what it costs that a copy of a model makes room.
#[derive(Debug)]
struct Room {
    /// What one copy less costs; `None` if none would serve then.
    loss: Option<Work>,
    /// What it costs that the model has no copy.
    reach: Work,
    /// Time until the requests at the copy have ended, in ms.
    drain_ms: u64,
}

/// `Rooms` is what room costs, by model.
type Rooms = Table<Artifact, Room>;

/// Returns what it costs that a copy of each model makes room.
fn rooms(needs: &[Need<'_>]) -> Rooms {
    let room = |need: &Need<'_>| Room {
        loss: need.loss(),
        reach: need.reach(),
        drain_ms: need.drain_ms(),
    };
    let rooms = needs.iter();
    rooms
        .map(|need| (need.model.name.clone(), room(need)))
        .collect()
}

impl Planner {
    /// Plans loads of the models that gain most, and makes room for them.
    pub(super) fn plan_models(&mut self, now_ms: u64, place: &Place<'_>, sends: &mut Vec<Send>) {
        let engine = place.engine;
        self.take_back(now_ms);
        self.unload_retired(now_ms, sends);
        self.keep_promises(now_ms, engine, sends);
        // Each step changes what the others gain.
        for _ in 0..engine.models.len() {
            let needs = needs(engine, &self.sites, &self.work);
            let rooms = rooms(&needs);
            let steps = needs
                .iter()
                .filter(|need| need.gain() >= self.options.fill_gain);
            let step = steps
                .into_iter()
                .find_map(|need| self.model_step(now_ms, place, need, &rooms));
            let Some((endpoint, action, artifact, promised)) = step else {
                return;
            };
            let order = Order {
                action,
                model: artifact,
                adapter: None,
                expected_orders: 0,
            };
            match (promised, self.sites.get_mut(&endpoint)) {
                (Some(promised), Some(site)) => site.retire(now_ms, order.model, Some(promised)),
                _ => {
                    self.begin_load(now_ms, engine, &endpoint, &order);
                    self.send(&endpoint, order, "demand", sends);
                }
            }
        }
    }

    /// Lets VMs use a copy again that they were leaving, if no other one is left, unless it makes room for a model without a
    /// copy that is asked for more.
    fn take_back(&mut self, now_ms: u64) {
        let retiring = |(endpoint, site): (&Endpoint, &Site)| {
            let model = site.retiring().filter(|_| site.open.is_none())?;
            Some((endpoint.clone(), model.clone()))
        };
        let retiring: Vec<_> = self.sites.iter().filter_map(retiring).collect();
        for (endpoint, model) in retiring {
            let is_kept = |site: &Site| site.is_usable() && site.keeps(&model);
            if self.sites.values().any(is_kept) || self.yields(&endpoint, &model) {
                continue;
            }
            if let Some(site) = self.sites.get_mut(&endpoint) {
                site.take_back(now_ms, model);
            }
        }
    }

    /// Tells whether a model makes room at an engine for one without a copy that is asked for more.
    fn yields(&self, endpoint: &Endpoint, model: &Artifact) -> bool {
        let site = self.sites.get(endpoint);
        let Some(promised) = site.and_then(|site| site.promised.as_ref()) else {
            return false;
        };
        let work = |model: &Artifact| self.work.get(model).copied().unwrap_or_default();
        !self.is_held(promised) && work(promised) > work(model)
    }

    /// Unloads the models that VMs have had the time to leave.
    fn unload_retired(&mut self, now_ms: u64, sends: &mut Vec<Send>) {
        let retired = |(endpoint, site): (&Endpoint, &Site)| {
            let model = site.retired(now_ms).filter(|_| site.is_idle(now_ms))?;
            Some((endpoint.clone(), model.clone()))
        };
        let due: Vec<_> = self.sites.iter().filter_map(retired).collect();
        for (endpoint, model) in due {
            let order = Order {
                action: Action::Unload,
                model,
                adapter: None,
                expected_orders: 0,
            };
            self.send(&endpoint, order, "room", sends);
        }
    }

    /// Loads what room was made for.
    fn keep_promises(&mut self, now_ms: u64, engine: &Engine, sends: &mut Vec<Send>) {
        let promised = |(endpoint, site): (&Endpoint, &Site)| {
            let model = site.promised.clone()?;
            let fits = free_mb(engine, site) >= memory_mb(engine, &model);
            let ready = site.is_idle(now_ms) && fits && self.may_load(now_ms, engine, site, &model);
            ready.then(|| (endpoint.clone(), model))
        };
        let due: Vec<_> = self.sites.iter().filter_map(promised).collect();
        for (endpoint, model) in due {
            let order = Order {
                action: Action::Load,
                model,
                adapter: None,
                expected_orders: 0,
            };
            self.begin_load(now_ms, engine, &endpoint, &order);
            self.send(&endpoint, order, "promised", sends);
        }
    }

    /// Finds how a model gets one more copy: a load where there is room, or an unload that makes room.
    fn model_step(
        &self,
        now_ms: u64,
        place: &Place<'_>,
        need: &Need<'_>,
        rooms: &Rooms,
    ) -> Option<(Endpoint, Action, Artifact, Option<Artifact>)> {
        let engine = place.engine;
        let model = &need.model.name;
        let open = |site: &Site| {
            let takes = site.is_idle(now_ms) && site.promised.is_none();
            site.spec.service == *place.service
                && takes
                && !site.copies.iter().any(|c| c.artifact == *model)
        };
        let sites: Vec<_> = self.sites.iter().filter(|(_, site)| open(site)).collect();
        let may_load = |site: &Site| self.may_load(now_ms, engine, site, model);
        let load_time_ms = |endpoint: &Endpoint, site: &Site| {
            load_ms(site, need.model).0 + place.load(endpoint) / LOAD_COST
        };
        let load = |(endpoint, site): &(&Endpoint, &Site)| {
            let fits = free_mb(engine, site) >= need.model.memory_mb && may_load(site);
            let missed = need.missed_while(load_time_ms(endpoint, site));
            fits.then(|| (missed, (*endpoint).clone(), Action::Load, model.clone()))
        };
        let moves = need.gain() >= self.options.move_gain;
        let unload = |(endpoint, site): &(&Endpoint, &Site)| {
            let (missed, victim) = self.victim(engine, site, need, rooms)?;
            let wait_ms = RETIRE_MS + load_time_ms(endpoint, site);
            let missed = missed + need.missed_while(wait_ms);
            may_load(site).then(|| (missed, (*endpoint).clone(), Action::Unload, victim))
        };
        let loads = sites.iter().filter_map(load);
        let unloads = sites.iter().filter(|_| moves).filter_map(unload);
        let (_, endpoint, action, artifact) = loads.chain(unloads).min()?;
        let promised = (action == Action::Unload).then(|| model.clone());
        Some((endpoint, action, artifact, promised))
    }

    /// Finds the model at an engine whose copy is missed least, if its room suffices; tells how much it is missed until the room
    /// is there, and afterwards.
    fn victim(
        &self,
        engine: &Engine,
        site: &Site,
        need: &Need<'_>,
        rooms: &Rooms,
    ) -> Option<(Work, Artifact)> {
        let gain = need.gain();
        let ratio = self.options.move_ratio_percent;
        let free = free_mb(engine, site);
        let held = site.copies.iter().filter(|copy| copy.is_held());
        // Only a model that is asked for and has no copy may take the place of another one's last copy.
        let is_refused = need.copies == 0 && need.work > 0;
        let missed = |artifact: &Artifact| {
            let Some(room) = rooms.get(artifact) else {
                return Some(0);
            };
            let loss = room.loss.or(is_refused.then_some(room.reach))?;
            let gains = gain * 100 >= loss * ratio;
            gains.then(|| loss + need.missed_while(room.drain_ms))
        };
        held.filter(|copy| !is_adapter(&copy.artifact))
            .filter(|copy| free + memory_mb(engine, &copy.artifact) >= need.model.memory_mb)
            .filter_map(|copy| Some((missed(&copy.artifact)?, copy.artifact.clone())))
            .min()
    }
}
