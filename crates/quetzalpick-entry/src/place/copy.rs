//! A copy of a model or adapter at an engine.

use quetzalpick_core::id::Artifact;

/// `Phase` is the state of a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It is being loaded, and should be there by this time, in ms.
    Loading {
        /// Expected end of the load.
        until_ms: u64,
    },
    /// It serves.
    Held,
    /// It serves until VMs have learnt that they are to use others; then it is unloaded.
    Retiring,
    /// It is being unloaded.
    Unloading,
}

/// `Copy` is a copy at an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Copy {
    /// The model or adapter.
    pub artifact: Artifact,
    /// Its state.
    pub phase: Phase,
    /// When it came into that state, in ms.
    pub since_ms: u64,
    /// When it was last asked for, in ms.
    pub used_ms: u64,
}

impl Copy {
    /// Tells whether it serves.
    pub fn is_held(&self) -> bool {
        self.phase == Phase::Held
    }

    /// Tells whether it serves or will soon.
    pub fn is_expected(&self) -> bool {
        !matches!(self.phase, Phase::Retiring | Phase::Unloading)
    }
}

/// Tells whether an artifact is an adapter, which is named behind its model.
pub(crate) fn is_adapter(artifact: &Artifact) -> bool {
    artifact.as_str().contains('/')
}

/// Returns the model of an adapter, or the model itself.
pub(crate) fn model_of(artifact: &Artifact) -> Artifact {
    let name = artifact.as_str().split('/').next();
    let model = name.and_then(|name| Artifact::try_new(name).ok());
    model.unwrap_or_else(|| artifact.clone())
}
