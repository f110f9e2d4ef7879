//! Free memory and free adapter slots of an engine.

use quetzalpick_core::id::Artifact;

use crate::config::{EngineSpec, Model};
use crate::place::copy::{is_adapter, model_of};
use crate::place::{Action, EngineState};

/// Returns the memory that a model or adapter takes, in MB; an unconfigured model counts as the engine's whole memory.
pub(crate) fn memory_mb(spec: &EngineSpec, artifact: &Artifact) -> u64 {
    size_mb(spec, spec.model(&model_of(artifact)), artifact)
}

/// Returns the memory that a model, or an adapter of it, takes, in MB; an unconfigured model counts as the engine's whole memory.
pub(crate) fn size_mb(spec: &EngineSpec, model: Option<&Model>, artifact: &Artifact) -> u64 {
    model.map_or(spec.memory_mb, |model| {
        if is_adapter(artifact) {
            model.adapter_memory_mb
        } else {
            model.memory_mb
        }
    })
}

/// Returns the memory that isn't used by a copy or an open order, in MB.
pub(crate) fn free_mb(spec: &EngineSpec, engine: &EngineState) -> u64 {
    unused_mb(spec, engine, |artifact| memory_mb(spec, artifact))
}

/// Returns the memory that isn't used by a copy or an open order, in MB, where `memory_mb` returns what an artifact takes.
pub(crate) fn unused_mb(
    spec: &EngineSpec,
    engine: &EngineState,
    memory_mb: impl Fn(&Artifact) -> u64,
) -> u64 {
    let copies = engine.copies.iter().map(|copy| &copy.artifact);
    let order = engine.open_order.as_ref().map(|open| &open.order);
    let loading = order.filter(|order| order.action == Action::Load);
    let used = copies.chain(loading.map(|order| order.artifact()));
    let used: u64 = used.map(memory_mb).sum();
    spec.memory_mb.saturating_sub(used)
}

/// Returns whether the engine has a free adapter slot and enough free memory for an adapter.
pub(crate) fn fits_adapter(spec: &EngineSpec, engine: &EngineState, adapter: &Artifact) -> bool {
    let used = engine.adapters().count() as u64;
    let free = used < u64::from(spec.adapter_slots);
    free && free_mb(spec, engine) >= memory_mb(spec, adapter)
}
