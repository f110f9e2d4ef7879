//! The planning round: mandatory rules first, then copies according to the policy.

use strum::{Display, EnumString, VariantNames};

use crate::id::{Artifact, Endpoint};
use crate::plan::builder::PlanBuilder;
use crate::plan::fleet::{Fleet, signed};
use crate::plan::item::items;
use crate::plan::limits::{Limits, LoadBucket};
use crate::plan::memory::MinCopies;
use crate::plan::{Demand, Reason, Status, Step};
use crate::record::Operation;
use crate::state::State;
use crate::table::Table;

/// Maximum number of demand-driven copies added in one round.
const ADDED_COPIES_MAX: usize = 4;

/// `Policy` selects how copies are placed beyond the configured minimum.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum Policy {
    /// Only the minimum number of copies and pins; demand has no effect.
    Static,
    /// Another copy of each item with more demand than its copies serve, evicting the least recently used copies.
    LeastRecentlyUsed,
    /// Copies by marginal gain, with hysteresis and a minimum gain per move.
    #[default]
    Gain,
}

/// `Options` holds the planner's tuning parameters and limits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// How copies are placed beyond the configured minimum.
    pub policy: Policy,
    /// Model loads that the weight store allows per second.
    pub loads_per_s: u32,
    /// Maximum number of concurrent model loads across the fleet.
    pub loads_in_flight: u32,
    /// Maximum number of concurrent adapter loads across the fleet.
    pub adapters_in_flight: u32,
    /// Tokens per second that one accelerator serves.
    pub engine_rate: u64,
    /// Minimum gain that justifies a further copy, in tokens per second.
    pub move_price: u64,
    /// Minimum time between two demand-driven changes of one artifact's copies, in ms.
    pub hold_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            policy: Policy::default(),
            loads_per_s: 2,
            loads_in_flight: 2,
            adapters_in_flight: 16,
            engine_rate: 1_000,
            move_price: 200,
            hold_ms: 30_000,
        }
    }
}

/// `Planner` computes the next load and unload operations from the state and the demand.
///
/// It is called again after its steps took effect or failed; steps that are still open in the ledger are not repeated.
#[derive(Debug, Clone)]
pub struct Planner {
    options: Options,
    load_bucket: LoadBucket,
    /// Time of each artifact's last demand-driven change, in ms.
    changed: Table<Artifact, u64>,
    /// Time at which each artifact last had demand, in ms.
    used: Table<Artifact, u64>,
}

impl Planner {
    /// Creates a planner without any history.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            load_bucket: LoadBucket::default(),
            changed: Table::default(),
            used: Table::default(),
        }
    }

    /// Returns the options.
    pub fn options(&self) -> &Options {
        &self.options
    }

    /// Returns the operations wanted now, most urgent first, within the limits of the weight store.
    pub fn plan(
        &mut self,
        now_ms: u64,
        state: &State,
        demand: &Demand,
        engines: &Table<Endpoint, Status>,
    ) -> Vec<Step> {
        let fleet = Fleet::new(state, items(state.catalog(), demand), engines);
        self.record_use(now_ms, &fleet);
        let mut load_bucket = std::mem::take(&mut self.load_bucket);
        load_bucket.fill(now_ms, self.options.loads_per_s);
        let limits = Limits::new(&self.options, &mut load_bucket, fleet.loads_in_flight());
        let mut builder = PlanBuilder {
            fleet,
            limits,
            steps: Vec::new(),
        };
        builder.ensure_reachable();
        builder.load_pinned();
        builder.ensure_min_copies();
        builder.unload_unwanted();
        match self.options.policy {
            Policy::Static => {}
            Policy::LeastRecentlyUsed => self.replace_least_recently_used(&mut builder),
            Policy::Gain => {
                self.follow_demand(now_ms, &mut builder);
                let artifacts: Vec<&Artifact> = builder
                    .fleet
                    .items
                    .iter()
                    .map(|item| item.artifact)
                    .collect();
                let may_change = |item: usize| self.may_change(now_ms, artifacts[item]);
                builder.add_spare_copies(self.options.engine_rate, may_change);
            }
        }
        let steps = builder.steps;
        self.load_bucket = load_bucket;
        self.record_changes(now_ms, &steps);
        steps
    }

    fn record_use(&mut self, now_ms: u64, fleet: &Fleet<'_>) {
        for item in fleet.items.iter().filter(|item| item.demand > 0) {
            self.used.insert(item.artifact.clone(), now_ms);
        }
    }

    /// Records the artifacts changed on demand, so that their copies stay unchanged for `hold_ms`.
    fn record_changes(&mut self, now_ms: u64, steps: &[Step]) {
        let is_demand_driven =
            |step: &&Step| matches!(step.reason, Reason::Demand | Reason::MemoryNeeded);
        for step in steps.iter().filter(is_demand_driven) {
            let (Operation::Load(artifact, _) | Operation::Unload(artifact, _)) = &step.operation;
            self.changed.insert(artifact.clone(), now_ms);
        }
    }

    fn may_change(&self, now_ms: u64, artifact: &Artifact) -> bool {
        let changed = self.changed.get(artifact);
        changed.is_none_or(|changed_ms| now_ms.saturating_sub(*changed_ms) >= self.options.hold_ms)
    }

    /// Adds the copies whose gain reaches the move price.
    fn follow_demand(&self, now_ms: u64, builder: &mut PlanBuilder<'_, '_>) {
        for _ in 0..ADDED_COPIES_MAX {
            let fleet = &builder.fleet;
            let may_change = |item: usize| self.may_change(now_ms, fleet.items[item].artifact);
            let candidate = fleet.best_candidate(self.options.engine_rate, may_change);
            let Some(candidate) = candidate.filter(|c| c.gain >= signed(self.options.move_price))
            else {
                return;
            };
            builder.add_candidate(&candidate);
        }
    }

    /// Adds a copy of each item with more demand than its copies serve, evicting the least recently used copies.
    fn replace_least_recently_used(&self, builder: &mut PlanBuilder<'_, '_>) {
        for item in 0..builder.fleet.items.len() {
            let wanted = &builder.fleet.items[item];
            let copies = builder.fleet.expected_copies(item);
            let served = self.options.engine_rate.saturating_mul(copies as u64);
            if wanted.demand <= served || copies >= wanted.max {
                continue;
            }
            let memory_mb = wanted.memory_mb;
            let engines = builder.fleet.engines_for(item);
            let fits = |engine: &&usize| {
                builder.fleet.engines[**engine].available_mb() >= signed(memory_mb)
            };
            if let Some(engine) = engines.iter().find(fits) {
                builder.load(*engine, item, Reason::Demand);
                continue;
            }
            let fleet = &builder.fleet;
            let last_use = |engine: usize, copy: usize| {
                let artifact = fleet.engines[engine].copies[copy].artifact;
                self.used.get(artifact).copied().unwrap_or_default()
            };
            let eviction = engines.iter().find_map(|engine| {
                let cost = |copy| Some(last_use(*engine, copy));
                fleet.cheapest_eviction(*engine, memory_mb, MinCopies::Configured, cost)
            });
            if let Some(eviction) = eviction {
                builder.evict(&eviction, memory_mb);
            }
        }
    }
}
