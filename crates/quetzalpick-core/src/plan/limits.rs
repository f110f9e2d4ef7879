//! Limits on the rate and number of concurrent loads, which the weight store and the engines can sustain.

use crate::plan::Options;

/// Thousandths in one load.
const MILLI_PER_LOAD: u64 = 1_000;

/// `LoadBucket` is a token bucket that limits model loads to the weight store's rate.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct LoadBucket {
    /// Available loads, in thousandths; at most one second's worth.
    level_milli: u64,
    filled_ms: Option<u64>,
}

impl LoadBucket {
    /// Refills the bucket for the time elapsed; one load per second is one thousandth per ms.
    pub(crate) fn fill(&mut self, now_ms: u64, loads_per_s: u32) {
        let capacity_milli = u64::from(loads_per_s) * MILLI_PER_LOAD;
        let elapsed = self.filled_ms.map(|then| now_ms.saturating_sub(then));
        let added = elapsed.map_or(capacity_milli, |ms| {
            ms.saturating_mul(u64::from(loads_per_s))
        });
        self.level_milli = self.level_milli.saturating_add(added).min(capacity_milli);
        self.filled_ms = Some(now_ms);
    }

    fn take(&mut self) -> bool {
        let granted = self.level_milli >= MILLI_PER_LOAD;
        if granted {
            self.level_milli -= MILLI_PER_LOAD;
        }
        granted
    }
}

/// `Limits` tracks how many loads may still be started in one planning round.
#[derive(Debug)]
pub(crate) struct Limits<'a> {
    load_bucket: &'a mut LoadBucket,
    models: u32,
    adapters: u32,
}

impl<'a> Limits<'a> {
    /// Creates the limits of a round, given the numbers of model and adapter loads in progress.
    pub(crate) fn new(
        options: &Options,
        load_bucket: &'a mut LoadBucket,
        (models, adapters): (u32, u32),
    ) -> Self {
        Self {
            load_bucket,
            models: options.loads_in_flight.saturating_sub(models),
            adapters: options.adapters_in_flight.saturating_sub(adapters),
        }
    }

    /// Counts one load against the limits; returns false if they do not allow it.
    pub(crate) fn take(&mut self, is_adapter: bool) -> bool {
        let remaining = if is_adapter {
            &mut self.adapters
        } else {
            &mut self.models
        };
        if *remaining == 0 || !(is_adapter || self.load_bucket.take()) {
            return false;
        }
        *remaining -= 1;
        true
    }
}
