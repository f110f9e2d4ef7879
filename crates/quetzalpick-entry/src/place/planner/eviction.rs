//! Cost of evicting copies of models.

use quetzalpick_core::id::{Artifact, Endpoint, Service};
use quetzalpick_core::table::Table;

use crate::fleet::Build;
use crate::place::model::ModelDemand;
use crate::place::{EngineState, Work};

/// `EvictionCost` describes the cost of evicting one copy of a model.
#[derive(Debug)]
pub(super) struct EvictionCost {
    /// Cost of one copy less; `None` if no copy would serve afterwards.
    pub(super) loss: Option<Work>,
    /// Cost of leaving the model without any copy.
    pub(super) availability_value: Work,
    /// Further cost if the copy is the only one of its build.
    build_loss: Work,
    /// Estimated time until the requests at the copy have ended, in ms.
    pub(super) completion_ms: u64,
}

/// `EvictionCosts` holds the cost of evicting a copy of each model of a service.
#[derive(Debug)]
pub(super) struct EvictionCosts {
    models: Table<Artifact, EvictionCost>,
    /// Number of copies by model and build; empty while the service runs one build.
    build_copies: Table<(Artifact, Build), usize>,
}

impl EvictionCosts {
    /// Determines the costs from the demand for all models of a service.
    pub(super) fn new(
        service: &Service,
        demands: &[ModelDemand<'_>],
        engines: &Table<Endpoint, EngineState>,
    ) -> Self {
        let cost = |demand: &ModelDemand<'_>| EvictionCost {
            loss: demand.loss(),
            availability_value: demand.availability_value(),
            build_loss: demand.build_loss(),
            completion_ms: demand.completion_ms(),
        };
        let models = demands
            .iter()
            .map(|demand| (demand.model.name.clone(), cost(demand)));
        Self {
            models: models.collect(),
            build_copies: count_copies(service, engines),
        }
    }

    /// Returns the cost of evicting a copy of a model.
    pub(super) fn get(&self, model: &Artifact) -> Option<&EvictionCost> {
        self.models.get(model)
    }

    /// Returns the further cost of evicting a model from an engine, where its build has no other copy.
    pub(super) fn build_loss(&self, engine: &EngineState, model: &Artifact) -> Work {
        if self.build_copies.is_empty() {
            return 0;
        }
        let key = (model.clone(), engine.spec.build.clone());
        let has_others = self.build_copies.get(&key).is_some_and(|count| *count > 1);
        let cost = self.get(model).filter(|_| !has_others);
        cost.map_or(0, |cost| cost.build_loss)
    }
}

/// Counts the copies that are kept, by model and build, if a service runs several builds.
fn count_copies(
    service: &Service,
    engines: &Table<Endpoint, EngineState>,
) -> Table<(Artifact, Build), usize> {
    let of_service = || {
        let engines = engines.values();
        engines.filter(|engine| engine.is_usable() && engine.spec.service == *service)
    };
    let mut counts = Table::default();
    let first = of_service().next().map(|engine| &engine.spec.build);
    if of_service().all(|engine| Some(&engine.spec.build) == first) {
        return counts;
    }
    for engine in of_service() {
        let kept = engine.held_models().filter(|model| engine.will_keep(model));
        for model in kept {
            let key = (model.clone(), engine.spec.build.clone());
            *counts.get_or_insert_with(key, || 0) += 1;
        }
    }
    counts
}
