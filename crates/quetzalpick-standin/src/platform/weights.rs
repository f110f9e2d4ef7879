//! The weight store: a few loads a second, a few of them at full speed.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep, sleep_until};

/// `Fetch` asks for the weights of one version of a model or adapter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fetch {
    /// Model or adapter.
    pub artifact: String,
    /// Its version.
    pub version: u32,
}

/// `Options` sets up a weight store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Model loads that may begin in a second.
    pub loads_per_second: u32,
    /// Model loads at a time that run at full speed.
    pub loads_at_full_speed: u32,
    /// Time of a model load at full speed.
    pub load: Duration,
    /// Adapter loads at a time that run at full speed.
    pub adapters_at_full_speed: u32,
    /// Time of an adapter load at full speed.
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

/// `Counts` is what a weight store recorded of one kind of load.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Loads that began.
    pub loads: u32,
    /// Most loads at a time.
    pub most_at_a_time: u32,
}

/// `Weights` is the weight store.
#[derive(Debug)]
pub struct Weights {
    options: Options,
    next_start: Mutex<Option<Instant>>,
    models: Lane,
    adapters: Lane,
}

/// `Lane` counts the loads of one kind.
#[derive(Debug, Default)]
struct Lane {
    now: AtomicU32,
    loads: AtomicU32,
    most: AtomicU32,
}

/// `Running` is a load under way.
struct Running<'a>(&'a Lane);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.now.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Lane {
    /// Begins a load and returns it with the number of loads under way.
    fn begin(&self) -> (Running<'_>, u32) {
        let now = self.now.fetch_add(1, Ordering::SeqCst) + 1;
        self.loads.fetch_add(1, Ordering::SeqCst);
        self.most.fetch_max(now, Ordering::SeqCst);
        (Running(self), now)
    }

    /// Waits for a load, which takes proportionally longer beyond `full_speed` loads at a time.
    async fn load(&self, time: Duration, full_speed: u32) {
        let (running, now) = self.begin();
        let full_speed = full_speed.max(1);
        sleep(time * now.max(full_speed) / full_speed).await;
        drop(running);
    }

    /// Returns what was recorded.
    fn counts(&self) -> Counts {
        Counts {
            loads: self.loads.load(Ordering::SeqCst),
            most_at_a_time: self.most.load(Ordering::SeqCst),
        }
    }
}

impl Weights {
    /// Makes a weight store.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            next_start: Mutex::default(),
            models: Lane::default(),
            adapters: Lane::default(),
        }
    }

    /// Waits until a model's weights are loaded.
    pub async fn load_model(&self) {
        sleep_until(self.start()).await;
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

    /// Returns what was recorded of models and of adapters.
    pub fn counts(&self) -> (Counts, Counts) {
        (self.models.counts(), self.adapters.counts())
    }

    /// Returns the next time at which the rate lets a load begin.
    fn start(&self) -> Instant {
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
