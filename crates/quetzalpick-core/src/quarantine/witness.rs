//! What one VM has seen of crashes and answers.

use crate::id::Endpoint;
use crate::quarantine::rows::{Row, Rows};
use crate::quarantine::{Answered, Crash, Options, Part};
use crate::table::Table;

/// Maximum number of crashes that a VM remembers.
const CRASHES_MAX: usize = 64;

/// `Witness` remembers the crashes that a VM has seen and when it last saw each part answered.
#[derive(Debug, Clone)]
pub struct Witness {
    options: Options,
    /// Times of the last answers to the parts that were answered lately, in ms.
    current: Table<Part, u64>,
    /// The same of the parts that were answered before `current` was started.
    former: Table<Part, u64>,
    crashes: Rows,
}

impl Witness {
    /// Creates a witness that has seen nothing.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            current: Table::default(),
            former: Table::default(),
            crashes: Rows::new(CRASHES_MAX),
        }
    }

    /// Records the first event of the answer to a request with these parts, without the last part of its prompt.
    pub fn record_answer(&mut self, now_ms: u64, parts: impl Iterator<Item = Part>) {
        for part in parts {
            if let Some(answered_ms) = self.current.get_mut(&part) {
                *answered_ms = now_ms;
                continue;
            }
            if self.current.len() >= self.options.answers_max {
                self.former = std::mem::take(&mut self.current);
            }
            self.current.insert(part, now_ms);
        }
    }

    /// Returns when a request with the part was last answered, in ms; `None` if this is not known.
    pub fn answered_ms(&self, part: Part) -> Option<u64> {
        let answered_ms = self.current.get(&part).or_else(|| self.former.get(&part));
        answered_ms.copied()
    }

    /// Records that an endpoint crashed and broke off requests with these parts before their first event. Calls for the same
    /// start of the endpoint add to one crash.
    pub fn record_crash(
        &mut self,
        now_ms: u64,
        endpoint: &Endpoint,
        started_ms: Option<u64>,
        parts: impl IntoIterator<Item = Part>,
    ) {
        self.expire(now_ms);
        self.crashes.record(now_ms, endpoint, started_ms, parts);
    }

    /// Returns the crashes to report, without parts that were answered since.
    pub fn crashes(&mut self, now_ms: u64) -> Vec<Crash> {
        self.expire(now_ms);
        let crashes = self.crashes.iter().map(|((endpoint, started_ms), row)| {
            let unanswered = row.parts.iter().filter(|part| self.accuses(row, **part));
            Crash {
                endpoint: endpoint.clone(),
                started_ms: *started_ms,
                ago_ms: now_ms.saturating_sub(row.at_ms),
                parts: unanswered.copied().collect(),
            }
        });
        crashes.filter(|crash| !crash.parts.is_empty()).collect()
    }

    /// Returns when the suspects were last answered; parts that this VM has not seen answered are left out.
    pub fn answers_to(&self, now_ms: u64, suspects: &[Part]) -> Vec<Answered> {
        let answers = suspects.iter().filter_map(|part| {
            let answered_ms = self.answered_ms(*part)?;
            let ago_ms = now_ms.saturating_sub(answered_ms);
            Some(Answered {
                part: *part,
                ago_ms,
            })
        });
        answers.collect()
    }

    /// Returns whether this VM has seen a crash with the part and no answer to it since. A VM that finds no leader does not send
    /// requests with such a part.
    pub fn suspects_alone(&self, part: Part, now_ms: u64) -> bool {
        let oldest_ms = now_ms.saturating_sub(self.options.crash_ttl_ms);
        let recent = self.crashes.values().filter(|row| row.at_ms >= oldest_ms);
        recent
            .filter(|row| row.contains(part))
            .any(|row| self.accuses(row, part))
    }

    /// Returns whether no answer to the part was seen after a crash.
    fn accuses(&self, row: &Row, part: Part) -> bool {
        self.answered_ms(part)
            .is_none_or(|answered_ms| answered_ms <= row.at_ms)
    }

    fn expire(&mut self, now_ms: u64) {
        self.crashes
            .expire(now_ms.saturating_sub(self.options.crash_ttl_ms));
    }
}
