//! Copies of models and adapters on engines.

use quetzalpick_core::id::Artifact;

/// `Phase` describes the lifecycle state of a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It is being loaded.
    Loading {
        /// Expected end of the load, in ms.
        until_ms: u64,
    },
    /// It serves requests.
    Held,
    /// It still serves until VMs have switched to other copies, and is unloaded afterwards.
    Draining,
    /// It is being unloaded.
    Unloading,
}

/// `Copy` tracks one model or adapter on one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Copy {
    /// The model or adapter.
    pub artifact: Artifact,
    /// Its lifecycle state.
    pub phase: Phase,
    /// When it entered that state, in ms.
    pub since_ms: u64,
    /// When it was last requested, in ms.
    pub used_ms: u64,
    /// When its load ended, in ms; `None` if that hasn't been seen.
    pub loaded_ms: Option<u64>,
}

impl Copy {
    /// Changes its lifecycle state.
    pub(crate) fn enter(&mut self, now_ms: u64, phase: Phase) {
        if matches!(self.phase, Phase::Loading { .. }) && phase == Phase::Held {
            self.loaded_ms = Some(now_ms);
        }
        self.phase = phase;
        self.since_ms = now_ms;
    }

    /// Returns whether it serves and isn't being drained.
    pub fn is_held(&self) -> bool {
        self.phase == Phase::Held
    }

    /// Returns whether it serves or is being loaded.
    pub fn is_expected(&self) -> bool {
        !matches!(self.phase, Phase::Draining | Phase::Unloading)
    }
}

/// Returns whether an artifact is an adapter, which is named `model/adapter`.
pub(crate) fn is_adapter(artifact: &Artifact) -> bool {
    artifact.as_str().contains('/')
}

/// Returns the base model of an adapter, or the model itself.
pub(crate) fn model_of(artifact: &Artifact) -> Artifact {
    let name = artifact.as_str().split('/').next();
    let model = name.and_then(|name| Artifact::try_new(name).ok());
    model.unwrap_or_else(|| artifact.clone())
}
