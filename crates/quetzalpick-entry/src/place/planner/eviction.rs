//! Copies of models that are the only ones of their build.

use quetzalpick_core::id::{Artifact, Endpoint, Service};
use quetzalpick_core::table::Table;

use crate::fleet::Build;
use crate::place::EngineState;

/// `BuildCopies` counts the copies that are kept, by model and build; it is empty while a service runs one build.
#[derive(Debug)]
pub(super) struct BuildCopies(Table<(Artifact, Build), usize>);

impl BuildCopies {
    /// Counts the copies of a service.
    pub(super) fn new(service: &Service, engines: &Table<Endpoint, EngineState>) -> Self {
        let of_service = || {
            let engines = engines.values();
            engines.filter(|engine| engine.is_usable() && engine.spec.service == *service)
        };
        let mut counts = Table::default();
        let first = of_service().next().map(|engine| &engine.spec.build);
        if of_service().all(|engine| Some(&engine.spec.build) == first) {
            return Self(counts);
        }
        for engine in of_service() {
            let kept = engine.held_models().filter(|model| engine.will_keep(model));
            for model in kept {
                let key = (model.clone(), engine.spec.build.clone());
                *counts.get_or_insert_with(key, || 0) += 1;
            }
        }
        Self(counts)
    }

    /// Returns whether an engine has the only copy of a model of its build, while other builds run too.
    pub(super) fn is_last(&self, engine: &EngineState, model: &Artifact) -> bool {
        let key = || (model.clone(), engine.spec.build.clone());
        !self.0.is_empty() && self.0.get(&key()).is_none_or(|count| *count <= 1)
    }

    /// Records a planned eviction.
    pub(super) fn remove(&mut self, engine: &EngineState, model: &Artifact) {
        if self.0.is_empty() {
            return;
        }
        let key = (model.clone(), engine.spec.build.clone());
        if let Some(count) = self.0.get_mut(&key) {
            *count = count.saturating_sub(1);
        }
    }
}
