//! Weight store with a limited start rate and limited bandwidth for concurrent loads.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep, sleep_until};

/// `Fetch` requests the weights of one version of a model or adapter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fetch {
    /// Name of the model or adapter.
    pub artifact: String,
    /// Version of the model or adapter.
    pub version: u32,
}

/// `Options` configures a weight store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Model loads that may start per second.
    pub loads_per_second: u32,
    /// Concurrent model loads that run at full speed.
    pub loads_at_full_speed: u32,
    /// Duration of a model load at full speed.
    pub load: Duration,
    /// Concurrent adapter loads that run at full speed.
    pub adapters_at_full_speed: u32,
    /// Duration of an adapter load at full speed.
    pub adapter: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            loads_per_second: 2,
            loads_at_full_speed: 2,
            load: Duration::from_millis(300),
            adapters_at_full_speed: 16,
            adapter: Duration::from_millis(5),
        }
    }
}

/// `Counts` reports the loads of one kind, models or adapters.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Loads started.
    pub loads: u32,
    /// Maximum number of concurrent loads.
    pub most_at_a_time: u32,
}

/// `WeightStore` simulates the time that loads take; it stores no weights.
#[derive(Debug)]
pub struct WeightStore {
    options: Options,
    next_start: Mutex<Option<Instant>>,
    models: LoadCounter,
    adapters: LoadCounter,
}

/// `LoadCounter` counts active, started and peak concurrent loads of one kind.
#[derive(Debug, Default)]
struct LoadCounter {
    active: AtomicU32,
    loads: AtomicU32,
    peak: AtomicU32,
}

/// `ActiveLoad` counts one load as active until it is dropped.
struct ActiveLoad<'a>(&'a LoadCounter);

impl Drop for ActiveLoad<'_> {
    fn drop(&mut self) {
        self.0.active.fetch_sub(1, Ordering::SeqCst);
    }
}

impl LoadCounter {
    /// Starts a load and returns it with the number of active loads, itself included.
    fn begin(&self) -> (ActiveLoad<'_>, u32) {
        let active = self.active.fetch_add(1, Ordering::SeqCst) + 1;
        self.loads.fetch_add(1, Ordering::SeqCst);
        self.peak.fetch_max(active, Ordering::SeqCst);
        (ActiveLoad(self), active)
    }

    /// Simulates a load; with more than `full_speed` active loads at its start it takes proportionally longer.
    async fn load(&self, time: Duration, full_speed: u32) {
        let (load, active) = self.begin();
        let full_speed = full_speed.max(1);
        sleep(time * active.max(full_speed) / full_speed).await;
        drop(load);
    }

    /// Returns the counts up to now.
    fn counts(&self) -> Counts {
        Counts {
            loads: self.loads.load(Ordering::SeqCst),
            most_at_a_time: self.peak.load(Ordering::SeqCst),
        }
    }
}

impl WeightStore {
    /// Creates a weight store without active loads.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            next_start: Mutex::default(),
            models: LoadCounter::default(),
            adapters: LoadCounter::default(),
        }
    }

    /// Waits until a model's weights are loaded.
    pub async fn load_model(&self) {
        sleep_until(self.reserve_start()).await;
        let Options {
            load,
            loads_at_full_speed,
            ..
        } = self.options;
        self.models.load(load, loads_at_full_speed).await;
    }

    /// Waits until an adapter's weights are loaded.
    pub async fn load_adapter(&self) {
        let Options {
            adapter,
            adapters_at_full_speed,
            ..
        } = self.options;
        self.adapters.load(adapter, adapters_at_full_speed).await;
    }

    /// Returns the counts of model loads and of adapter loads.
    pub fn counts(&self) -> (Counts, Counts) {
        (self.models.counts(), self.adapters.counts())
    }

    /// Reserves and returns the next start time that the start rate allows.
    fn reserve_start(&self) -> Instant {
        let mut next = self
            .next_start
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let start = next.map_or(now, |next| next.max(now));
        *next = Some(start + Duration::from_secs(1) / self.options.loads_per_second.max(1));
        start
    }
}
