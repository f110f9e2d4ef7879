//! Demand for and copies of all models of a service, and the engines that may load or unload them.

use quetzalpick_core::id::{Artifact, Endpoint};

use super::{PlannedService, Planner};
use crate::config;
use crate::config::EngineSpec;
use crate::place::balance::Balance;
use crate::place::capacity::{size_mb, unused_mb};
use crate::place::copy::{is_adapter, model_of};
use crate::place::engine_state::{EngineState, USUAL_PACE};
use crate::place::limited;
use crate::place::model::{ModelDemand, Place, WORK_PER_REQUEST, find};

/// `Site` describes an engine that may load or unload models now.
#[derive(Debug)]
pub(super) struct Site<'a> {
    pub(super) endpoint: &'a Endpoint,
    pub(super) engine: &'a EngineState,
    pub(super) free_mb: u64,
    pub(super) place: Place,
    /// Indices of the models that it has copies of, in any phase.
    present: Vec<usize>,
    /// Indices of the models that its entry lists in host memory or on disk.
    local: Vec<usize>,
    /// Its models that serve.
    pub(super) held: Vec<Held<'a>>,
}

impl Site<'_> {
    /// Returns whether it has a copy of a model, given by its index, in any phase.
    pub(super) fn has(&self, model: usize) -> bool {
        self.present.contains(&model)
    }

    /// Returns whether its host memory or its disk may have a model, given by its index.
    pub(super) fn is_local(&self, model: usize) -> bool {
        self.local.contains(&model)
    }
}

/// `Held` describes a copy of a model that serves at a site.
#[derive(Debug)]
pub(super) struct Held<'a> {
    pub(super) artifact: &'a Artifact,
    /// Index of the model; `None` if it isn't configured.
    pub(super) model: Option<usize>,
    pub(super) memory_mb: u64,
    /// Work that it serves.
    pub(super) share: f64,
    /// When its load ended, in ms; `None` if it hasn't been loaded lately.
    pub(super) loaded_ms: Option<u64>,
}

/// `Demands` holds the demand for all models of a service, sorted by model, and its sites.
#[derive(Debug)]
pub(super) struct Demands<'a> {
    pub(super) models: Vec<ModelDemand<'a>>,
    pub(super) sites: Vec<Site<'a>>,
}

impl<'a> Demands<'a> {
    /// Collects the demand and the sites of a service.
    pub(super) fn new(planner: &'a Planner, now_ms: u64, service: &PlannedService<'a>) -> Self {
        let models = service.spec.models.iter();
        let mut models: Vec<ModelDemand<'a>> = models
            .map(|model| planner.demand(now_ms, service, model))
            .collect();
        models.sort_by_key(|demand| &demand.model.name);
        let engines: Vec<(&Endpoint, &EngineState)> = planner.engines.iter().collect();
        let balance = planner.balance(&engines, &mut models);
        limited::add_copies(&mut models, &planner.engines);
        let limited = models.iter_mut().filter(|demand| demand.capacity <= 0.0);
        for demand in limited {
            demand.is_limited = demand.copies > 0;
            demand.capacity = demand.copies as f64;
            demand.load = demand.work as f64 / demand.copies.max(1) as f64;
        }
        let is_site = |engine: &EngineState| {
            let is_free = engine.is_idle(now_ms) && engine.reserved_for.is_none();
            engine.spec.service == *service.name && is_free && engine.limit.is_none()
        };
        let sites = engines.iter().enumerate();
        let sites = sites.filter(|(_, (_, engine))| is_site(engine));
        let sites = sites.map(|(index, (endpoint, engine))| Site {
            endpoint,
            engine,
            free_mb: unused_mb(service.spec, engine, |artifact| {
                memory_mb(service.spec, &models, artifact)
            }),
            place: Place {
                work: balance.work[index],
                pace: pace(engine),
            },
            present: indices(&models, engine.copies.iter().map(|copy| &copy.artifact)),
            local: indices(&models, local(engine)),
            held: held(service.spec, engine, index, &models, &balance),
        });
        let sites = sites.collect();
        Self { models, sites }
    }
}

impl Planner {
    /// Returns the demand for a model, without its copies.
    fn demand<'a>(
        &self,
        now_ms: u64,
        service: &PlannedService<'a>,
        model: &'a config::Model,
    ) -> ModelDemand<'a> {
        let work = self.work.get(&model.name).copied().unwrap_or_default();
        let mut demand = ModelDemand {
            model,
            copies: 0,
            kept_copies: 0,
            work,
            is_requested: work > 0,
            deviation: 0,
            suggested: 0,
            is_limited: false,
            refused: 0,
            batch: u64::from(service.spec.batch) * WORK_PER_REQUEST,
            capacity: 0.0,
            load: 0.0,
            horizon_ms: 0,
        };
        let Some(hysteresis) = self.hysteresis() else {
            return demand;
        };
        let Some(estimate) = self.estimates.get(&model.name) else {
            demand.horizon_ms = hysteresis.max_horizon_ms;
            return demand;
        };
        demand.work = estimate.work as u64;
        demand.deviation = estimate.deviation() as u64;
        // Demand that has lasted for some time is expected to last as long again.
        let lasted_ms = now_ms.saturating_sub(estimate.changed_ms);
        demand.horizon_ms = lasted_ms.clamp(hysteresis.min_horizon_ms, hysteresis.max_horizon_ms);
        demand
    }

    /// Counts the copies of all models, and spreads the work over them.
    fn balance(
        &self,
        engines: &[(&Endpoint, &EngineState)],
        models: &mut [ModelDemand<'_>],
    ) -> Balance {
        let mut holders: Vec<Vec<usize>> = vec![Vec::new(); models.len()];
        let taking = engines.iter().enumerate();
        for (index, (_, engine)) in taking.filter(|(_, (_, engine))| engine.takes_load()) {
            for model in engine.models() {
                let Some(found) = find(models, model) else {
                    continue;
                };
                models[found].kept_copies += u64::from(engine.will_keep(model));
                if engine.will_hold(model) {
                    models[found].copies += 1;
                    models[found].capacity += pace(engine);
                    holders[found].push(index);
                }
            }
        }
        let paces: Vec<f64> = engines.iter().map(|(_, engine)| pace(engine)).collect();
        let demand: Vec<f64> = models.iter().map(|demand| demand.work as f64).collect();
        let balance = if self.hysteresis().is_some() {
            Balance::new(&paces, &demand, holders)
        } else {
            Balance::isolated(&paces, &demand, holders)
        };
        let is_demand_known = self.hysteresis().is_none() || !self.work.is_empty();
        for (demand, load) in models.iter_mut().zip(&balance.loads) {
            demand.load = *load;
            demand.suggested = if is_demand_known {
                0
            } else {
                demand.copies * WORK_PER_REQUEST
            };
        }
        balance
    }
}

/// Returns the models that an engine's entry lists in host memory or on disk.
fn local(engine: &EngineState) -> impl Iterator<Item = &Artifact> {
    engine.spec.in_memory.iter().chain(&engine.spec.on_disk)
}

/// Returns the indices of models in a list that is sorted by model.
fn indices<'a>(
    models: &[ModelDemand<'_>],
    artifacts: impl Iterator<Item = &'a Artifact>,
) -> Vec<usize> {
    let artifacts = artifacts.filter(|artifact| !is_adapter(artifact));
    artifacts
        .filter_map(|artifact| find(models, artifact))
        .collect()
}

/// Returns an engine's pace, where 1 is usual.
fn pace(engine: &EngineState) -> f64 {
    engine.pace.max(1) as f64 / USUAL_PACE as f64
}

/// Returns the models that serve at an engine, given by its index.
fn held<'a>(
    spec: &EngineSpec,
    engine: &'a EngineState,
    index: usize,
    models: &[ModelDemand<'_>],
    balance: &Balance,
) -> Vec<Held<'a>> {
    let copies = engine.copies.iter();
    let copies = copies.filter(|copy| copy.is_held() && !is_adapter(&copy.artifact));
    let share = |model: usize| {
        let mut shares = balance.shares[model].iter();
        let share = shares.find(|share| share.engine == index);
        share.map_or(0.0, |share| share.work)
    };
    let held = copies.map(|copy| {
        let model = find(models, &copy.artifact);
        Held {
            artifact: &copy.artifact,
            model,
            memory_mb: memory_mb(spec, models, &copy.artifact),
            share: model.map_or(0.0, share),
            loaded_ms: copy.loaded_ms,
        }
    });
    held.collect()
}

/// Returns the memory that a model or adapter takes, in MB, as `capacity::memory_mb` does, from a list that is sorted by model.
fn memory_mb(spec: &EngineSpec, models: &[ModelDemand<'_>], artifact: &Artifact) -> u64 {
    let found = if is_adapter(artifact) {
        find(models, &model_of(artifact))
    } else {
        find(models, artifact)
    };
    size_mb(spec, found.map(|index| models[index].model), artifact)
}
