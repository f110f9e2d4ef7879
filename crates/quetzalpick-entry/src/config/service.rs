//! Services and the model engines that serve them.

use quetzalpick_core::id;
use quetzalpick_core::limit::Warmup;

/// `Model` describes a model that the endpoints of a service can load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Model {
    /// Name of the model.
    pub name: id::Artifact,
    /// Memory for the weights, in MB, rounded up.
    pub memory_mb: u64,
    /// Adapters, named `model/adapter`.
    pub adapters: Vec<id::Artifact>,
    /// Memory for each adapter, in MB, rounded up.
    pub adapter_memory_mb: u64,
    /// Load time from the weight store, in ms.
    pub load_ms: u64,
    /// Load time from the endpoint's disk, in ms.
    pub disk_load_ms: u64,
    /// Load time from the endpoint's main memory, in ms.
    pub host_load_ms: u64,
}

/// `EngineSpec` describes the model engines of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineSpec {
    /// Models that the engines can load.
    pub models: Vec<Model>,
    /// Memory for weights and adapters of one engine, in MB.
    pub memory_mb: u64,
    /// Maximum number of adapters in one engine.
    pub adapter_slots: u32,
    /// Maximum number of requests in a batch.
    pub batch: u32,
    /// Capacity for prompts and answers, in tokens.
    pub cache_tokens: u64,
    /// Maximum number of loads from the weight store per 1000 s, over all endpoints.
    pub loads_per_1000_s: u64,
}

impl EngineSpec {
    /// Returns a model that the engines can load.
    pub(crate) fn model(&self, name: &id::Artifact) -> Option<&Model> {
        self.models.iter().find(|model| model.name == *name)
    }
}

/// `Service` describes a set of interchangeable endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Name of the service.
    pub name: id::Service,
    /// Maximum number of connections that an endpoint accepts from all clients together.
    pub connections: Option<u32>,
    /// How its endpoints start; `None` if they are not cold then.
    pub warmup: Option<Warmup>,
    /// Model engines of the service; `None` if it has none.
    pub engine: Option<EngineSpec>,
}
