//! Memory and adapter places of an engine.

use quetzalpick_core::id::Artifact;

use crate::config::EngineSpec;
use crate::place::copy::{is_adapter, model_of};
use crate::place::{Action, EngineState};

/// Returns the memory that a model or adapter takes, in MB; one that is not configured fills the engine.
pub(crate) fn memory_mb(spec: &EngineSpec, artifact: &Artifact) -> u64 {
    let name = model_of(artifact);
    let model = spec.models.iter().find(|model| model.name == name);
    model.map_or(spec.memory_mb, |model| {
        if is_adapter(artifact) {
            model.adapter_memory_mb
        } else {
            model.memory_mb
        }
    })
}

/// Returns the memory that neither a copy nor an open order takes, in MB.
pub(crate) fn free_mb(spec: &EngineSpec, engine: &EngineState) -> u64 {
    let copies = engine.copies.iter().map(|copy| &copy.artifact);
    let open = engine.open.as_ref().map(|open| &open.order);
    let loading = open.filter(|order| order.action == Action::Load);
    let taken = copies.chain(loading.map(|order| order.artifact()));
    let taken: u64 = taken.map(|artifact| memory_mb(spec, artifact)).sum();
    spec.memory_mb.saturating_sub(taken)
}

/// Tells whether an adapter place and the memory for an adapter are free.
pub(crate) fn has_place(spec: &EngineSpec, engine: &EngineState, adapter: &Artifact) -> bool {
    let taken = engine.adapters().count() as u64;
    let free = taken < u64::from(spec.adapter_places);
    free && free_mb(spec, engine) >= memory_mb(spec, adapter)
}
