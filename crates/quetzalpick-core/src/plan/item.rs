//! The configured version, number of copies and pins of each model and adapter.

use crate::id::{Artifact, Endpoint, Version};
use crate::plan::Demand;
use crate::record::Place;
use crate::state::Catalog;

/// `Item` combines the configuration of a model or adapter with its demand.
#[derive(Debug, Clone)]
pub(crate) struct Item<'a> {
    pub(crate) artifact: &'a Artifact,
    /// Configured version.
    pub(crate) version: Version,
    pub(crate) memory_mb: u64,
    /// Index of the base model of an adapter.
    pub(crate) base: Option<usize>,
    /// Minimum number of copies, at least 1.
    pub(crate) min: usize,
    /// Maximum number of copies, at least 1.
    pub(crate) max: usize,
    pinned: &'a [Endpoint],
    /// Demand in tokens per second.
    pub(crate) demand: u64,
}

impl Item<'_> {
    pub(crate) fn is_pinned_to(&self, endpoint: &Endpoint) -> bool {
        self.pinned.binary_search(endpoint).is_ok()
    }
}

/// Returns the configured items, models first, each kind sorted by name.
pub(crate) fn items<'a>(catalog: &'a Catalog, demand: &Demand) -> Vec<Item<'a>> {
    let build = |artifact: &'a Artifact, version, memory_mb, base| {
        let place = catalog.places().get(artifact);
        let count =
            |field: fn(&Place) -> u32| place.map(|p| usize::try_from(field(p)).unwrap_or(0));
        Item {
            artifact,
            version,
            memory_mb,
            base,
            min: count(|p| p.min).unwrap_or(1).max(1),
            max: count(|p| p.max).unwrap_or(usize::MAX).max(1),
            pinned: place.map_or(&[], |p| p.pinned.as_slice()),
            demand: demand.rate(artifact),
        }
    };
    let models = catalog.models().iter();
    let mut items: Vec<Item<'a>> = models
        .map(|(artifact, model)| build(artifact, model.version, model.memory_mb, None))
        .collect();
    let model_count = items.len();
    for (artifact, adapter) in catalog.adapters().iter() {
        // The fold accepts no adapter without its base model.
        let base = items[..model_count].binary_search_by(|item| item.artifact.cmp(&adapter.base));
        if let Ok(base) = base {
            items.push(build(
                artifact,
                adapter.version,
                adapter.memory_mb,
                Some(base),
            ));
        }
    }
    items
}
