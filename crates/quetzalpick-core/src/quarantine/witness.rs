//! What one VM has seen of crashes and answers.

use crate::id::Endpoint;
use crate::quarantine::rows::{Row, Rows};
use crate::quarantine::{Answered, Crash, Feature, Options};
use crate::table::Table;

/// Maximum number of crashes that a VM remembers.
const CRASHES_MAX: usize = 64;

/// `Witness` remembers the crashes that a VM has seen and when it last saw each feature answered.
#[derive(Debug, Clone)]
pub struct Witness {
    options: Options,
    /// Times of the last answers to the features that were answered lately, in ms.
    current: Table<Feature, u64>,
    /// The same of the features that were answered before `current` was started.
    former: Table<Feature, u64>,
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

    /// Records an answer to a request with these features: its first event for parts of its prompt, its end for the request.
    pub fn record_answer(&mut self, now_ms: u64, features: impl Iterator<Item = Feature>) {
        for feature in features {
            if let Some(answered_ms) = self.current.get_mut(&feature) {
                *answered_ms = now_ms;
                continue;
            }
            if self.current.len() >= self.options.answers_max {
                self.former = std::mem::take(&mut self.current);
            }
            self.current.insert(feature, now_ms);
        }
    }

    /// Returns when a request with the feature was last answered, in ms; `None` if this is not known.
    pub fn answered_ms(&self, feature: Feature) -> Option<u64> {
        let answered_ms = self
            .current
            .get(&feature)
            .or_else(|| self.former.get(&feature));
        answered_ms.copied()
    }

    /// Records that an endpoint crashed and broke off requests with these features. Calls for the same start of the endpoint add to
    /// one crash.
    pub fn record_crash(
        &mut self,
        now_ms: u64,
        endpoint: &Endpoint,
        started_ms: Option<u64>,
        features: impl IntoIterator<Item = Feature>,
    ) {
        self.expire(now_ms);
        self.crashes.record(now_ms, endpoint, started_ms, features);
    }

    /// Returns the crashes to report, without features that were answered since.
    pub fn crashes(&mut self, now_ms: u64) -> Vec<Crash> {
        self.expire(now_ms);
        let crashes = self.crashes.iter().map(|((endpoint, started_ms), row)| {
            let unanswered = row
                .features
                .iter()
                .filter(|feature| self.accuses(row, **feature));
            Crash {
                endpoint: endpoint.clone(),
                started_ms: *started_ms,
                ago_ms: now_ms.saturating_sub(row.at_ms),
                features: unanswered.copied().collect(),
            }
        });
        crashes.filter(|crash| !crash.features.is_empty()).collect()
    }

    /// Returns when the suspects were last answered; features that this VM has not seen answered are left out.
    pub fn answers_to(&self, now_ms: u64, suspects: &[Feature]) -> Vec<Answered> {
        let answers = suspects.iter().filter_map(|feature| {
            let answered_ms = self.answered_ms(*feature)?;
            let ago_ms = now_ms.saturating_sub(answered_ms);
            Some(Answered {
                feature: *feature,
                ago_ms,
            })
        });
        answers.collect()
    }

    /// Returns whether this VM has seen crashes with the feature and no answer to it since: one with a part of prompts, or as many with
    /// a request as a leader would require. A VM that finds no leader does not send requests with such a feature.
    pub fn suspects_alone(&self, feature: Feature, now_ms: u64) -> bool {
        let oldest_ms = now_ms.saturating_sub(self.options.crash_ttl_ms);
        let recent = self.crashes.values().filter(|row| row.at_ms >= oldest_ms);
        let accusing = recent
            .filter(|row| row.contains(feature))
            .filter(|row| self.accuses(row, feature));
        let threshold = if feature.is_request() {
            self.options.crashes_if_new
        } else {
            1
        };
        accusing.count() >= threshold
    }

    /// Returns whether no answer to the feature was seen after a crash.
    fn accuses(&self, row: &Row, feature: Feature) -> bool {
        self.answered_ms(feature)
            .is_none_or(|answered_ms| answered_ms <= row.at_ms)
    }

    fn expire(&mut self, now_ms: u64) {
        self.crashes
            .expire(now_ms.saturating_sub(self.options.crash_ttl_ms));
    }
}
