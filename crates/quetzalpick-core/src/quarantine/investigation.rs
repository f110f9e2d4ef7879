//! The leader's search for the features that explain the crashes that VMs have reported.
//!
//! A crash with a quarantined part of prompts is explained and is evidence against nothing else. A crash before an answer to a
//! feature is no evidence against this feature.
//!
//! A request is quarantined after few crashes if it was never answered, as none but its repeats are concerned. If it was answered before,
//! it takes more crashes, over a longer time than answers take, in which no part of prompts was broken off. A part concerns many requests: it
//! is quarantined if its crashes suffice and neither another part explains them nor one request that comes again and again.

use crate::quarantine::blocklist::Blocklist;
use crate::quarantine::rows::{Row, Rows};
use crate::quarantine::{Answered, Crash, Decision, Feature, Options};
use crate::table::Table;

/// Maximum number of crashes that the leader remembers.
const CRASHES_MAX: usize = 1_024;

/// Maximum number of suspects about which VMs are asked.
const SUSPECTS_MAX: usize = 256;

/// Weight of a crash as evidence against a feature that was never answered, relative to a feature that was answered before. A first
/// feature that many requests share may be in the crashes of two bad features, and is not to be taken for the cause of both.
const WEIGHT_IF_NEW: usize = 3;

/// Crashes that are required against a part of prompts without a certain request, which may explain the others, and against a request
/// without a certain part.
const OTHER_CRASHES_MIN: usize = 2;

/// `Evidence` counts the unexplained crashes with a feature since it was last answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Evidence {
    feature: Feature,
    crashes: usize,
    /// Crashes with a request, those too that a quarantined part explains; the same as `crashes` for a part.
    total: usize,
    /// Whether no answer to the feature is known.
    is_new: bool,
    /// Whether it is a request that alone explains its crashes over a longer time than answers take.
    stands_alone: bool,
}

impl Evidence {
    /// Returns the weight of the evidence, to compare features.
    fn weight(&self) -> usize {
        if self.is_new {
            self.crashes * WEIGHT_IF_NEW
        } else {
            self.crashes
        }
    }

    /// Returns whether the crashes suffice to quarantine the feature.
    fn is_enough(&self, options: &Options) -> bool {
        match (self.is_new, self.feature) {
            (true, Feature::Request(_)) if self.total >= options.crashes_if_answered => {
                // It may be a second cause: a part explains the other crashes.
                self.crashes >= OTHER_CRASHES_MIN
            }
            (true, _) => self.crashes >= options.crashes_if_new,
            (false, Feature::Part(_)) => self.crashes >= options.crashes_if_answered,
            // Many callers may send it alike, so that it is in many crashes, and its answers take long.
            (false, Feature::Request(_)) => {
                self.crashes >= options.crashes_if_answered && self.stands_alone
            }
        }
    }
}

/// `Investigation` gathers the crashes and answers of all VMs and quarantines the features that explain the crashes.
#[derive(Debug, Clone)]
pub struct Investigation {
    options: Options,
    crashes: Rows,
    /// Last known answers to features that are or were suspects, in ms.
    answers: Table<Feature, u64>,
    blocklist: Blocklist,
    /// Since when each suspect has been one, in ms.
    suspects: Table<Feature, u64>,
    /// The features against which there is enough evidence, strongest first.
    enough: Vec<Evidence>,
    /// Whether crashes, answers or quarantined features have changed since the suspects were determined.
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
            enough: Vec::new(),
            is_stale: false,
        }
    }

    /// Records a crash that a VM has reported. Reports on the same start of an endpoint add to one crash.
    pub fn record_crash(&mut self, now_ms: u64, crash: &Crash) {
        if crash.ago_ms >= self.options.crash_ttl_ms {
            return;
        }
        let at_ms = now_ms.saturating_sub(crash.ago_ms);
        for feature in &crash.features {
            self.blocklist.record_crash(at_ms, *feature);
        }
        let features = crash.features.iter().copied();
        self.is_stale |= self
            .crashes
            .record(at_ms, &crash.endpoint, crash.started_ms, features);
        self.refresh(now_ms);
    }

    /// Records an answer that a VM has reported; returns whether it released a quarantined feature, as one that is later than the
    /// last crash with the feature does. VMs report answers to suspects and to quarantined features.
    pub fn record_answer(&mut self, now_ms: u64, answered: &Answered) -> bool {
        let feature = answered.feature;
        let answered_ms = now_ms.saturating_sub(answered.ago_ms);
        let is_released = self.blocklist.release(answered_ms, feature);
        let is_suspect = self.suspects.contains(&feature) || self.answers.contains(&feature);
        if !is_suspect && !is_released && !self.blocklist.contains(feature) {
            return false;
        }
        let former_ms = self.answers.get(&feature).copied();
        let is_news = former_ms.is_none_or(|former_ms| answered_ms > former_ms);
        if is_news {
            self.answers.insert(feature, answered_ms);
        }
        // Most answers concern features that are no suspects any more, and change nothing.
        self.is_stale |= is_released || is_news && self.suspects.contains(&feature);
        is_released
    }

    /// Returns the features about which VMs are asked whether they have seen them answered, sorted.
    pub fn suspects(&mut self, now_ms: u64) -> Vec<Feature> {
        self.refresh(now_ms);
        self.suspects.keys().copied().collect()
    }

    /// Quarantines the features against which there is enough evidence, and returns them. The strongest evidence goes first, and the
    /// other features are judged again without the crashes that it explains.
    pub fn decide(&mut self, now_ms: u64) -> Vec<Decision> {
        let mut decisions = Vec::new();
        // A full blocklist drops features, which may then be found again.
        while decisions.len() < SUSPECTS_MAX {
            self.refresh(now_ms);
            let found = self.find_guilty(now_ms);
            if found.is_empty() {
                break;
            }
            for Evidence {
                feature, crashes, ..
            } in found
            {
                let crashed_ms = self.crashes.last_ms(feature).unwrap_or(now_ms);
                self.blocklist.insert(now_ms, feature, crashed_ms);
                decisions.push(Decision { feature, crashes });
            }
            self.is_stale = true;
        }
        decisions
    }

    /// Quarantines a feature that a former leader has decided on, without evidence of its own.
    pub fn quarantine(&mut self, now_ms: u64, feature: Feature) {
        self.blocklist.insert(now_ms, feature, now_ms);
        self.is_stale = true;
    }

    /// Returns the quarantined features, sorted.
    pub fn quarantined(&self) -> &[Feature] {
        self.blocklist.features()
    }

    /// Determines the suspects after a change: those with the strongest evidence, without requests that were broken off once.
    fn refresh(&mut self, now_ms: u64) {
        let oldest_ms = now_ms.saturating_sub(self.options.crash_ttl_ms);
        let has_expired = self.crashes.expire(oldest_ms);
        if !self.is_stale && !has_expired {
            return;
        }
        self.is_stale = false;
        self.drop_answers();
        let mut ranking = self.rank();
        let enough = ranking.iter().filter(|e| e.is_enough(&self.options));
        self.enough = enough.copied().collect();
        let repeated = self.options.crashes_if_repeated;
        ranking.retain(|evidence| !evidence.feature.is_request() || evidence.total >= repeated);
        ranking.truncate(SUSPECTS_MAX);
        let suspects = ranking.into_iter().map(|Evidence { feature, .. }| {
            let since_ms = self.suspects.get(&feature).copied().unwrap_or(now_ms);
            (feature, since_ms)
        });
        self.suspects = suspects.collect();
    }

    /// Drops answers to features that are neither in a known crash nor quarantined.
    fn drop_answers(&mut self) {
        let (crashes, blocklist) = (&self.crashes, &self.blocklist);
        self.answers.retain(|feature, _| {
            blocklist.contains(*feature) || crashes.values().any(|row| row.contains(*feature))
        });
    }

    /// Returns all features with evidence against them, those with the strongest evidence first.
    fn rank(&self) -> Vec<Evidence> {
        let mut accused = self.accused(self.unexplained());
        accused.retain(|feature| !self.blocklist.contains(*feature));
        let requests = self.accused_requests();
        let counts = accused.chunk_by(Feature::eq).map(|same| {
            let (feature, crashes) = (same[0], same.len());
            let is_new = !self.answers.contains(&feature);
            let may_stand_alone = feature.is_request() && !is_new;
            let may_stand_alone = may_stand_alone && crashes >= self.options.crashes_if_answered;
            Evidence {
                feature,
                crashes,
                total: crashes.max(count(&requests, feature)),
                is_new,
                stands_alone: may_stand_alone && self.stands_alone(feature),
            }
        });
        let mut ranking: Vec<Evidence> = counts.collect();
        ranking.sort_by_key(|evidence| std::cmp::Reverse(evidence.weight()));
        ranking
    }

    /// Returns the requests against which all crashes are evidence, explained ones too, sorted, each as often as there are such crashes;
    /// none if no crash is explained.
    fn accused_requests(&self) -> Vec<Feature> {
        let mut quarantined = self.blocklist.features().iter();
        if quarantined.all(|feature| feature.is_request()) {
            return Vec::new();
        }
        let mut accused = self.accused(self.crashes.values());
        accused.retain(|feature| feature.is_request());
        accused
    }

    /// Returns the features against which crashes are evidence, sorted, each as often as there are such crashes.
    fn accused<'a>(&'a self, rows: impl Iterator<Item = &'a Row>) -> Vec<Feature> {
        let features = rows.flat_map(|row| {
            let features = row.features.iter().copied();
            features.filter(|feature| self.accuses(row, *feature))
        });
        let mut accused: Vec<Feature> = features.collect();
        accused.sort_unstable();
        accused
    }

    /// Iterates over the crashes without a quarantined part of prompts.
    fn unexplained(&self) -> impl Iterator<Item = &Row> {
        let explains =
            |feature: &Feature| !feature.is_request() && self.blocklist.contains(*feature);
        let is_explained = move |row: &&Row| row.features.iter().any(explains);
        self.crashes.values().filter(move |row| !is_explained(row))
    }

    /// Returns the number of crashes that are evidence against a part of prompts and that none of the requests explains alone.
    fn count_without(&self, requests: &[Feature], part: Feature) -> usize {
        let without = |request: &Feature| {
            let rows = self.accusing(part).filter(|row| !row.contains(*request));
            rows.count()
        };
        requests.iter().map(without).min().unwrap_or(usize::MAX)
    }

    /// Returns whether the crashes that are evidence against a request span a longer time than answers take, and broke off no request
    /// with a prompt, of which a part would explain them too.
    fn stands_alone(&self, request: Feature) -> bool {
        let times = || self.accusing(request).map(|row| row.at_ms);
        let (Some(first_ms), Some(last_ms)) = (times().min(), times().max()) else {
            return false;
        };
        let has_part = |row: &Row| row.features.iter().any(|feature| !feature.is_request());
        last_ms - first_ms >= self.options.span_if_answered_ms
            && !self.accusing(request).any(has_part)
    }

    /// Iterates over the crashes that are evidence against a feature.
    fn accusing(&self, feature: Feature) -> impl Iterator<Item = &Row> {
        let rows = self.unexplained();
        rows.filter(move |row| row.contains(feature) && self.accuses(row, feature))
    }

    /// Returns whether a crash with the feature is later than its last known answer.
    fn accuses(&self, row: &Row, feature: Feature) -> bool {
        self.answers
            .get(&feature)
            .is_none_or(|answered_ms| *answered_ms <= row.at_ms)
    }

    /// Returns the next feature to quarantine, or several if they cannot be told apart.
    fn find_guilty(&self, now_ms: u64) -> Vec<Evidence> {
        let is_request = |evidence: &Evidence| evidence.feature.is_request();
        let (requests, parts): (Vec<Evidence>, Vec<Evidence>) =
            self.enough.iter().partition(|e| is_request(e));
        let was_heard = |evidence: &Evidence| self.was_heard(now_ms, evidence.feature);
        if let Some(evidence) = requests.iter().find(|evidence| was_heard(evidence)) {
            return vec![*evidence];
        }
        // Requests that are still heard may explain crashes too.
        let quarantined = self.blocklist.features().iter().copied();
        let heard = requests.iter().map(|evidence| evidence.feature);
        let repeated: Vec<Feature> = heard
            .chain(quarantined.filter(|f| f.is_request()))
            .collect();
        // Parts that are only in crashes with such a request may be its own, and say nothing against the other parts in its crashes.
        let is_contained = |part: &Evidence| self.count_without(&repeated, part.feature) == 0;
        let (contained, others): (Vec<_>, Vec<_>) = parts.iter().copied().partition(is_contained);
        let guilty = |candidates: &[Evidence], ranking: &[Evidence]| {
            let mut heard = candidates.iter().filter(|part| was_heard(part));
            heard.find_map(|part| self.judge_part(part, ranking, &repeated))
        };
        let found = guilty(&others, &others).or_else(|| guilty(&contained, &parts));
        found.unwrap_or_default()
    }

    /// Returns a part of prompts to quarantine, with those that cannot be told apart from it; `None` while it is not decided. The
    /// `repeated` requests may explain its crashes, and the parts in `ranking` may too.
    fn judge_part(
        &self,
        part: &Evidence,
        ranking: &[Evidence],
        repeated: &[Feature],
    ) -> Option<Vec<Evidence>> {
        // A part that is as new as the request may be a second cause.
        let may_be_second = part.is_new && part.crashes >= self.options.crashes_if_answered;
        if !may_be_second && self.count_without(repeated, part.feature) < OTHER_CRASHES_MIN {
            return None;
        }
        let rivals = self.rivals(part, ranking);
        let is_decided = self.is_decided(part, &rivals);
        is_decided.then(|| [vec![*part], rivals].concat())
    }

    /// Returns the features that are in some of the same crashes, with evidence that is at least as strong.
    fn rivals(&self, evidence: &Evidence, ranking: &[Evidence]) -> Vec<Evidence> {
        let stronger = ranking
            .iter()
            .take_while(|other| other.weight() >= evidence.weight());
        let others = stronger.filter(|other| other.feature != evidence.feature);
        others
            .filter(|other| self.common(evidence.feature, other.feature) > 0)
            .copied()
            .collect()
    }

    /// Returns whether a feature has no rivals, or only such as cannot be told apart from it, and enough crashes to take them all.
    fn is_decided(&self, evidence: &Evidence, rivals: &[Evidence]) -> bool {
        let is_inseparable = |rival: &Evidence| {
            let are_new = evidence.is_new && rival.is_new;
            let have_same = || self.common(evidence.feature, rival.feature) == evidence.crashes;
            rival.crashes == evidence.crashes && (are_new || have_same())
        };
        rivals.is_empty()
            || evidence.crashes >= self.options.crashes_if_answered
                && rivals.iter().all(is_inseparable)
    }

    /// Returns the number of crashes that are evidence against both features.
    fn common(&self, feature: Feature, other: Feature) -> usize {
        let accuses_other = |row: &&Row| row.contains(other) && self.accuses(row, other);
        self.accusing(feature).filter(accuses_other).count()
    }

    /// Returns whether the VMs had time to report answers to a feature.
    fn was_heard(&self, now_ms: u64, feature: Feature) -> bool {
        let since_ms = self.suspects.get(&feature);
        since_ms.is_some_and(|since_ms| now_ms.saturating_sub(*since_ms) >= self.options.hearing_ms)
    }
}

/// Returns how often a feature is in a sorted list.
fn count(sorted: &[Feature], feature: Feature) -> usize {
    let first = sorted.partition_point(|other| *other < feature);
    let rest = &sorted[first..];
    rest.partition_point(|other| *other == feature)
}
