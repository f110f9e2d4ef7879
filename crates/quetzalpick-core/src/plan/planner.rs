//! The planner.

use strum::{Display, EnumString, VariantNames};

use crate::id::{Artifact, Endpoint};
use crate::plan::builder::Draft;
use crate::plan::fleet::{Fleet, signed};
use crate::plan::item::items;
use crate::plan::limits::{Limits, Pace};
use crate::plan::memory::Keep;
use crate::plan::{Demand, Reason, Status, Step};
use crate::record::Operation;
use crate::state::State;
use crate::table::Table;

/// Demand-driven copies considered in one round.
const OFFERS_MAX: usize = 4;

/// `Policy` is the way of placing copies.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum Policy {
    /// The fewest copies and pins only; demand moves nothing.
    Static,
    /// A copy for whatever has demand and too few copies, in place of the least recently used one.
    LeastRecentlyUsed,
    /// Copies by marginal gain, with hysteresis and a price on moves.
    #[default]
    Gain,
}

/// `Options` are the planner's knobs and limits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// The way of placing copies.
    pub policy: Policy,
    /// Model loads that the weight store allows per second.
    pub loads_per_s: u32,
    /// Model loads under way at once.
    pub loads_in_flight: u32,
    /// Adapter loads under way at once across the fleet.
    pub adapters_in_flight: u32,
    /// Tokens per second that one accelerator serves.
    pub engine_rate: u64,
    /// Least gain that justifies a further copy, in tokens per second.
    pub move_price: u64,
    /// Least time between two demand-driven changes of one artifact's copies, in ms.
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

/// `Planner` turns the state and the demand into wanted operations.
///
/// It is asked again after its steps took effect or failed; steps that are still open in the ledger are not repeated.
#[derive(Debug, Clone)]
pub struct Planner {
    options: Options,
    pace: Pace,
    /// Time of the last demand-driven change by artifact, in ms.
    changed: Table<Artifact, u64>,
    /// Time of the last demand by artifact, in ms.
    used: Table<Artifact, u64>,
}

impl Planner {
    /// Returns a planner that has moved nothing yet.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            pace: Pace::default(),
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
        self.note_use(now_ms, &fleet);
        let mut pace = std::mem::take(&mut self.pace);
        pace.fill(now_ms, self.options.loads_per_s);
        let limits = Limits::new(&self.options, &mut pace, fleet.loading());
        let mut draft = Draft {
            fleet,
            limits,
            steps: Vec::new(),
        };
        draft.reach();
        draft.pin();
        draft.fill();
        draft.clear();
        match self.options.policy {
            Policy::Static => {}
            Policy::LeastRecentlyUsed => self.replace_least_recent(&mut draft),
            Policy::Gain => {
                self.follow_demand(now_ms, &mut draft);
                let artifacts: Vec<&Artifact> =
                    draft.fleet.items.iter().map(|item| item.artifact).collect();
                let may_change = |item: usize| self.may_change(now_ms, artifacts[item]);
                draft.spare(self.options.engine_rate, may_change);
            }
        }
        let steps = draft.steps;
        self.pace = pace;
        self.note_changes(now_ms, &steps);
        steps
    }

    fn note_use(&mut self, now_ms: u64, fleet: &Fleet<'_>) {
        for item in fleet.items.iter().filter(|item| item.demand > 0) {
            self.used.insert(item.artifact.clone(), now_ms);
        }
    }

    /// Remembers what was changed for the sake of demand, so that it stays for a while.
    fn note_changes(&mut self, now_ms: u64, steps: &[Step]) {
        let by_demand = |step: &&Step| matches!(step.reason, Reason::Demand | Reason::Room);
        for step in steps.iter().filter(by_demand) {
            let (Operation::Load(artifact, _) | Operation::Unload(artifact, _)) = &step.operation;
            self.changed.insert(artifact.clone(), now_ms);
        }
    }

    fn may_change(&self, now_ms: u64, artifact: &Artifact) -> bool {
        let changed = self.changed.get(artifact);
        changed.is_none_or(|at| now_ms.saturating_sub(*at) >= self.options.hold_ms)
    }

    /// Adds the copies that gain more than a move costs.
    fn follow_demand(&self, now_ms: u64, draft: &mut Draft<'_, '_>) {
        for _ in 0..OFFERS_MAX {
            let fleet = &draft.fleet;
            let may_change = |item: usize| self.may_change(now_ms, fleet.items[item].artifact);
            let offer = fleet.best_offer(self.options.engine_rate, may_change);
            let Some(offer) = offer.filter(|o| o.gain >= signed(self.options.move_price)) else {
                return;
            };
            draft.accept(&offer);
        }
    }

    /// Adds a copy of each strained item in place of the least recently used copies.
    fn replace_least_recent(&self, draft: &mut Draft<'_, '_>) {
        for item in 0..draft.fleet.items.len() {
            let wanted = &draft.fleet.items[item];
            let copies = draft.fleet.expected(item);
            let served = self.options.engine_rate.saturating_mul(copies as u64);
            if wanted.demand <= served || copies >= wanted.max {
                continue;
            }
            let memory_mb = wanted.memory_mb;
            let engines = draft.fleet.engines_for(item);
            let fits = |at: &&usize| draft.fleet.engines[**at].available_mb() >= signed(memory_mb);
            if let Some(engine) = engines.iter().find(fits) {
                draft.load(*engine, item, Reason::Demand);
                continue;
            }
            let fleet = &draft.fleet;
            let last_use = |engine: usize, copy: usize| {
                let artifact = fleet.engines[engine].copies[copy].artifact;
                self.used.get(artifact).copied().unwrap_or_default()
            };
            let victims = engines.iter().find_map(|engine| {
                let cost = |copy| Some(last_use(*engine, copy));
                fleet.victims_at(*engine, memory_mb, Keep::Bounds, cost)
            });
            if let Some(victims) = victims {
                draft.evict(&victims, memory_mb);
            }
        }
    }
}
