//! What an endpoint says of itself.

use std::net::SocketAddr;

use quetzalpick_core::id::{Artifact, Domain, Service};
use serde::{Deserialize, Serialize};
use strum::Display;

/// `State` says whether an endpoint takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[strum(serialize_all = "kebab-case")]
pub enum State {
    /// It does.
    Ready,
    /// It is about to leave.
    Draining,
}

/// `Spec` is what an endpoint says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spec {
    /// The service that it belongs to.
    pub service: Service,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Domain,
    /// Whether it takes new requests.
    pub state: State,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Wall-clock time of its start, in ms since 1970; only compared for equality.
    #[serde(rename = "born_ms")]
    pub started_ms: Option<u64>,
    /// Models and adapters that it holds; sorted.
    pub copies: Vec<Artifact>,
    /// Models whose weights are in its main memory; sorted.
    pub in_memory: Vec<Artifact>,
    /// Models whose weights are on its disk; sorted.
    pub on_disk: Vec<Artifact>,
}

impl Spec {
    /// Tells whether another spec is of the same start of the endpoint.
    pub fn is_same_start(&self, other: &Self) -> bool {
        self.started_ms == other.started_ms && self.address == other.address
    }

    /// Tells whether it holds a model or adapter.
    pub fn holds(&self, artifact: &Artifact) -> bool {
        self.copies.binary_search(artifact).is_ok()
    }
}
