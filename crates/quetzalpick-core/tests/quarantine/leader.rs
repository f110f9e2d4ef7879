//! The leader of a simulation: the investigation, and naive versions that the checks must catch.

use quetzalpick_core::id::Endpoint;
use quetzalpick_core::quarantine::{Answered, Crash, Feature, Investigation, Options};
use quetzalpick_core::table::Table;

/// `Leader` decides which parts are quarantined.
pub(crate) trait Leader {
    fn record_crash(&mut self, now_ms: u64, crash: &Crash);
    fn record_answer(&mut self, now_ms: u64, answered: &Answered);
    fn suspects(&mut self, now_ms: u64) -> Vec<Feature>;
    fn decide(&mut self, now_ms: u64);
    fn quarantined(&self) -> &[Feature];
}

impl Leader for Investigation {
    fn record_crash(&mut self, now_ms: u64, crash: &Crash) {
        self.record_crash(now_ms, crash);
    }

    fn record_answer(&mut self, now_ms: u64, answered: &Answered) {
        self.record_answer(now_ms, answered);
    }

    fn suspects(&mut self, now_ms: u64) -> Vec<Feature> {
        self.suspects(now_ms)
    }

    fn decide(&mut self, now_ms: u64) {
        self.decide(now_ms);
    }

    fn quarantined(&self) -> &[Feature] {
        self.quarantined()
    }
}

/// `EachPart` quarantines every part of a crashed request.
#[derive(Default)]
pub(crate) struct EachPart(Vec<Feature>);

impl Leader for EachPart {
    fn record_crash(&mut self, _: u64, crash: &Crash) {
        self.0.extend(&crash.features);
        self.0.sort_unstable();
        self.0.dedup();
    }

    fn record_answer(&mut self, _: u64, _: &Answered) {}

    fn suspects(&mut self, _: u64) -> Vec<Feature> {
        Vec::new()
    }

    fn decide(&mut self, _: u64) {}

    fn quarantined(&self) -> &[Feature] {
        &self.0
    }
}

/// `Unanswered` investigates without asking for answers.
pub(crate) struct Unanswered(pub(crate) Investigation);

impl Leader for Unanswered {
    fn record_crash(&mut self, now_ms: u64, crash: &Crash) {
        self.0.record_crash(now_ms, crash);
    }

    fn record_answer(&mut self, _: u64, _: &Answered) {}

    fn suspects(&mut self, now_ms: u64) -> Vec<Feature> {
        self.0.suspects(now_ms)
    }

    fn decide(&mut self, now_ms: u64) {
        self.0.decide(now_ms);
    }

    fn quarantined(&self) -> &[Feature] {
        self.0.quarantined()
    }
}

/// `Count` quarantines each part with enough crashes since its last answer, and leaves out that another part explains them.
#[derive(Default)]
pub(crate) struct Count {
    options: Options,
    crashes: Table<(Feature, Endpoint, Option<u64>), u64>,
    answers: Table<Feature, u64>,
    suspects: Table<Feature, u64>,
    quarantined: Vec<Feature>,
}

impl Count {
    fn crashes(&self, feature: Feature) -> usize {
        let answered_ms = self.answers.get(&feature).copied();
        let crashes = self.crashes.iter().filter(|((of, ..), _)| *of == feature);
        crashes
            .filter(|(_, at_ms)| Some(**at_ms) > answered_ms)
            .count()
    }

    fn is_guilty(&self, now_ms: u64, feature: Feature, since_ms: u64) -> bool {
        let threshold = match self.answers.get(&feature) {
            Some(_) => self.options.crashes_if_answered,
            None => self.options.crashes_if_new,
        };
        now_ms - since_ms >= self.options.hearing_ms && self.crashes(feature) >= threshold
    }
}

impl Leader for Count {
    fn record_crash(&mut self, now_ms: u64, crash: &Crash) {
        let at_ms = now_ms - crash.ago_ms;
        for feature in &crash.features {
            let key = (*feature, crash.endpoint.clone(), crash.started_ms);
            let known_ms = self.crashes.get_or_insert_with(key, || at_ms);
            *known_ms = at_ms.min(*known_ms);
            self.suspects.get_or_insert_with(*feature, || now_ms);
        }
    }

    fn record_answer(&mut self, now_ms: u64, answered: &Answered) {
        let at_ms = now_ms - answered.ago_ms;
        let known_ms = self.answers.get_or_insert_with(answered.feature, || at_ms);
        *known_ms = at_ms.max(*known_ms);
    }

    fn suspects(&mut self, _: u64) -> Vec<Feature> {
        self.suspects.keys().copied().collect()
    }

    fn decide(&mut self, now_ms: u64) {
        let mut suspects = self.suspects.iter();
        let guilty = suspects
            .by_ref()
            .filter(|(feature, since_ms)| self.is_guilty(now_ms, **feature, **since_ms));
        self.quarantined = guilty.map(|(feature, _)| *feature).collect();
    }

    fn quarantined(&self) -> &[Feature] {
        &self.quarantined
    }
}
