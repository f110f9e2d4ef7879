//! The log service in memory.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use quetzalpick_core::id::Offset;
use quetzalpick_core::table::Table;
use quetzalpick_core::verdict::Verdict;
use tokio::time::Instant;

use crate::errors::{Error, Result, busy, unanswered};
use crate::memory::hub::Hub;
use crate::traits::{Batch, Stream};

/// Most records in one answer to a read.
const PAGE_MAX_RECORDS: usize = 1_024;

/// Target that errors name.
const TARGET: &str = "memory log";

/// `Log` is a handle on a log service in memory; clones are the same handle.
///
/// An outage, the retention and the rate concern all handles. The other switches concern the handle they are called on.
#[derive(Debug, Clone)]
pub struct Log {
    hub: Arc<Hub<Service>>,
    name: Arc<str>,
}

/// `Service` is the state of the service.
#[derive(Debug, Default)]
struct Service {
    control: Records,
    snapshots: Records,
    handles: Table<String, Faults>,
    held: Vec<(Stream, Vec<Bytes>)>,
    outage: bool,
    latency: Duration,
    rate: Option<Rate>,
}

/// `Records` is one stream.
#[derive(Debug)]
struct Records {
    oldest: u64,
    kept: Vec<Bytes>,
    retention: usize,
}

/// `Faults` is what one handle meets.
#[derive(Debug, Default)]
struct Faults {
    disconnected: bool,
    drop_answers: u32,
    hold_appends: u32,
    appends: u64,
}

/// `Rate` limits appends in each second.
#[derive(Debug)]
struct Rate {
    per_second: u32,
    second: Instant,
    used: u32,
}

impl Default for Records {
    fn default() -> Self {
        Self {
            oldest: 0,
            kept: Vec::new(),
            retention: usize::MAX,
        }
    }
}

impl Records {
    /// Returns the offset that the next append gets.
    fn head(&self) -> u64 {
        self.oldest + self.kept.len() as u64
    }

    /// Appends records and returns the offset of the first.
    fn append(&mut self, records: Vec<Bytes>) -> Offset {
        let first = self.head();
        self.kept.extend(records);
        self.trim();
        Offset(first)
    }

    /// Drops the records beyond the retention.
    fn trim(&mut self) {
        let surplus = self.kept.len().saturating_sub(self.retention);
        self.kept.drain(..surplus);
        self.oldest += surplus as u64;
    }

    /// Returns the records from an offset on.
    fn page(&self, from: Offset) -> Result<Batch> {
        if from.0 < self.oldest {
            let oldest = self.oldest;
            return Err(Error::Trimmed { oldest });
        }
        let skipped = usize::try_from(from.0 - self.oldest).unwrap_or(usize::MAX);
        let records = self.kept.iter().skip(skipped).take(PAGE_MAX_RECORDS);
        Ok(Batch {
            first: from,
            records: records.cloned().collect(),
            head: Offset(self.head()),
            oldest: Offset(self.oldest),
        })
    }
}

impl Rate {
    /// Takes one of the appends that are left in this second.
    fn take(&mut self, now: Instant) -> bool {
        if now.duration_since(self.second) >= Duration::from_secs(1) {
            self.second = now;
            self.used = 0;
        }
        self.used += 1;
        self.used <= self.per_second
    }
}

impl Service {
    /// Returns a stream.
    fn stream(&mut self, stream: Stream) -> &mut Records {
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
    fn reach(&mut self, name: &str) -> Result<()> {
        let reason = match (self.outage, self.faults(name).disconnected) {
            (true, _) => "outage",
            (_, true) => "cut",
            _ => return Ok(()),
        };
        Err(unanswered(TARGET, Verdict::NotRun, reason))
    }

    /// Appends records for a handle, as far as its faults let it.
    fn append(&mut self, name: &str, stream: Stream, records: Vec<Bytes>) -> Result<Offset> {
        self.reach(name)?;
        if let Some(rate) = &mut self.rate
            && !rate.take(Instant::now())
        {
            return Err(busy(TARGET, Duration::from_secs(1)));
        }
        let faults = self.faults(name);
        faults.appends += 1;
        if faults.hold_appends > 0 {
            faults.hold_appends -= 1;
            self.held.push((stream, records));
            return Err(unanswered(TARGET, Verdict::MayHaveRun, "append held"));
        }
        let lost = faults.drop_answers > 0;
        faults.drop_answers = faults.drop_answers.saturating_sub(1);
        let first = self.stream(stream).append(records);
        if lost {
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
    /// Makes an empty log service and a first handle on it.
    pub fn new() -> Self {
        Self {
            hub: Arc::default(),
            name: Arc::from("first"),
        }
    }

    /// Returns the handle of this name on the same service.
    pub fn handle(&self, name: &str) -> Self {
        Self {
            hub: Arc::clone(&self.hub),
            name: Arc::from(name),
        }
    }

    /// Cuts this handle off from the service, or connects it again.
    pub fn set_disconnected(&self, disconnected: bool) {
        self.hub
            .switch(|service| service.faults(&self.name).disconnected = disconnected);
    }

    /// Lets the next `count` appends of this handle take effect without an answer.
    pub fn drop_answers(&self, count: u32) {
        self.hub
            .switch(|service| service.faults(&self.name).drop_answers = count);
    }

    /// Holds the next `count` appends of this handle back, without an answer, until `release`.
    pub fn hold_appends(&self, count: u32) {
        self.hub
            .switch(|service| service.faults(&self.name).hold_appends = count);
    }

    /// Appends what was held back, in the order it came, after all that was appended meanwhile.
    pub fn release(&self) {
        self.hub.switch(|service| {
            for (stream, records) in std::mem::take(&mut service.held) {
                service.stream(stream).append(records);
            }
        });
    }

    /// Begins or ends an outage for all handles.
    pub fn outage(&self, outage: bool) {
        self.hub.switch(|service| service.outage = outage);
    }

    /// Keeps at most `records` records of a stream.
    pub fn retain(&self, stream: Stream, records: usize) {
        self.hub.switch(|service| {
            service.stream(stream).retention = records;
            service.stream(stream).trim();
        });
    }

    /// Allows at most this many appends in a second; `None` lifts the limit.
    pub fn limit_rate(&self, per_second: Option<u32>) {
        let second = Instant::now();
        let rate = per_second.map(|per_second| Rate {
            per_second,
            second,
            used: 0,
        });
        self.hub.switch(|service| service.rate = rate);
    }

    /// Lets each call take this long before it takes effect.
    pub fn delay(&self, latency: Duration) {
        self.hub.switch(|service| service.latency = latency);
    }

    /// Returns the records of a stream that are kept, with the offset of the first.
    pub fn records(&self, stream: Stream) -> (Offset, Vec<Bytes>) {
        let mut service = self.hub.lock();
        let records = service.stream(stream);
        (Offset(records.oldest), records.kept.clone())
    }

    /// Returns how many appends of this handle reached the service.
    pub fn appends(&self) -> u64 {
        self.hub.lock().faults(&self.name).appends
    }

    /// Waits as long as each call takes.
    async fn travel(&self) {
        let latency = self.hub.lock().latency;
        if !latency.is_zero() {
            tokio::time::sleep(latency).await;
        }
    }
}

impl crate::traits::Log for Log {
    async fn append(&self, stream: Stream, records: Vec<Bytes>) -> Result<Offset> {
        self.travel().await;
        let mut result = Ok(Offset::default());
        self.hub
            .switch(|service| result = service.append(&self.name, stream, records));
        result
    }

    async fn read(&self, stream: Stream, from: Offset, wait: Duration) -> Result<Batch> {
        self.travel().await;
        let page = |service: &mut Service| {
            service.reach(&self.name)?;
            service.stream(stream).page(from)
        };
        let is_enough = |page: &Batch| !page.records.is_empty();
        self.hub.wait(wait, page, is_enough).await
    }
}
