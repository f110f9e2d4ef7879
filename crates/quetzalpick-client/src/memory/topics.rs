//! A log service of topics in memory.

use std::sync::Arc;
use std::time::Duration;

use quetzalpick_core::id::Offset;
use quetzalpick_core::table::Table;
use quetzalpick_core::verdict::Verdict;

use crate::errors::{Error, Result, unanswered};
use crate::memory::hub::Hub;
use crate::topic::{Record, Records, Topic};

/// Target that errors name.
const TARGET: &str = "memory topics";

/// `Topics` is a handle on a log service in memory; clones are the same handle.
#[derive(Debug, Clone)]
pub struct Topics {
    hub: Arc<Hub<Service>>,
    name: Arc<str>,
}

/// `Service` is the state of the service.
#[derive(Debug, Default)]
struct Service {
    topics: Table<Topic, Kept>,
    faults: Table<String, Faults>,
    calls: u64,
}

/// `Kept` is one topic.
#[derive(Debug, Default)]
struct Kept {
    oldest: u64,
    records: Vec<Record>,
}

/// `Faults` is what one handle meets.
#[derive(Debug, Default)]
struct Faults {
    disconnected: bool,
    drop_answers: u32,
}

impl Kept {
    fn end(&self) -> u64 {
        self.oldest + self.records.len() as u64
    }

    /// Returns the newest record of each key that was not removed.
    fn newest(&self) -> Vec<Record> {
        let mut newest: Table<String, Record> = Table::default();
        for record in &self.records {
            newest.insert(record.key.clone(), record.clone());
        }
        let values = newest.values().filter(|record| record.value.is_some());
        values.cloned().collect()
    }

    fn read(&self, from: Offset) -> Result<Records> {
        let oldest = self.oldest;
        let Some(skipped) = from.0.checked_sub(oldest) else {
            return Err(Error::Trimmed { oldest });
        };
        let skipped = usize::try_from(skipped).unwrap_or(usize::MAX);
        let records: Vec<Record> = self.records.iter().skip(skipped).cloned().collect();
        Ok(Records {
            next: Offset(from.0 + records.len() as u64),
            records,
            end: Offset(self.end()),
        })
    }
}

impl Service {
    fn topic(&mut self, topic: Topic) -> &mut Kept {
        self.topics.get_or_insert_with(topic, Kept::default)
    }

    fn faults(&mut self, name: &str) -> &mut Faults {
        self.faults
            .get_or_insert_with(name.to_owned(), Faults::default)
    }

    /// Counts a call, and fails if the handle cannot reach the service.
    fn reach(&mut self, name: &str) -> Result<()> {
        self.calls += 1;
        if self.faults(name).disconnected {
            return Err(unanswered(TARGET, Verdict::NotRun, "cut"));
        }
        Ok(())
    }
}

impl Default for Topics {
    fn default() -> Self {
        Self::new()
    }
}

impl Topics {
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

    /// Drops all records of a topic but the newest `kept`; the newest of each key can still be asked for only if it is
    /// among them.
    pub fn trim(&self, topic: Topic, kept: usize) {
        self.hub.switch(|service| {
            let topic = service.topic(topic);
            let surplus = topic.records.len().saturating_sub(kept);
            topic.records.drain(..surplus);
            topic.oldest += surplus as u64;
        });
    }

    /// Returns how many calls were made.
    pub fn calls(&self) -> u64 {
        self.hub.lock().calls
    }
}

impl crate::topic::Topics for Topics {
    async fn newest(&self, topic: Topic) -> Result<Records> {
        let mut service = self.hub.lock();
        service.reach(&self.name)?;
        let kept = service.topic(topic);
        let end = Offset(kept.end());
        Ok(Records {
            records: kept.newest(),
            next: end,
            end,
        })
    }

    async fn read(&self, topic: Topic, from: Offset, wait: Duration) -> Result<Records> {
        self.hub.lock().reach(&self.name)?;
        let page = |service: &mut Service| {
            if service.faults(&self.name).disconnected {
                return Err(unanswered(TARGET, Verdict::NotRun, "cut"));
            }
            service.topic(topic).read(from)
        };
        let is_enough = |page: &Records| !page.records.is_empty();
        self.hub.wait(wait, page, is_enough).await
    }

    async fn append(&self, topic: Topic, record: &Record, at: Option<Offset>) -> Result<Offset> {
        let (offset, lost) = self.hub.switch(|service| {
            service.reach(&self.name)?;
            let kept = service.topic(topic);
            let end = kept.end();
            if at.is_some_and(|at| at.0 != end) {
                return Err(Error::Conflict { end });
            }
            kept.records.push(record.clone());
            let faults = service.faults(&self.name);
            let lost = faults.drop_answers > 0;
            faults.drop_answers = faults.drop_answers.saturating_sub(1);
            Ok((Offset(end), lost))
        })?;
        if lost {
            return Err(unanswered(TARGET, Verdict::MayHaveRun, "answer lost"));
        }
        Ok(offset)
    }
}
