//! Demand over all VMs with its uncertainty: changes are told from the noise of small counts.

use quetzalpick_core::id::Artifact;
use quetzalpick_core::table::Table;

use crate::place::Work;
use crate::place::copy::is_adapter;
use crate::place::demand::SMOOTHING_MS;

/// Longest time over which demand that doesn't change is averaged, in ms.
const MAX_WINDOW_MS: u64 = 8_000;

/// Typical run time of a request, in ms: the fewer requests make up some work, the more it varies.
const TYPICAL_RUN_MS: f64 = 1_500.0;

/// Work of one request in flight.
const WORK_PER_REQUEST: f64 = 1_000.0;

/// Standard deviations from the average beyond which demand has changed.
const CHANGE_DEVIATIONS: f64 = 3.0;

/// `Estimate` averages the demand for one model since it last changed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Estimate {
    /// The average, in thousandths of a request in flight.
    pub(crate) work: f64,
    /// Time over which it is averaged, in ms.
    window_ms: u64,
    /// When it last changed by more than noise, in ms.
    pub(crate) changed_ms: u64,
}

impl Estimate {
    /// Creates an estimate from demand that was smoothed by the VMs.
    fn new(now_ms: u64, observed: f64) -> Self {
        Self {
            work: observed,
            window_ms: SMOOTHING_MS,
            changed_ms: now_ms,
        }
    }

    /// Returns the standard deviation of the average.
    pub(crate) fn deviation(&self) -> f64 {
        deviation(self.work, self.window_ms)
    }

    /// Averages in newly observed demand, or starts anew if it differs by more than noise.
    fn update(&mut self, now_ms: u64, elapsed_ms: u64, observed: f64) {
        let noise = deviation(self.work.max(observed), SMOOTHING_MS);
        if (observed - self.work).abs() > noise * CHANGE_DEVIATIONS {
            *self = Self::new(now_ms, observed);
            return;
        }
        self.window_ms = (self.window_ms + elapsed_ms).min(MAX_WINDOW_MS);
        let weight = elapsed_ms.min(self.window_ms) as f64 / self.window_ms as f64;
        self.work += (observed - self.work) * weight;
    }
}

/// Returns the standard deviation of work that arrives as independent requests and is smoothed over a time.
fn deviation(work: f64, window_ms: u64) -> f64 {
    (work * WORK_PER_REQUEST * TYPICAL_RUN_MS / (2 * window_ms) as f64).sqrt()
}

/// `Estimates` holds the estimated demand for each requested model.
#[derive(Debug, Clone, Default)]
pub(crate) struct Estimates {
    rows: Table<Artifact, Estimate>,
    updated_ms: u64,
}

impl Estimates {
    /// Returns the estimate for a model that is requested.
    pub(crate) fn get(&self, model: &Artifact) -> Option<&Estimate> {
        self.rows.get(model)
    }

    /// Updates the estimates from the demand of all VMs, which the VMs have smoothed.
    pub(crate) fn update(&mut self, now_ms: u64, observed: &Table<Artifact, Work>) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms);
        self.updated_ms = now_ms;
        for (model, estimate) in self.rows.iter_mut() {
            let work = observed.get(model).copied().unwrap_or_default();
            estimate.update(now_ms, elapsed_ms, work as f64);
        }
        self.rows.retain(|_, estimate| estimate.work >= 1.0);
        for (model, work) in observed.iter().filter(|(name, _)| !is_adapter(name)) {
            self.rows
                .get_or_insert_with(model.clone(), || Estimate::new(now_ms, *work as f64));
        }
    }
}
