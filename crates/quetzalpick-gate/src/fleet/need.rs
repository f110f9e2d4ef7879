//! What a request needs of an endpoint.

use quetzalpick_core::id::{Artifact, Endpoint, Service, Version};
use quetzalpick_core::record::{EndpointKind, EndpointSpec};
use quetzalpick_core::state::{Account, State, Target};
use quetzalpick_platform::wire::engine::{PREFIX_BLOCK_BYTES, prefix_hash};

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
    pub(crate) fn endpoints<'a>(&self, state: &'a State) -> Vec<(&'a Endpoint, &'a EndpointSpec)> {
        match self {
            Self::Service(service) => instances(state, service),
            Self::Copies { copies, .. } => {
                let found = engines(state, |account| serves_wanted(account, copies));
                if !found.is_empty() {
                    return found;
                }
                engines(state, |account| serves_any(account, copies))
            }
        }
    }

    /// Counts the engines that hold the wanted versions, by the agreed state; 0 for a service.
    pub(crate) fn count_copies(&self, state: &State) -> usize {
        let Self::Copies { copies, .. } = self else {
            return 0;
        };
        let accounts = state.ledger().accounts().values();
        accounts
            .filter(|account| serves_wanted(account, copies))
            .count()
    }
}

/// Tells whether an engine serves the wanted versions of all copies.
fn serves_wanted(account: &Account, copies: &[(Artifact, Version)]) -> bool {
    copies
        .iter()
        .all(|(name, version)| account.serves(name, *version))
}

/// Tells whether an engine serves any versions of all copies.
fn serves_any(account: &Account, copies: &[(Artifact, Version)]) -> bool {
    let serves = |artifact: &Artifact| {
        let mut held = account.loaded.keys().filter(|(name, _)| name == artifact);
        held.any(|(name, version)| account.serves(name, *version))
    };
    copies.iter().all(|(name, _)| serves(name))
}

/// Returns the engines whose account meets a condition.
fn engines(state: &State, serves: impl Fn(&Account) -> bool) -> Vec<(&Endpoint, &EndpointSpec)> {
    let accounts = state.ledger().accounts().iter();
    let serving = accounts.filter(|(_, account)| serves(account));
    let endpoints = state.catalog().endpoints();
    serving
        .filter_map(|(name, _)| Some((name, endpoints.get(name)?)))
        .collect()
}

/// Returns the instances of a service.
fn instances<'a>(state: &'a State, service: &Service) -> Vec<(&'a Endpoint, &'a EndpointSpec)> {
    let serves = |spec: &EndpointSpec| matches!(&spec.kind, EndpointKind::Service { service: s } if s == service);
    let endpoints = state.catalog().endpoints().iter();
    endpoints.filter(|(_, spec)| serves(spec)).collect()
}
