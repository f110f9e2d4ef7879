//! Which models get a further copy, and whose copies make room for them.

use quetzalpick_core::id::{Artifact, Endpoint};
use quetzalpick_core::table::Table;

use super::{LOAD_COST, Place, Planner, load_ms};
use crate::config::EngineSpec;
use crate::place::copy::is_adapter;
use crate::place::engine_state::RETIRE_MS;
use crate::place::model::{Need, needs};
use crate::place::room::{free_mb, memory_mb};
use crate::place::{Action, EngineState, Order, Send, Work};

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
        let spec = place.spec;
        self.take_back(now_ms);
        self.unload_retired(now_ms, sends);
        self.keep_promises(now_ms, spec, sends);
        // Each step changes what the others gain.
        for _ in 0..spec.models.len() {
            let needs = needs(spec, &self.engines, &self.work);
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
            match (promised, self.engines.get_mut(&endpoint)) {
                (Some(promised), Some(engine)) => {
                    engine.retire(now_ms, order.model, Some(promised))
                }
                _ => {
                    self.begin_load(now_ms, spec, &endpoint, &order);
                    self.send(&endpoint, order, "demand", sends);
                }
            }
        }
    }

    /// Lets VMs use a copy again that they were leaving, if no other one is left, unless it makes room for a model without a
    /// copy that is asked for more.
    fn take_back(&mut self, now_ms: u64) {
        let retiring = |(endpoint, engine): (&Endpoint, &EngineState)| {
            let model = engine.retiring().filter(|_| engine.open.is_none())?;
            Some((endpoint.clone(), model.clone()))
        };
        let retiring: Vec<_> = self.engines.iter().filter_map(retiring).collect();
        for (endpoint, model) in retiring {
            let is_kept = |engine: &EngineState| engine.is_usable() && engine.keeps(&model);
            if self.engines.values().any(is_kept) || self.yields(&endpoint, &model) {
                continue;
            }
            if let Some(engine) = self.engines.get_mut(&endpoint) {
                engine.take_back(now_ms, model);
            }
        }
    }

    /// Tells whether a model makes room at an engine for one without a copy that is asked for more.
    fn yields(&self, endpoint: &Endpoint, model: &Artifact) -> bool {
        let engine = self.engines.get(endpoint);
        let Some(promised) = engine.and_then(|engine| engine.promised.as_ref()) else {
            return false;
        };
        let work = |model: &Artifact| self.work.get(model).copied().unwrap_or_default();
        !self.is_held(promised) && work(promised) > work(model)
    }

    /// Unloads the models that VMs have had the time to leave.
    fn unload_retired(&mut self, now_ms: u64, sends: &mut Vec<Send>) {
        let retired = |(endpoint, engine): (&Endpoint, &EngineState)| {
            let model = engine.retired(now_ms).filter(|_| engine.is_idle(now_ms))?;
            Some((endpoint.clone(), model.clone()))
        };
        let due: Vec<_> = self.engines.iter().filter_map(retired).collect();
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
    fn keep_promises(&mut self, now_ms: u64, spec: &EngineSpec, sends: &mut Vec<Send>) {
        let promised = |(endpoint, engine): (&Endpoint, &EngineState)| {
            let model = engine.promised.clone()?;
            let fits = free_mb(spec, engine) >= memory_mb(spec, &model);
            let ready =
                engine.is_idle(now_ms) && fits && self.may_load(now_ms, spec, engine, &model);
            ready.then(|| (endpoint.clone(), model))
        };
        let due: Vec<_> = self.engines.iter().filter_map(promised).collect();
        for (endpoint, model) in due {
            let order = Order {
                action: Action::Load,
                model,
                adapter: None,
                expected_orders: 0,
            };
            self.begin_load(now_ms, spec, &endpoint, &order);
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
        let spec = place.spec;
        let model = &need.model.name;
        let open = |engine: &EngineState| {
            let takes = engine.is_idle(now_ms) && engine.promised.is_none();
            engine.spec.service == *place.service
                && takes
                && !engine.copies.iter().any(|c| c.artifact == *model)
        };
        let engines: Vec<_> = self
            .engines
            .iter()
            .filter(|(_, engine)| open(engine))
            .collect();
        let may_load = |engine: &EngineState| self.may_load(now_ms, spec, engine, model);
        let load_time_ms = |endpoint: &Endpoint, engine: &EngineState| {
            load_ms(engine, need.model).0 + place.load(endpoint) / LOAD_COST
        };
        let load = |(endpoint, engine): &(&Endpoint, &EngineState)| {
            let fits = free_mb(spec, engine) >= need.model.memory_mb && may_load(engine);
            let missed = need.missed_while(load_time_ms(endpoint, engine));
            fits.then(|| (missed, (*endpoint).clone(), Action::Load, model.clone()))
        };
        let moves = need.gain() >= self.options.move_gain;
        let unload = |(endpoint, engine): &(&Endpoint, &EngineState)| {
            let (missed, victim) = self.victim(spec, engine, need, rooms)?;
            let wait_ms = RETIRE_MS + load_time_ms(endpoint, engine);
            let missed = missed + need.missed_while(wait_ms);
            may_load(engine).then(|| (missed, (*endpoint).clone(), Action::Unload, victim))
        };
        let loads = engines.iter().filter_map(load);
        let unloads = engines.iter().filter(|_| moves).filter_map(unload);
        let (_, endpoint, action, artifact) = loads.chain(unloads).min()?;
        let promised = (action == Action::Unload).then(|| model.clone());
        Some((endpoint, action, artifact, promised))
    }

    /// Finds the model at an engine whose copy is missed least, if its room suffices; tells how much it is missed until the room
    /// is there, and afterwards.
    fn victim(
        &self,
        spec: &EngineSpec,
        engine: &EngineState,
        need: &Need<'_>,
        rooms: &Rooms,
    ) -> Option<(Work, Artifact)> {
        let gain = need.gain();
        let ratio = self.options.move_ratio_percent;
        let free = free_mb(spec, engine);
        let held = engine.copies.iter().filter(|copy| copy.is_held());
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
            .filter(|copy| free + memory_mb(spec, &copy.artifact) >= need.model.memory_mb)
            .filter_map(|copy| Some((missed(&copy.artifact)?, copy.artifact.clone())))
            .min()
    }
}
