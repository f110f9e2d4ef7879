//! What a request needs of an endpoint.

use quetzalpick_client::wire::engine::{PREFIX_BLOCK_BYTES, prefix_hash};
use quetzalpick_core::id::{Artifact, Endpoint, Service, Version};
use quetzalpick_core::record::EndpointSpec;
use quetzalpick_core::route::ReplicaIndex;
use quetzalpick_core::state::{State, Target};

/// Most blocks of a prompt that are compared with caches.
const PREFIX_BLOCKS_MAX: usize = 32;

/// `Need` is what a request needs of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Need {
    /// Copies of a model and perhaps of an adapter.
    Copies {
        /// The name that the caller gave.
        artifact: Artifact,
        /// What must be loaded, each with the wanted version.
        copies: Vec<(Artifact, Version)>,
        /// Hashes of the prompt's first blocks.
        prefixes: Vec<u64>,
    },
    /// An instance of a service.
    Service(Service),
}

impl Need {
    /// Returns the need of a request for a model or an adapter.
    pub(crate) fn copies(artifact: &Artifact, target: &Target<'_>, prompt: &str) -> Self {
        let adapter = target
            .adapter
            .map(|(name, version)| (name.clone(), version));
        let model = (target.model.clone(), target.model_version);
        let blocks = (prompt.len() / PREFIX_BLOCK_BYTES).min(PREFIX_BLOCKS_MAX);
        let hash = |blocks| prefix_hash(prompt.as_bytes(), blocks);
        Self::Copies {
            artifact: artifact.clone(),
            copies: std::iter::once(model).chain(adapter).collect(),
            prefixes: (1..=blocks).map(hash).collect(),
        }
    }

    /// Returns the name that a log line gives to the need.
    pub(crate) fn name(&self) -> &str {
        match self {
            Self::Copies { artifact, .. } => artifact.as_str(),
            Self::Service(service) => service.as_str(),
        }
    }

    /// Returns the endpoints that meet the need, by the agreed state.
    ///
    /// Endpoints with the wanted versions come alone; where there are none, other versions serve.
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

    /// Counts the engines that hold the wanted versions, by the agreed state; 0 for a service.
    pub(crate) fn count_copies(&self, state: &State, index: &ReplicaIndex) -> usize {
        match self {
            Self::Copies { copies, .. } => index.count_wanted(state, copies),
            Self::Service(_) => 0,
        }
    }

    /// Tells whether an endpoint serves the service, or the wanted versions.
    pub(crate) fn is_met(&self, state: &State, index: &ReplicaIndex) -> bool {
        match self {
            Self::Copies { copies, .. } => index.count_wanted(state, copies) > 0,
            Self::Service(service) => !index.instances(state, service).is_empty(),
        }
    }
}
