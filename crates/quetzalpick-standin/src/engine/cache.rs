//! Prefix cache and its events.

use std::time::Duration;

use quetzalpick_client::wire::engine::{Event, Events, PREFIX_BLOCK_BYTES, prefix_hash};
use quetzalpick_core::table::Table;
use tokio::time::Instant;

/// Maximum number of events retained.
const EVENTS_MAX: usize = 10_000;

/// `Cache` tracks the most recently used prompt blocks by artifact and prefix hash.
#[derive(Debug)]
pub(crate) struct Cache {
    capacity: usize,
    lag: Duration,
    gap: u64,
    use_counter: u64,
    blocks: Table<(String, u64), u64>,
    next_event: u64,
    events: Vec<(Instant, Event)>,
}

impl Cache {
    /// Creates an empty cache of `capacity` blocks that publishes events after `lag` and omits every `gap`-th event.
    pub(crate) fn new(capacity: usize, lag: Duration, gap: u64) -> Self {
        Self {
            capacity,
            lag,
            gap,
            use_counter: 0,
            blocks: Table::default(),
            next_event: 0,
            events: Vec::new(),
        }
    }

    /// Caches a prompt and returns the length of its prefix that was already cached, in bytes.
    pub(crate) fn insert_prompt(&mut self, artifact: &str, prompt: &str) -> usize {
        let blocks = (prompt.len() / PREFIX_BLOCK_BYTES).min(self.capacity);
        let mut cached = 0;
        for count in 1..=blocks {
            let prefix = prefix_hash(prompt.as_bytes(), count);
            self.use_counter += 1;
            let key = (artifact.to_owned(), prefix);
            let was_cached = self.blocks.insert(key, self.use_counter).is_some();
            if was_cached && cached == count - 1 {
                cached = count;
            }
            if !was_cached {
                self.publish(artifact, prefix, true);
            }
        }
        self.evict();
        cached * PREFIX_BLOCK_BYTES
    }

    /// Returns the published events with numbers of at least `from`.
    pub(crate) fn events(&self, incarnation: u64, from: u64) -> Events {
        let now = Instant::now();
        let published = self.events.iter().filter(|(due, _)| *due <= now);
        let new = published.filter(|(_, event)| event.number >= from);
        let events: Vec<Event> = new.map(|(_, event)| event.clone()).collect();
        let next = events.last().map_or(from, |event| event.number + 1);
        Events {
            incarnation,
            next,
            events,
        }
    }

    /// Evicts the least recently used blocks.
    fn evict(&mut self) {
        while self.blocks.len() > self.capacity {
            let oldest = self.blocks.iter().min_by_key(|(_, used)| **used);
            let Some((key, _)) = oldest else {
                return;
            };
            let (artifact, prefix) = key.clone();
            self.blocks.remove(&(artifact.clone(), prefix));
            self.publish(&artifact, prefix, false);
        }
    }

    /// Queues an event for publication after the lag; every `gap`-th event is omitted.
    fn publish(&mut self, artifact: &str, prefix: u64, cached: bool) {
        let number = self.next_event;
        self.next_event += 1;
        if self.gap > 0 && number % self.gap == self.gap - 1 {
            return;
        }
        let artifact = artifact.to_owned();
        let due = Instant::now() + self.lag;
        self.events.push((
            due,
            Event {
                number,
                artifact,
                prefix,
                cached,
            },
        ));
        let surplus = self.events.len().saturating_sub(EVENTS_MAX);
        self.events.drain(..surplus);
    }
}
