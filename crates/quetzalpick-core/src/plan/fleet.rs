//! The engines as the planner sees them: copies, memory now, and memory once open operations are settled.

use crate::id::{Artifact, Domain, Endpoint, Version};
use crate::plan::Status;
use crate::plan::item::Item;
use crate::record::{EndpointKind, EndpointSpec, Operation};
use crate::state::{Account, State};
use crate::table::Table;

/// `Phase` is the state of a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// An open intent loads it.
    Loading,
    /// It is confirmed and nothing unloads it.
    Serving,
    /// An open intent unloads it.
    Unloading,
}

/// `Copy` is a copy in an engine's memory, or one promised memory.
#[derive(Debug, Clone)]
pub(crate) struct Copy<'a> {
    pub(crate) artifact: &'a Artifact,
    pub(crate) version: Version,
    pub(crate) memory_mb: u64,
    pub(crate) phase: Phase,
    /// Index of the configured item; `None` if it is not configured any more.
    pub(crate) item: Option<usize>,
    /// Whether the version is the one that is to serve.
    pub(crate) wanted: bool,
}

/// `EngineState` is one engine.
#[derive(Debug, Clone)]
pub(crate) struct EngineState<'a> {
    pub(crate) endpoint: &'a Endpoint,
    pub(crate) domain: &'a Domain,
    pub(crate) status: Status,
    /// Whether a report of it is on record; the fold accepts no order before.
    pub(crate) is_known: bool,
    /// Whether it is draining or leaving.
    pub(crate) draining: bool,
    pub(crate) accelerators: u32,
    pub(crate) copies: Vec<Copy<'a>>,
    /// Memory neither loaded nor promised, in MB; negative after the memory was configured smaller.
    pub(crate) free_mb: i64,
    /// The same once open unloads are settled and without what is reserved for wanted loads.
    pub(crate) soon_mb: i64,
}

/// Converts memory for signed sums.
pub(crate) fn signed(memory_mb: u64) -> i64 {
    i64::try_from(memory_mb).unwrap_or(i64::MAX)
}

impl<'a> EngineState<'a> {
    /// Tells whether the engine takes new copies and its copies count.
    pub(crate) fn is_usable(&self) -> bool {
        self.status.alive && self.is_known && !self.draining
    }

    /// Returns the memory that a load may be given now, in MB.
    pub(crate) fn available_mb(&self) -> i64 {
        self.free_mb.min(self.soon_mb)
    }

    /// Returns the copy of an item's wanted version.
    pub(crate) fn copy(&self, item: usize) -> Option<&Copy<'a>> {
        let mut copies = self.copies.iter();
        copies.find(|copy| copy.item == Some(item) && copy.wanted)
    }

    /// Tells whether the wanted version of an item is in a phase here.
    pub(crate) fn has(&self, item: usize, phase: Phase) -> bool {
        self.copy(item).is_some_and(|copy| copy.phase == phase)
    }

    /// Tells whether another version of a copy's artifact is in a phase here.
    pub(crate) fn has_sibling(&self, copy: &Copy<'_>, phase: Phase) -> bool {
        let mut others = self.copies.iter().filter(|other| other.phase == phase);
        others.any(|other| other.artifact == copy.artifact && other.version != copy.version)
    }

    /// Tells whether the copies of an adapter can be used here: its base model serves.
    fn has_base(&self, item: &Item<'_>) -> bool {
        item.base.is_none_or(|base| self.has(base, Phase::Serving))
    }
}

/// `Fleet` is all engines with the configured items.
#[derive(Debug, Clone)]
pub(crate) struct Fleet<'a> {
    pub(crate) items: Vec<Item<'a>>,
    pub(crate) engines: Vec<EngineState<'a>>,
}

impl<'a> Fleet<'a> {
    /// Returns the fleet as of a state.
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

    /// Tells whether a copy of an item serves here and counts.
    pub(crate) fn is_good(&self, engine: &EngineState<'_>, item: usize) -> bool {
        let usable = engine.is_usable() && engine.has(item, Phase::Serving);
        usable && engine.has_base(&self.items[item])
    }

    /// Tells whether a copy of an item serves here or is being loaded here.
    pub(crate) fn is_expected(&self, engine: &EngineState<'_>, item: usize) -> bool {
        let loading = engine.is_usable() && engine.has(item, Phase::Loading);
        loading || self.is_good(engine, item)
    }

    /// Returns the number of copies that serve and count.
    pub(crate) fn good(&self, item: usize) -> usize {
        let engines = self.engines.iter();
        engines.filter(|engine| self.is_good(engine, item)).count()
    }

    /// Returns the number of copies that serve or are being loaded.
    pub(crate) fn expected(&self, item: usize) -> usize {
        let engines = self.engines.iter();
        engines
            .filter(|engine| self.is_expected(engine, item))
            .count()
    }

    /// Returns the number of serving copies that are to be replaced: of other versions, on engines that drain, or of an
    /// adapter whose base model is not the wanted one.
    pub(crate) fn outgoing(&self, item: usize) -> usize {
        let engines = self.engines.iter().filter(|engine| engine.status.alive);
        let outgoing = |engine: &&EngineState<'_>| {
            let serves = |copy: &Copy<'_>| copy.item == Some(item) && copy.phase == Phase::Serving;
            engine.copies.iter().any(serves) && !self.is_good(engine, item)
        };
        engines.filter(outgoing).count()
    }

    /// Iterates over the items with an expected copy at an engine.
    fn expected_at(&self, engine: &EngineState<'_>) -> impl Iterator<Item = usize> {
        let wanted = engine.copies.iter().filter(|copy| copy.wanted);
        let items = wanted.filter_map(|copy| copy.item);
        items.filter(|item| self.is_expected(engine, *item))
    }

    /// Returns the loads of all engines in tokens per second, if demand spreads evenly over the expected copies.
    pub(crate) fn loads(&self) -> Vec<u64> {
        let mut copies = vec![0_u64; self.items.len()];
        for item in self
            .engines
            .iter()
            .flat_map(|engine| self.expected_at(engine))
        {
            copies[item] += 1;
        }
        let load = |engine: &EngineState<'_>| -> u64 {
            let items = self.expected_at(engine);
            items
                .map(|item| self.items[item].demand / copies[item])
                .sum()
        };
        self.engines.iter().map(load).collect()
    }

    /// Returns the number of expected copies of an item in a failure domain.
    pub(crate) fn in_domain(&self, item: usize, domain: &Domain) -> usize {
        let engines = self.engines.iter().filter(|engine| engine.domain == domain);
        engines
            .filter(|engine| self.is_expected(engine, item))
            .count()
    }

    /// Returns the loads under way, of models and of adapters.
    pub(crate) fn loading(&self) -> (u32, u32) {
        let copies = self.engines.iter().flat_map(|engine| &engine.copies);
        let loading = copies.filter(|copy| copy.phase == Phase::Loading);
        loading.fold((0, 0), |(models, adapters), copy| {
            let is_adapter = copy.item.is_some_and(|i| self.items[i].base.is_some());
            let one = u32::from(is_adapter);
            (models + 1 - one, adapters + one)
        })
    }
}

/// Returns an engine's state; `None` for an instance of a plain service.
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
        is_known: account.is_some(),
        draining: spec.draining || status.leaving,
        accelerators: (*accelerators).max(1),
        soon_mb: free_mb + signed(leaving_mb),
        copies,
        free_mb,
    })
}

/// Returns the copies of an account: what is loaded, and what open intents load.
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
