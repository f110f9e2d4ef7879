//! In-memory fake of a log service with topics.

use std::sync::Arc;
use std::time::Duration;

use quetzalpick_core::id::{Era, Offset, Position};
use quetzalpick_core::table::Table;
use quetzalpick_core::verdict::Verdict;

use crate::errors::{Error, Result, unanswered};
use crate::memory::shared::Shared;
use crate::topic::{Record, Records, Topic};

/// Target named in errors.
const TARGET: &str = "memory topics";

/// `Topics` connects to a log service in memory under a handle name; clones are the same handle.
#[derive(Debug, Clone)]
pub struct Topics {
    shared: Arc<Shared<Service>>,
    name: Arc<str>,
}

/// `Service` holds the topics, the faults of all handles and the number of calls.
#[derive(Debug, Default)]
struct Service {
    topics: Table<Topic, TopicRecords>,
    /// Number of restores so far.
    era: Era,
    /// Topics that are down, for all handles.
    down: Table<Topic, ()>,
    faults: Table<String, Faults>,
    call_count: u64,
}

/// `Backup` holds the records of all topics as of one moment.
#[derive(Debug, Clone)]
pub struct Backup(Table<Topic, TopicRecords>);

/// `TopicRecords` stores the retained records of one topic.
#[derive(Debug, Default, Clone)]
struct TopicRecords {
    oldest: u64,
    records: Vec<Record>,
}

/// `Faults` holds the faults set on one handle.
#[derive(Debug, Default)]
struct Faults {
    disconnected: bool,
    drop_answers: u32,
}

impl TopicRecords {
    fn end(&self) -> u64 {
        self.oldest + self.records.len() as u64
    }

    /// Returns the newest record of each key, without removed keys.
    fn newest(&self) -> Vec<Record> {
        let mut newest: Table<String, Record> = Table::default();
        for record in &self.records {
            newest.insert(record.key.clone(), record.clone());
        }
        let present = newest.values().filter(|record| record.value.is_some());
        present.cloned().collect()
    }

    fn read(&self, from: Position) -> Result<Records> {
        let oldest = self.oldest;
        let skipped = from.offset.0.checked_sub(oldest);
        let Some(skipped) = skipped.filter(|_| from.offset.0 <= self.end()) else {
            return Err(Error::Trimmed { oldest });
        };
        let skipped = usize::try_from(skipped).unwrap_or(usize::MAX);
        let records: Vec<Record> = self.records.iter().skip(skipped).cloned().collect();
        Ok(Records {
            next: from.after(records.len() as u64),
            records,
            end: Offset(self.end()),
        })
    }
}

impl Service {
    fn topic(&mut self, topic: Topic) -> &mut TopicRecords {
        self.topics.get_or_insert_with(topic, TopicRecords::default)
    }

    /// Checks that a position is of the present era.
    fn check_era(&self, position: Option<Position>) -> Result<()> {
        match position {
            Some(position) if position.era != self.era => Err(Error::Restored { era: self.era }),
            _ => Ok(()),
        }
    }

    /// Reads a topic from a position on, or from its oldest record.
    fn read(&mut self, topic: Topic, from: Option<Position>) -> Result<Records> {
        self.check_era(from)?;
        let era = self.era;
        let topic = self.topic(topic);
        let offset = Offset(topic.oldest);
        topic.read(from.unwrap_or(Position { era, offset }))
    }

    fn faults(&mut self, name: &str) -> &mut Faults {
        self.faults
            .get_or_insert_with(name.to_owned(), Faults::default)
    }

    /// Counts a call, and fails if the handle cannot reach the topic.
    fn check_reachable(&mut self, name: &str, topic: Topic) -> Result<()> {
        self.call_count += 1;
        if self.faults(name).disconnected || self.down.contains(&topic) {
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

    /// Lets all handles fail to reach a topic, or reach it again.
    pub fn set_down(&self, topic: Topic, is_down: bool) {
        self.shared.update(|service| match is_down {
            true => drop(service.down.insert(topic, ())),
            false => drop(service.down.remove(&topic)),
        });
    }

    /// Drops the answers to the next `count` appends of this handle; the appends take effect.
    pub fn drop_answers(&self, count: u32) {
        self.shared
            .update(|service| service.faults(&self.name).drop_answers = count);
    }

    /// Drops all records of a topic but the newest `records`; `newest` afterwards returns only keys among them.
    pub fn trim(&self, topic: Topic, records: usize) {
        self.shared.update(|service| {
            let topic = service.topic(topic);
            let surplus = topic.records.len().saturating_sub(records);
            topic.records.drain(..surplus);
            topic.oldest += surplus as u64;
        });
    }

    /// Returns the records of all topics as they are now.
    pub fn backup(&self) -> Backup {
        Backup(self.shared.lock().topics.clone())
    }

    /// Replaces the records of all topics by those of a backup; what was appended since is lost, and its offsets are given out again.
    pub fn restore(&self, backup: Backup) {
        self.shared.update(|service| {
            service.topics = backup.0;
            service.era.0 += 1;
        });
    }

    /// Returns the number of calls made by all handles.
    pub fn call_count(&self) -> u64 {
        self.shared.lock().call_count
    }
}

impl crate::topic::Topics for Topics {
    async fn newest(&self, topic: Topic) -> Result<Records> {
        let mut service = self.shared.lock();
        service.check_reachable(&self.name, topic)?;
        let era = service.era;
        let topic = service.topic(topic);
        let end = Offset(topic.end());
        Ok(Records {
            records: topic.newest(),
            next: Position { era, offset: end },
            end,
        })
    }

    async fn read(&self, topic: Topic, from: Option<Position>, wait: Duration) -> Result<Records> {
        self.shared.lock().check_reachable(&self.name, topic)?;
        let page = |service: &mut Service| {
            if service.faults(&self.name).disconnected {
                return Err(unanswered(TARGET, Verdict::NotRun, "cut"));
            }
            service.read(topic, from)
        };
        let is_enough = |page: &Records| !page.records.is_empty();
        self.shared.read_until(wait, page, is_enough).await
    }

    async fn append(
        &self,
        topic: Topic,
        record: &Record,
        expected_end: Option<Position>,
    ) -> Result<Position> {
        let (position, drop_answer) = self.shared.update(|service| {
            service.check_reachable(&self.name, topic)?;
            service.check_era(expected_end)?;
            let era = service.era;
            let topic = service.topic(topic);
            let end = topic.end();
            if expected_end.is_some_and(|expected| expected.offset.0 != end) {
                return Err(Error::Conflict { end });
            }
            topic.records.push(record.clone());
            let faults = service.faults(&self.name);
            let drop_answer = faults.drop_answers > 0;
            faults.drop_answers = faults.drop_answers.saturating_sub(1);
            let offset = Offset(end);
            Ok((Position { era, offset }, drop_answer))
        })?;
        if drop_answer {
            return Err(unanswered(TARGET, Verdict::MayHaveRun, "answer lost"));
        }
        Ok(position)
    }
}
