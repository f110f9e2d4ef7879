//! A service: a set of endpoints that answer alike.

use quetzalpick_core::id;

/// `Model` is a model that a service's endpoints can load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Model {
    /// Its name.
    pub name: id::Artifact,
    /// Memory that its weights take, in MB, rounded up.
    pub memory_mb: u64,
    /// Adapters of the model, named `model/adapter`.
    pub adapters: Vec<id::Artifact>,
    /// Memory of each adapter, in MB, rounded up.
    pub adapter_memory_mb: u64,
    /// Time of a load from the weight store, in ms.
    pub load_ms: u64,
    /// Time of a load from the endpoint's disk, in ms.
    pub disk_load_ms: u64,
    /// Time of a load from the endpoint's main memory, in ms.
    pub host_load_ms: u64,
}

/// `EngineSpec` describes the model engines of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineSpec {
    /// Models.
    pub models: Vec<Model>,
    /// Memory for weights and adapters, in MB.
    pub memory_mb: u64,
    /// Places for adapters.
    pub adapter_places: u32,
    /// Requests in a batch.
    pub batch: u32,
    /// Memory for prompts and answers, in tokens.
    pub cache_tokens: u64,
    /// Loads from the weight store a second, over all endpoints, in thousandths.
    pub loads_per_1000_s: u64,
}

/// `Service` is a set of endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: id::Service,
    /// Connections that an endpoint accepts from all callers together.
    pub connections: Option<u32>,
    /// The model engines; `None` for a plain service.
    pub engine: Option<EngineSpec>,
}
