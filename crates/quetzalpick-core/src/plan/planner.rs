//! The planner.

use strum::{Display, EnumString};

use crate::id::Endpoint;
use crate::plan::{Demand, Status, Step};
use crate::state::State;
use crate::table::Table;

/// `Policy` is the way of placing copies.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, EnumString)]
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
    /// Tokens per second that one copy serves.
    pub copy_rate: u64,
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
            copy_rate: 1_000,
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
}

impl Planner {
    /// Returns a planner that has moved nothing yet.
    pub fn new(options: Options) -> Self {
        Self { options }
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
        let _ = (now_ms, state, demand, engines);
        Vec::new()
    }
}
