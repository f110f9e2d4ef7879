//! Requirements that an endpoint must meet to serve a request.

use quetzalpick_client::wire::engine::{PREFIX_BLOCK_BYTES, prefix_hash};
use quetzalpick_core::id::{Artifact, Endpoint, Service, Version};
use quetzalpick_core::record::EndpointSpec;
use quetzalpick_core::route::ReplicaIndex;
use quetzalpick_core::state::{self, State};

/// Maximum number of leading prompt blocks that are compared with caches.
const PREFIX_BLOCKS_MAX: usize = 32;

/// `Requirement` describes which copies or which service an endpoint must offer to serve a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Requirement {
    /// Copies of a model and, if an adapter is requested, of the adapter.
    Copies {
        /// Model or adapter named by the caller.
        artifact: Artifact,
        /// Artifacts that must be loaded, each with the wanted version.
        copies: Vec<(Artifact, Version)>,
        /// Hashes of the prompt's leading blocks: entry `i` covers blocks 0 to `i`.
        prefixes: Vec<u64>,
    },
    /// An instance of a service.
    Service(Service),
}

impl Requirement {
    /// Returns the requirement of a request for a model or an adapter, which the catalog has resolved.
    pub(crate) fn copies(artifact: &Artifact, resolved: &state::Target<'_>, prompt: &str) -> Self {
        let adapter = resolved
            .adapter
            .map(|(name, version)| (name.clone(), version));
        let model = (resolved.model.clone(), resolved.model_version);
        let blocks = (prompt.len() / PREFIX_BLOCK_BYTES).min(PREFIX_BLOCKS_MAX);
        let hash = |blocks| prefix_hash(prompt.as_bytes(), blocks);
        Self::Copies {
            artifact: artifact.clone(),
            copies: std::iter::once(model).chain(adapter).collect(),
            prefixes: (1..=blocks).map(hash).collect(),
        }
    }

    /// Returns the artifact's or service's name, for log lines.
    pub(crate) fn name(&self) -> &str {
        match self {
            Self::Copies { artifact, .. } => artifact.as_str(),
            Self::Service(service) => service.as_str(),
        }
    }

    /// Returns the endpoints that meet the requirement according to the agreed state.
    ///
    /// Endpoints with other versions are returned only if none has the wanted versions.
    pub(crate) fn endpoints<'a>(
        &self,
        state: &'a State,
        index: &ReplicaIndex,
    ) -> Vec<(&'a Endpoint, &'a EndpointSpec)> {
        match self {
            Self::Service(service) => index.instances(state, service),
            Self::Copies { copies, .. } => index.engines(state, copies),
        }
    }

    /// Counts the engines that hold the wanted versions according to the agreed state; 0 for a service.
    pub(crate) fn count_copies(&self, state: &State, index: &ReplicaIndex) -> usize {
        match self {
            Self::Copies { copies, .. } => index.count_wanted(state, copies),
            Self::Service(_) => 0,
        }
    }

    /// Returns whether at least one endpoint serves the service or holds the wanted versions.
    pub(crate) fn is_met(&self, state: &State, index: &ReplicaIndex) -> bool {
        match self {
            Self::Copies { copies, .. } => index.count_wanted(state, copies) > 0,
            Self::Service(service) => !index.instances(state, service).is_empty(),
        }
    }
}
