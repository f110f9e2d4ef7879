//! In-memory fake of the log service.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use quetzalpick_core::id::Offset;
use quetzalpick_core::table::Table;
use quetzalpick_core::verdict::Verdict;
use tokio::time::Instant;

use crate::errors::{Error, Result, busy, unanswered};
use crate::memory::shared::Shared;
use crate::traits::{Batch, Stream};

/// Most records in one answer to a read.
const PAGE_MAX_RECORDS: usize = 1_024;

/// Target named in errors.
const TARGET: &str = "memory log";

/// `Log` connects to a log service in memory under a handle name; clones are the same handle.
///
/// Outage, latency, retention and rate limit apply to all handles, the other faults to the handle they are set on.
#[derive(Debug, Clone)]
pub struct Log {
    shared: Arc<Shared<Service>>,
    name: Arc<str>,
}

/// `Service` holds the streams, and the faults of all handles.
#[derive(Debug, Default)]
struct Service {
    control: StreamRecords,
    snapshots: StreamRecords,
    handles: Table<String, Faults>,
    held_appends: Vec<(Stream, Vec<Bytes>)>,
    outage: bool,
    latency: Duration,
    rate: Option<RateLimit>,
}

/// `StreamRecords` stores the retained records of one stream.
#[derive(Debug)]
struct StreamRecords {
    oldest: u64,
    records: Vec<Bytes>,
    retention: usize,
}

/// `Faults` holds the faults set on one handle, and the number of its appends.
#[derive(Debug, Default)]
struct Faults {
    disconnected: bool,
    drop_answers: u32,
    hold_appends: u32,
    append_count: u64,
}

/// `RateLimit` limits the appends of all handles in fixed windows of one second.
#[derive(Debug)]
struct RateLimit {
    per_second: u32,
    window_start: Instant,
    used: u32,
}

impl Default for StreamRecords {
    fn default() -> Self {
        Self {
            oldest: 0,
            records: Vec::new(),
            retention: usize::MAX,
        }
    }
}

impl StreamRecords {
    /// Returns the offset that the next append gets.
    fn head(&self) -> u64 {
        self.oldest + self.records.len() as u64
    }

    /// Appends records and returns the offset of the first.
    fn append(&mut self, records: Vec<Bytes>) -> Offset {
        let first = self.head();
        self.records.extend(records);
        self.trim();
        Offset(first)
    }

    /// Drops the oldest records beyond the retention limit.
    fn trim(&mut self) {
        let surplus = self.records.len().saturating_sub(self.retention);
        self.records.drain(..surplus);
        self.oldest += surplus as u64;
    }

    /// Returns the records from an offset on, up to `PAGE_MAX_RECORDS`.
    fn page(&self, from: Offset) -> Result<Batch> {
        if from.0 < self.oldest {
            let oldest = self.oldest;
            return Err(Error::Trimmed { oldest });
        }
        let skipped = usize::try_from(from.0 - self.oldest).unwrap_or(usize::MAX);
        let records = self.records.iter().skip(skipped).take(PAGE_MAX_RECORDS);
        Ok(Batch {
            first: from,
            records: records.cloned().collect(),
            head: Offset(self.head()),
            oldest: Offset(self.oldest),
        })
    }
}

impl RateLimit {
    /// Counts an append and returns whether it is within the limit of the current window.
    fn try_acquire(&mut self, now: Instant) -> bool {
        if now.duration_since(self.window_start) >= Duration::from_secs(1) {
            self.window_start = now;
            self.used = 0;
        }
        self.used += 1;
        self.used <= self.per_second
    }
}

impl Service {
    /// Returns the records of a stream.
    fn stream(&mut self, stream: Stream) -> &mut StreamRecords {
        match stream {
            Stream::Control => &mut self.control,
            Stream::Snapshots => &mut self.snapshots,
        }
    }

    /// Returns the faults of a handle.
    fn faults(&mut self, name: &str) -> &mut Faults {
        self.handles
            .get_or_insert_with(name.to_owned(), Faults::default)
    }

    /// Fails if the handle cannot reach the service.
    fn check_reachable(&mut self, name: &str) -> Result<()> {
        let reason = match (self.outage, self.faults(name).disconnected) {
            (true, _) => "outage",
            (_, true) => "cut",
            _ => return Ok(()),
        };
        Err(unanswered(TARGET, Verdict::NotRun, reason))
    }

    /// Appends records for a handle, subject to the faults set on it.
    fn append(&mut self, name: &str, stream: Stream, records: Vec<Bytes>) -> Result<Offset> {
        self.check_reachable(name)?;
        if let Some(rate) = &mut self.rate
            && !rate.try_acquire(Instant::now())
        {
            return Err(busy(TARGET, Duration::from_secs(1)));
        }
        let faults = self.faults(name);
        faults.append_count += 1;
        if faults.hold_appends > 0 {
            faults.hold_appends -= 1;
            self.held_appends.push((stream, records));
            return Err(unanswered(TARGET, Verdict::MayHaveRun, "append held"));
        }
        let drop_answer = faults.drop_answers > 0;
        faults.drop_answers = faults.drop_answers.saturating_sub(1);
        let first = self.stream(stream).append(records);
        if drop_answer {
            return Err(unanswered(TARGET, Verdict::MayHaveRun, "answer lost"));
        }
        Ok(first)
    }
}

impl Default for Log {
    fn default() -> Self {
        Self::new()
    }
}

impl Log {
    /// Creates an empty log service, and a handle on it named `first`.
    pub fn new() -> Self {
        Self {
            shared: Arc::default(),
            name: Arc::from("first"),
        }
    }

    /// Returns the handle with this name on the same service.
    pub fn handle(&self, name: &str) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
            name: Arc::from(name),
        }
    }

    /// Disconnects this handle from the service, or reconnects it.
    pub fn set_disconnected(&self, disconnected: bool) {
        self.shared
            .update(|service| service.faults(&self.name).disconnected = disconnected);
    }

    /// Drops the answers to the next `count` appends of this handle; the appends take effect.
    pub fn drop_answers(&self, count: u32) {
        self.shared
            .update(|service| service.faults(&self.name).drop_answers = count);
    }

    /// Delays the next `count` appends of this handle until `release_appends`; their callers get no answer.
    pub fn hold_appends(&self, count: u32) {
        self.shared
            .update(|service| service.faults(&self.name).hold_appends = count);
    }

    /// Appends the records that `hold_appends` delayed, in order of arrival, after all records appended meanwhile.
    pub fn release_appends(&self) {
        self.shared.update(|service| {
            for (stream, records) in std::mem::take(&mut service.held_appends) {
                service.stream(stream).append(records);
            }
        });
    }

    /// Starts or ends an outage for all handles.
    pub fn set_outage(&self, outage: bool) {
        self.shared.update(|service| service.outage = outage);
    }

    /// Sets the retention of a stream: the newest `records` records are kept.
    pub fn set_retention(&self, stream: Stream, records: usize) {
        self.shared.update(|service| {
            service.stream(stream).retention = records;
            service.stream(stream).trim();
        });
    }

    /// Limits appends to this many per second; `None` removes the limit.
    pub fn limit_rate(&self, per_second: Option<u32>) {
        let window_start = Instant::now();
        let rate = per_second.map(|per_second| RateLimit {
            per_second,
            window_start,
            used: 0,
        });
        self.shared.update(|service| service.rate = rate);
    }

    /// Sets the latency that passes before each call takes effect.
    pub fn set_latency(&self, latency: Duration) {
        self.shared.update(|service| service.latency = latency);
    }

    /// Returns the retained records of a stream, with the offset of the first.
    pub fn records(&self, stream: Stream) -> (Offset, Vec<Bytes>) {
        let mut service = self.shared.lock();
        let records = service.stream(stream);
        (Offset(records.oldest), records.records.clone())
    }

    /// Returns the number of appends of this handle that reached the service, including delayed ones.
    pub fn append_count(&self) -> u64 {
        self.shared.lock().faults(&self.name).append_count
    }

    /// Sleeps for the latency set by `set_latency`.
    async fn simulate_latency(&self) {
        let latency = self.shared.lock().latency;
        if !latency.is_zero() {
            tokio::time::sleep(latency).await;
        }
    }
}

impl crate::traits::Log for Log {
    async fn append(&self, stream: Stream, records: Vec<Bytes>) -> Result<Offset> {
        self.simulate_latency().await;
        let mut result = Ok(Offset::default());
        self.shared
            .update(|service| result = service.append(&self.name, stream, records));
        result
    }

    async fn read(&self, stream: Stream, from: Offset, wait: Duration) -> Result<Batch> {
        self.simulate_latency().await;
        let page = |service: &mut Service| {
            service.check_reachable(&self.name)?;
            service.stream(stream).page(from)
        };
        let is_enough = |page: &Batch| !page.records.is_empty();
        self.shared.read_until(wait, page, is_enough).await
    }
}
