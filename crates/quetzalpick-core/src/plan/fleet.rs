//! The planner's model of the engines: their copies, the memory free now, and the memory free once open operations
//! settle.

use crate::id::{Artifact, Domain, Endpoint, Version};
use crate::plan::Status;
use crate::plan::item::Item;
use crate::record::{EndpointKind, EndpointSpec, Operation};
use crate::state::{Account, State};
use crate::table::Table;

/// `Phase` describes whether a copy is being loaded, serves or is being unloaded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// An open intent loads the copy.
    Loading,
    /// The copy is confirmed and no open intent unloads it.
    Serving,
    /// An open intent unloads the copy.
    Unloading,
}

/// `Copy` describes one version of an artifact in an engine's memory, or one that is being loaded into it.
#[derive(Debug, Clone)]
pub(crate) struct Copy<'a> {
    pub(crate) artifact: &'a Artifact,
    pub(crate) version: Version,
    pub(crate) memory_mb: u64,
    pub(crate) phase: Phase,
    /// Index of the configured item; `None` if the artifact is no longer configured.
    pub(crate) item: Option<usize>,
    /// Whether the version is the configured one.
    pub(crate) wanted: bool,
}

/// `EngineState` holds one engine's status, copies and free memory.
#[derive(Debug, Clone)]
pub(crate) struct EngineState<'a> {
    pub(crate) endpoint: &'a Endpoint,
    pub(crate) domain: &'a Domain,
    pub(crate) status: Status,
    /// Whether a report of the engine is on record; the fold accepts no order before that.
    pub(crate) has_reported: bool,
    /// Whether the engine is draining or leaving.
    pub(crate) draining: bool,
    pub(crate) accelerators: u32,
    pub(crate) copies: Vec<Copy<'a>>,
    /// Memory neither used nor reserved, in MB; negative after the configured memory was reduced.
    pub(crate) free_mb: i64,
    /// Free memory once open unloads are settled, less the memory reserved for wanted loads, in MB.
    pub(crate) projected_free_mb: i64,
}

/// Converts a value for signed sums, saturating at `i64::MAX`.
pub(crate) fn signed(memory_mb: u64) -> i64 {
    i64::try_from(memory_mb).unwrap_or(i64::MAX)
}

impl<'a> EngineState<'a> {
    /// Returns whether the engine accepts new copies and its copies count as available.
    pub(crate) fn is_usable(&self) -> bool {
        self.status.alive && self.has_reported && !self.draining
    }

    /// Returns the memory available for a load now, in MB.
    pub(crate) fn available_mb(&self) -> i64 {
        self.free_mb.min(self.projected_free_mb)
    }

    /// Returns this engine's copy of an item's wanted version.
    pub(crate) fn copy(&self, item: usize) -> Option<&Copy<'a>> {
        let mut copies = self.copies.iter();
        copies.find(|copy| copy.item == Some(item) && copy.wanted)
    }

    /// Returns whether this engine has the wanted version of an item in the given phase.
    pub(crate) fn has(&self, item: usize, phase: Phase) -> bool {
        self.copy(item).is_some_and(|copy| copy.phase == phase)
    }

    /// Returns whether this engine has another version of a copy's artifact in the given phase.
    pub(crate) fn has_other_version(&self, copy: &Copy<'_>, phase: Phase) -> bool {
        let mut others = self.copies.iter().filter(|other| other.phase == phase);
        others.any(|other| other.artifact == copy.artifact && other.version != copy.version)
    }

    /// Returns whether an item is a model, or an adapter whose base model serves here.
    fn has_base(&self, item: &Item<'_>) -> bool {
        item.base.is_none_or(|base| self.has(base, Phase::Serving))
    }
}

/// `Fleet` holds all engines and the configured items.
#[derive(Debug, Clone)]
pub(crate) struct Fleet<'a> {
    pub(crate) items: Vec<Item<'a>>,
    pub(crate) engines: Vec<EngineState<'a>>,
}

impl<'a> Fleet<'a> {
    /// Builds the fleet from the folded state and the status of the engines.
    pub(crate) fn new(
        state: &'a State,
        items: Vec<Item<'a>>,
        statuses: &Table<Endpoint, Status>,
    ) -> Self {
        let endpoints = state.catalog().endpoints().iter();
        let engine = |(endpoint, spec)| {
            let status = statuses.get(endpoint).copied().unwrap_or_default();
            let account = state.ledger().accounts().get(endpoint);
            engine_state(endpoint, spec, status, account, &items)
        };
        let engines = endpoints.filter_map(engine).collect();
        Self { items, engines }
    }

    /// Returns whether a usable engine serves a copy of an item, with its base model if it is an adapter.
    pub(crate) fn is_ready(&self, engine: &EngineState<'_>, item: usize) -> bool {
        let usable = engine.is_usable() && engine.has(item, Phase::Serving);
        usable && engine.has_base(&self.items[item])
    }

    /// Returns whether an engine has a ready copy of an item or is loading one.
    pub(crate) fn is_expected(&self, engine: &EngineState<'_>, item: usize) -> bool {
        let loading = engine.is_usable() && engine.has(item, Phase::Loading);
        loading || self.is_ready(engine, item)
    }

    /// Returns the number of ready copies of an item.
    pub(crate) fn ready_copies(&self, item: usize) -> usize {
        let engines = self.engines.iter();
        engines.filter(|engine| self.is_ready(engine, item)).count()
    }

    /// Returns the number of copies of an item that are ready or being loaded.
    pub(crate) fn expected_copies(&self, item: usize) -> usize {
        let engines = self.engines.iter();
        engines
            .filter(|engine| self.is_expected(engine, item))
            .count()
    }

    /// Returns the number of serving copies to be replaced: those of another version, on a draining engine, or of an
    /// adapter whose base model is not the wanted version.
    pub(crate) fn copies_to_replace(&self, item: usize) -> usize {
        let engines = self.engines.iter().filter(|engine| engine.status.alive);
        let is_replaced = |engine: &&EngineState<'_>| {
            let serves = |copy: &Copy<'_>| copy.item == Some(item) && copy.phase == Phase::Serving;
            engine.copies.iter().any(serves) && !self.is_ready(engine, item)
        };
        engines.filter(is_replaced).count()
    }

    /// Iterates over the items that an engine has a ready copy of or is loading.
    fn expected_at(&self, engine: &EngineState<'_>) -> impl Iterator<Item = usize> {
        let wanted = engine.copies.iter().filter(|copy| copy.wanted);
        let items = wanted.filter_map(|copy| copy.item);
        items.filter(|item| self.is_expected(engine, *item))
    }

    /// Returns the demand on each engine in tokens per second, assuming that the demand for an item spreads evenly over
    /// its expected copies.
    pub(crate) fn engine_demand(&self) -> Vec<u64> {
        let mut copies = vec![0_u64; self.items.len()];
        for item in self
            .engines
            .iter()
            .flat_map(|engine| self.expected_at(engine))
        {
            copies[item] += 1;
        }
        let demand_on = |engine: &EngineState<'_>| -> u64 {
            let items = self.expected_at(engine);
            items
                .map(|item| self.items[item].demand / copies[item])
                .sum()
        };
        self.engines.iter().map(demand_on).collect()
    }

    /// Returns the number of expected copies of an item in a failure domain.
    pub(crate) fn copies_in_domain(&self, item: usize, domain: &Domain) -> usize {
        let engines = self.engines.iter().filter(|engine| engine.domain == domain);
        engines
            .filter(|engine| self.is_expected(engine, item))
            .count()
    }

    /// Returns the numbers of model loads and adapter loads in progress.
    pub(crate) fn loads_in_flight(&self) -> (u32, u32) {
        let copies = self.engines.iter().flat_map(|engine| &engine.copies);
        let loading = copies.filter(|copy| copy.phase == Phase::Loading);
        loading.fold((0, 0), |(models, adapters), copy| {
            let is_adapter = copy.item.is_some_and(|i| self.items[i].base.is_some());
            let adapter = u32::from(is_adapter);
            (models + 1 - adapter, adapters + adapter)
        })
    }
}

/// Builds an engine's state; `None` for an endpoint of a plain service.
fn engine_state<'a>(
    endpoint: &'a Endpoint,
    spec: &'a EndpointSpec,
    status: Status,
    account: Option<&'a Account>,
    items: &[Item<'a>],
) -> Option<EngineState<'a>> {
    let EndpointKind::Engine {
        accelerators,
        memory_mb,
        ..
    } = &spec.kind
    else {
        return None;
    };
    let copies = account.map_or(Vec::new(), |account| copies(account, items));
    let used_mb = account.map_or(0, Account::used_mb);
    let free_mb = signed(*memory_mb) - signed(used_mb);
    let leaving = copies.iter().filter(|copy| copy.phase == Phase::Unloading);
    let leaving_mb: u64 = leaving.map(|copy| copy.memory_mb).sum();
    Some(EngineState {
        endpoint,
        domain: &spec.domain,
        status,
        has_reported: account.is_some(),
        draining: spec.draining || status.leaving,
        accelerators: (*accelerators).max(1),
        projected_free_mb: free_mb + signed(leaving_mb),
        copies,
        free_mb,
    })
}

/// Returns the copies in an engine's account: those loaded and those that open intents load.
fn copies<'a>(account: &'a Account, items: &[Item<'a>]) -> Vec<Copy<'a>> {
    let build = |artifact: &'a Artifact, version: Version, memory_mb, phase| {
        let item = items.iter().position(|item| item.artifact == artifact);
        Copy {
            artifact,
            version,
            memory_mb,
            phase,
            item,
            wanted: item.is_some_and(|item| items[item].version == version),
        }
    };
    let unloads = |artifact: &Artifact, version: Version| {
        let mut open = account.open.iter();
        open.any(|open| open.operation == Operation::Unload(artifact.clone(), version))
    };
    let loaded = account
        .loaded
        .iter()
        .map(|((artifact, version), memory_mb)| {
            let phase = if unloads(artifact, *version) {
                Phase::Unloading
            } else {
                Phase::Serving
            };
            build(artifact, *version, *memory_mb, phase)
        });
    let mut copies: Vec<Copy<'a>> = loaded.collect();
    for open in &account.open {
        if let Operation::Load(artifact, version) = &open.operation {
            let same = |copy: &Copy<'_>| copy.artifact == artifact && copy.version == *version;
            if !copies.iter().any(same) {
                copies.push(build(artifact, *version, open.memory_mb, Phase::Loading));
            }
        }
    }
    copies
}
