//! The leader's search for the parts that explain the crashes that VMs have reported.
//!
//! A crash with a quarantined part is explained and is evidence against no other part. A crash before an answer to a part is no
//! evidence against this part.

use crate::quarantine::blocklist::Blocklist;
use crate::quarantine::rows::{Row, Rows};
use crate::quarantine::{Answered, Crash, Decision, Options, Part};
use crate::table::Table;

/// Maximum number of crashes that the leader remembers.
const CRASHES_MAX: usize = 1_024;

/// Maximum number of suspects about which VMs are asked.
const SUSPECTS_MAX: usize = 256;

/// Weight of a crash as evidence against a part that was never answered, relative to a part that was answered before. A first
/// part that many requests share may be in the crashes of two bad parts, and is not to be taken for the cause of both.
const WEIGHT_IF_NEW: usize = 3;

/// `Evidence` counts the unexplained crashes with a part since it was last answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Evidence {
    part: Part,
    crashes: usize,
    /// Whether no answer to the part is known.
    is_new: bool,
}

impl Evidence {
    /// Returns the weight of the evidence, to compare parts.
    fn weight(&self) -> usize {
        if self.is_new {
            self.crashes * WEIGHT_IF_NEW
        } else {
            self.crashes
        }
    }

    /// Returns whether the crashes suffice to quarantine the part.
    fn is_enough(&self, options: &Options) -> bool {
        let threshold = if self.is_new {
            options.crashes_if_new
        } else {
            options.crashes_if_answered
        };
        self.crashes >= threshold
    }
}

/// `Investigation` gathers the crashes and answers of all VMs and quarantines the parts that explain the crashes.
#[derive(Debug, Clone)]
pub struct Investigation {
    options: Options,
    crashes: Rows,
    /// Last known answers to parts that are or were suspects, in ms.
    answers: Table<Part, u64>,
    blocklist: Blocklist,
    /// Since when each suspect has been one, in ms.
    suspects: Table<Part, u64>,
    /// Whether crashes, answers or quarantined parts have changed since the suspects were determined.
    is_stale: bool,
}

impl Investigation {
    /// Creates an investigation that knows of no crash.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            crashes: Rows::new(CRASHES_MAX),
            answers: Table::default(),
            blocklist: Blocklist::default(),
            suspects: Table::default(),
            is_stale: false,
        }
    }

    /// Records a crash that a VM has reported. Reports on the same start of an endpoint add to one crash.
    pub fn record_crash(&mut self, now_ms: u64, crash: &Crash) {
        if crash.ago_ms >= self.options.crash_ttl_ms {
            return;
        }
        let at_ms = now_ms.saturating_sub(crash.ago_ms);
        for part in &crash.parts {
            self.blocklist.record_crash(at_ms, *part);
        }
        let parts = crash.parts.iter().copied();
        self.is_stale |= self
            .crashes
            .record(at_ms, &crash.endpoint, crash.started_ms, parts);
        self.refresh(now_ms);
    }

    /// Records an answer that a VM has reported; returns whether it released a quarantined part, as one that is later than the
    /// last crash with the part does. VMs report answers to suspects and to quarantined parts.
    pub fn record_answer(&mut self, now_ms: u64, answered: &Answered) -> bool {
        let part = answered.part;
        let answered_ms = now_ms.saturating_sub(answered.ago_ms);
        let is_released = self.blocklist.release(answered_ms, part);
        let is_suspect = self.suspects.contains(&part) || self.answers.contains(&part);
        if !is_suspect && !is_released && !self.blocklist.contains(part) {
            return false;
        }
        let known_ms = self.answers.get_or_insert_with(part, || answered_ms);
        *known_ms = answered_ms.max(*known_ms);
        // Most answers concern parts that are no suspects any more, and change nothing.
        self.is_stale |= is_released || self.suspects.contains(&part);
        is_released
    }

    /// Returns the parts about which VMs are asked whether they have seen them answered, sorted.
    pub fn suspects(&mut self, now_ms: u64) -> Vec<Part> {
        self.refresh(now_ms);
        self.suspects.keys().copied().collect()
    }

    /// Quarantines the parts against which there is enough evidence, and returns them. The strongest evidence goes first, and the
    /// other parts are judged again without the crashes that it explains.
    pub fn decide(&mut self, now_ms: u64) -> Vec<Decision> {
        let mut decisions = Vec::new();
        // A full blocklist drops parts, which may then be found again.
        while decisions.len() < SUSPECTS_MAX {
            self.refresh(now_ms);
            let found = self.find_guilty(now_ms);
            if found.is_empty() {
                break;
            }
            for Evidence { part, crashes, .. } in found {
                let crashed_ms = self.crashes.last_ms(part).unwrap_or(now_ms);
                self.blocklist.insert(now_ms, part, crashed_ms);
                decisions.push(Decision { part, crashes });
            }
            self.is_stale = true;
        }
        decisions
    }

    /// Quarantines a part that a former leader has decided on, without evidence of its own.
    pub fn quarantine(&mut self, now_ms: u64, part: Part) {
        self.blocklist.insert(now_ms, part, now_ms);
        self.is_stale = true;
    }

    /// Returns the quarantined parts, sorted.
    pub fn quarantined(&self) -> &[Part] {
        self.blocklist.parts()
    }

    /// Determines the suspects after a change.
    fn refresh(&mut self, now_ms: u64) {
        let oldest_ms = now_ms.saturating_sub(self.options.crash_ttl_ms);
        let has_expired = self.crashes.expire(oldest_ms);
        if !self.is_stale && !has_expired {
            return;
        }
        self.is_stale = false;
        self.drop_answers();
        let mut ranking = self.rank();
        ranking.truncate(SUSPECTS_MAX);
        let suspects = ranking.into_iter().map(|Evidence { part, .. }| {
            let since_ms = self.suspects.get(&part).copied().unwrap_or(now_ms);
            (part, since_ms)
        });
        self.suspects = suspects.collect();
    }

    /// Drops answers to parts that are neither in a known crash nor quarantined.
    fn drop_answers(&mut self) {
        let (crashes, blocklist) = (&self.crashes, &self.blocklist);
        self.answers.retain(|part, _| {
            blocklist.contains(*part) || crashes.values().any(|row| row.contains(*part))
        });
    }

    /// Returns all parts with evidence against them, those with the strongest evidence first.
    fn rank(&self) -> Vec<Evidence> {
        let mut accused: Vec<Part> = self
            .unexplained()
            .flat_map(|row| row.parts.iter().filter(|part| self.accuses(row, **part)))
            .copied()
            .collect();
        accused.sort_unstable();
        let counts = accused.chunk_by(Part::eq).map(|same| Evidence {
            part: same[0],
            crashes: same.len(),
            is_new: !self.answers.contains(&same[0]),
        });
        let mut ranking: Vec<Evidence> = counts.collect();
        ranking.sort_by_key(|evidence| std::cmp::Reverse(evidence.weight()));
        ranking
    }

    /// Iterates over the crashes without a quarantined part.
    fn unexplained(&self) -> impl Iterator<Item = &Row> {
        let is_explained = |row: &Row| row.parts.iter().any(|part| self.blocklist.contains(*part));
        self.crashes.values().filter(move |row| !is_explained(row))
    }

    /// Returns whether a crash with the part is later than its last known answer.
    fn accuses(&self, row: &Row, part: Part) -> bool {
        self.answers
            .get(&part)
            .is_none_or(|answered_ms| *answered_ms <= row.at_ms)
    }

    /// Returns the next part to quarantine, or several if they cannot be told apart.
    fn find_guilty(&self, now_ms: u64) -> Vec<Evidence> {
        let mut ranking = self.rank();
        ranking.retain(|evidence| evidence.is_enough(&self.options));
        for evidence in &ranking {
            if !self.was_heard(now_ms, evidence.part) {
                continue;
            }
            let rivals = self.rivals(evidence, &ranking);
            if self.is_decided(evidence, &rivals) {
                return [vec![*evidence], rivals].concat();
            }
        }
        Vec::new()
    }

    /// Returns the parts that are in some of the same crashes, with evidence that is at least as strong.
    fn rivals(&self, evidence: &Evidence, ranking: &[Evidence]) -> Vec<Evidence> {
        let stronger = ranking
            .iter()
            .take_while(|other| other.weight() >= evidence.weight());
        let others = stronger.filter(|other| other.part != evidence.part);
        others
            .filter(|other| self.common(evidence.part, other.part) > 0)
            .copied()
            .collect()
    }

    /// Returns whether a part has no rivals, or only such as cannot be told apart from it, and enough crashes to take them all.
    fn is_decided(&self, evidence: &Evidence, rivals: &[Evidence]) -> bool {
        let is_inseparable = |rival: &Evidence| {
            let are_new = evidence.is_new && rival.is_new;
            let have_same = || self.common(evidence.part, rival.part) == evidence.crashes;
            rival.crashes == evidence.crashes && (are_new || have_same())
        };
        rivals.is_empty()
            || evidence.crashes >= self.options.crashes_if_answered
                && rivals.iter().all(is_inseparable)
    }

    /// Returns the number of crashes that are evidence against both parts.
    fn common(&self, part: Part, other: Part) -> usize {
        let accused = |row: &&Row, part| row.contains(part) && self.accuses(row, part);
        let rows = self.unexplained().filter(|row| accused(row, part));
        rows.filter(|row| accused(row, other)).count()
    }

    /// Returns whether the VMs had time to report answers to a part.
    fn was_heard(&self, now_ms: u64, part: Part) -> bool {
        let since_ms = self.suspects.get(&part);
        since_ms.is_some_and(|since_ms| now_ms.saturating_sub(*since_ms) >= self.options.hearing_ms)
    }
}
