//! Thresholds and limits of placement.

use crate::place::Work;
use crate::place::demand::SMOOTHING_MS;

/// `Options` sets the thresholds and limits of placement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Least gain for which a further copy is loaded into free memory, as work.
    pub min_fill_gain: Work,
    /// Least gain for which a further copy evicts another one, as work.
    pub min_eviction_gain: Work,
    /// Least ratio of an eviction's gain to its cost, in percent.
    pub min_eviction_ratio_percent: u64,
    /// Concurrent loads from the weight store that are allowed even if its rate sustains fewer.
    pub concurrent_loads: usize,
    /// Loads from the weight store that may begin in a burst beyond its rate.
    pub loads_burst: u64,
    /// Time after which a request for an adapter that couldn't be loaded is dropped, in ms.
    pub adapter_request_ttl_ms: u64,
    /// Time after the first observation during which further engines may appear before models are placed, in ms.
    pub discovery_ms: u64,
    /// What a move must gain beyond its cost; `None` compares the gain and the loss of the moment, as received.
    pub hysteresis: Option<Hysteresis>,
}

/// `Hysteresis` weighs the cost of a move against its gain over the time for which demand is expected to last.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hysteresis {
    /// Least mean time of a load from the weight store for which moves are weighed, in ms: a shorter one is undone as soon as it turns out
    /// to be wrong.
    pub min_load_ms: u64,
    /// Least time for which demand is expected to last, in ms.
    pub min_horizon_ms: u64,
    /// Longest time for which demand is expected to last, in ms.
    pub max_horizon_ms: u64,
    /// Least gain for which a further copy is loaded from the weight store, as work: its engine loads nothing else meanwhile.
    pub min_store_gain: Work,
    /// Time for which a loaded copy isn't evicted, and for which a model that was evicted isn't loaded for a small gain, in ms.
    pub min_hold_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            min_fill_gain: 100,
            min_eviction_gain: 3_000,
            min_eviction_ratio_percent: 200,
            concurrent_loads: 2,
            loads_burst: 2,
            adapter_request_ttl_ms: 1_000,
            discovery_ms: 3_000,
            hysteresis: Some(Hysteresis::default()),
        }
    }
}

impl Default for Hysteresis {
    fn default() -> Self {
        Self {
            min_load_ms: SMOOTHING_MS,
            min_horizon_ms: 24_000,
            max_horizon_ms: 60_000,
            min_store_gain: 500,
            min_hold_ms: 4_000,
        }
    }
}
