//! Specs of endpoints, as published by them.

use std::net::SocketAddr;

use quetzalpick_core::id::{Artifact, Domain, Service};
use serde::{Deserialize, Serialize};
use strum::Display;

use crate::fleet::Build;

/// `State` describes whether an endpoint accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[strum(serialize_all = "kebab-case")]
pub enum State {
    /// It accepts new requests.
    Ready,
    /// It finishes its requests and then leaves.
    Draining,
}

/// `Spec` holds an endpoint's description of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spec {
    /// Service that it belongs to.
    pub service: Service,
    /// Address on which it serves requests.
    pub address: SocketAddr,
    /// Failure domain of its VM.
    pub domain: Domain,
    /// Whether it accepts new requests.
    pub state: State,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Wall-clock time of its start, in ms since 1970; only compared for equality.
    #[serde(rename = "born_ms")]
    pub started_ms: Option<u64>,
    /// Models and adapters that it holds; sorted.
    pub copies: Vec<Artifact>,
    /// Models whose weights it keeps in main memory; sorted.
    pub in_memory: Vec<Artifact>,
    /// Models whose weights it keeps on disk; sorted.
    pub on_disk: Vec<Artifact>,
    /// Version of its software; VMs of former versions do not relay it.
    #[serde(default)]
    pub build: Build,
    /// How much longer it is cold, in ms, as of this description; `None` if that is not known.
    #[serde(default)]
    pub cold_ms: Option<u64>,
}

impl Spec {
    /// Returns whether another spec describes the same incarnation of the endpoint.
    pub fn is_same_incarnation(&self, other: &Self) -> bool {
        self.started_ms == other.started_ms && self.address == other.address
    }

    /// Returns whether another spec differs at most in how long the endpoint is cold, which each one counts down.
    pub(crate) fn is_same_but_cold(&self, other: &Self) -> bool {
        let cold_ms = self.cold_ms;
        *self
            == Self {
                cold_ms,
                ..other.clone()
            }
    }

    /// Returns whether the endpoint runs a build of a service.
    pub(crate) fn runs(&self, service: &Service, build: &Build) -> bool {
        self.service == *service && self.build == *build
    }

    /// Returns whether the endpoint holds a model or adapter.
    pub fn holds(&self, artifact: &Artifact) -> bool {
        self.copies.binary_search(artifact).is_ok()
    }
}
