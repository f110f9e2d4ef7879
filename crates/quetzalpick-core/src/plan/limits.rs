//! What the weight store and the engines can load at once.

use crate::plan::Options;

/// Thousandths of a load in one load.
const WHOLE: u64 = 1_000;

/// `Pace` saves up model loads at the weight store's rate.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Pace {
    /// Loads saved up, in thousandths; at most those of one second.
    saved: u64,
    filled_ms: Option<u64>,
}

impl Pace {
    /// Adds what time has given; one load per second is one thousandth per ms.
    pub(crate) fn fill(&mut self, now_ms: u64, loads_per_s: u32) {
        let most = u64::from(loads_per_s) * WHOLE;
        let elapsed = self.filled_ms.map(|then| now_ms.saturating_sub(then));
        let added = elapsed.map_or(most, |ms| ms.saturating_mul(u64::from(loads_per_s)));
        self.saved = self.saved.saturating_add(added).min(most);
        self.filled_ms = Some(now_ms);
    }

    fn take(&mut self) -> bool {
        let granted = self.saved >= WHOLE;
        if granted {
            self.saved -= WHOLE;
        }
        granted
    }
}

/// `Limits` are the loads that may still be started in one round of planning.
#[derive(Debug)]
pub(crate) struct Limits<'a> {
    pace: &'a mut Pace,
    models: u32,
    adapters: u32,
}

impl<'a> Limits<'a> {
    /// Returns the limits that remain beside the loads under way.
    pub(crate) fn new(
        options: &Options,
        pace: &'a mut Pace,
        (models, adapters): (u32, u32),
    ) -> Self {
        Self {
            pace,
            models: options.loads_in_flight.saturating_sub(models),
            adapters: options.adapters_in_flight.saturating_sub(adapters),
        }
    }

    /// Takes one load if the limits allow it.
    pub(crate) fn take(&mut self, is_adapter: bool) -> bool {
        let left = if is_adapter {
            &mut self.adapters
        } else {
            &mut self.models
        };
        if *left == 0 || !(is_adapter || self.pace.take()) {
            return false;
        }
        *left -= 1;
        true
    }
}
