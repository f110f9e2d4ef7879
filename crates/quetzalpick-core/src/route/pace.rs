//! The pace of endpoints, learned from the answers that all VMs get.
//!
//! A VM compares each answer with what its service usually takes at the same load and sums the ratios by endpoint. The leader
//! merges the sums of all VMs, and relates each endpoint to the median of its service, so that a service that is slow as a whole
//! changes nothing.

use serde::{Deserialize, Serialize};

/// Pace of a usual endpoint, in thousandths; 500 takes twice as long.
pub const USUAL_PERMILLE: u64 = 1_000;

/// Slowest and fastest pace that is reported, in thousandths.
const PACE_MIN_PERMILLE: u64 = 250;
const PACE_MAX_PERMILLE: u64 = 3_000;

/// Shortest and longest time of one observation that counts, in thousandths of the expected one.
const RATIO_MIN_PERMILLE: u64 = 250;
const RATIO_MAX_PERMILLE: u64 = 4_000;

/// Observations of a service without which nothing is compared with it.
const REFERENCE_MIN: f64 = 24.0;

/// Observations from which the influence of the load is learned.
const SLOPE_MIN: f64 = 60.0;

/// Number of observations over which a service's usual time is learned.
const REFERENCE_SPAN: f64 = 200.0;

/// Weight of the assumption that an endpoint is usual, in observations.
const PRIOR: f64 = 4.0;

/// Largest weight of an average, so that old observations of a busy endpoint do not outweigh new ones.
const WEIGHT_MAX: f64 = 200.0;

/// Weight of observations from which an endpoint is known not to be usual; those of one stream resemble each other.
const KNOWN_MIN: f64 = 12.0;

/// Time constants of a lasting pace and of a passing slowdown, in ms.
const LASTING_MS: f64 = 8_000.0;
const PASSING_MS: f64 = 500.0;

/// Ratio to the lasting time up to which an observation counts for that in full.
const LASTING_STEP: f64 = 1.5;

/// Ratio of the passing to the lasting time from which an endpoint counts as slowed for the moment.
const PASSING_RATIO: f64 = 1.5;

/// Least weight of recent observations with which an endpoint counts for the present slowdown of its service.
const PASSING_WEIGHT_MIN: f64 = 0.5;

/// Smallest difference from the usual pace that is reported, in thousandths.
const NOTABLE_PERMILLE: u64 = 100;

/// Step of reported paces, in thousandths, so that small changes are not reported.
const STEP_PERMILLE: u64 = 50;

/// `Observation` is the time that an endpoint took for a unit of work, such as the pause before an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observation {
    /// The time, in microseconds.
    pub time_us: u64,
    /// Requests that the endpoint was assumed to have when this one was sent.
    pub load: u32,
}

/// `Sums` holds what one VM observed at an endpoint since its last report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sums {
    /// Number of observations.
    pub count: u32,
    /// Sum of the ratios of the times to the expected ones, in thousandths.
    pub ratios_permille: u64,
}

impl Sums {
    /// Adds the ratio of one observation, in thousandths.
    pub fn add(&mut self, ratio_permille: u64) {
        self.count = self.count.saturating_add(1);
        self.ratios_permille = self.ratios_permille.saturating_add(ratio_permille);
    }
}

/// `Reference` learns the time that the endpoints of a service usually take, by their load.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Reference {
    weight: f64,
    load: f64,
    time: f64,
    load_square: f64,
    load_time: f64,
}

impl Reference {
    /// Returns the ratio of an observation to the expected time, in thousandths, and learns from it; `None` while too little is known.
    pub fn compare(&mut self, observation: Observation) -> Option<u64> {
        let load = f64::from(observation.load);
        let time = observation.time_us as f64;
        let expected = self.expected(load);
        let bounded = expected.map_or(time, |expected| {
            let longest = expected * RATIO_MAX_PERMILLE as f64 / 1_000.0;
            time.min(longest)
        });
        let keep = 1.0 - 1.0 / REFERENCE_SPAN;
        self.weight = self.weight * keep + 1.0;
        self.load = self.load * keep + load;
        self.time = self.time * keep + bounded;
        self.load_square = self.load_square * keep + load * load;
        self.load_time = self.load_time * keep + load * bounded;
        let ratio = time * 1_000.0 / expected.filter(|expected| *expected > 0.0)?;
        Some((ratio as u64).clamp(RATIO_MIN_PERMILLE, RATIO_MAX_PERMILLE))
    }

    /// Returns the time expected at a load, in microseconds, by least squares; a higher load is never assumed to be faster.
    fn expected(&self, load: f64) -> Option<f64> {
        if self.weight < REFERENCE_MIN {
            return None;
        }
        let (mean_load, mean_time) = (self.load / self.weight, self.time / self.weight);
        let variance = self.load_square / self.weight - mean_load * mean_load;
        let covariance = self.load_time / self.weight - mean_load * mean_time;
        let slope = if self.weight >= SLOPE_MIN && variance > 0.5 {
            (covariance / variance).max(0.0)
        } else {
            0.0
        };
        Some((mean_time + slope * (load - mean_load)).max(mean_time / 4.0))
    }
}

/// `Average` is an average of ratios whose weight decays with time.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Average {
    weight: f64,
    sum: f64,
    updated_ms: u64,
}

impl Average {
    fn decayed(&self, now_ms: u64, constant_ms: f64) -> Self {
        let age_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        let keep = (-age_ms / constant_ms).exp();
        Self {
            weight: self.weight * keep,
            sum: self.sum * keep,
            updated_ms: now_ms,
        }
    }

    fn add(&mut self, now_ms: u64, constant_ms: f64, sums: Sums) {
        let former = self.decayed(now_ms, constant_ms);
        let weight = former.weight + f64::from(sums.count);
        let sum = former.sum + sums.ratios_permille as f64;
        let keep = (WEIGHT_MAX / weight.max(1.0)).min(1.0);
        *self = Self {
            weight: weight * keep,
            sum: sum * keep,
            ..former
        };
    }

    /// Returns the average together with observations of `prior_permille`, which outweigh a few.
    fn estimate(&self, now_ms: u64, constant_ms: f64, prior_permille: f64) -> f64 {
        let present = self.decayed(now_ms, constant_ms);
        (present.sum + PRIOR * prior_permille) / (present.weight + PRIOR)
    }
}

/// `Learner` merges the observations of one endpoint.
///
/// Without observations it returns to the usual pace, so that an endpoint that is avoided is tried again.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Learner {
    lasting: Average,
    passing: Average,
}

impl Learner {
    /// Creates the learner of an endpoint whose pace is known from a former leader, in thousandths.
    pub fn with_pace(now_ms: u64, pace_permille: u64) -> Self {
        let ratio = USUAL_PERMILLE * 1_000 / pace_permille.max(1);
        let count = 4 * KNOWN_MIN as u32;
        let mut learner = Self::default();
        let sums = Sums {
            count,
            ratios_permille: ratio * u64::from(count),
        };
        learner.lasting.add(now_ms, LASTING_MS, sums);
        learner
    }

    /// Adds what a VM observed.
    pub fn record(&mut self, now_ms: u64, sums: Sums) {
        let count = u64::from(sums.count);
        // A VM's sums are bounded like its observations, whatever it sends.
        let ratios = sums.ratios_permille;
        let ratios = ratios.clamp(count * RATIO_MIN_PERMILLE, count * RATIO_MAX_PERMILLE);
        let sums = Sums {
            ratios_permille: ratios,
            ..sums
        };
        self.passing.add(now_ms, PASSING_MS, sums);
        // Large differences from what is known move the lasting pace only as much as smaller ones.
        let lasting = self.lasting_time(now_ms);
        let bounds = [1.0 / LASTING_STEP, LASTING_STEP].map(|step| (lasting * step) as u64 * count);
        let ratios_permille = ratios.clamp(bounds[0], bounds[1]);
        let sums = Sums {
            ratios_permille,
            ..sums
        };
        self.lasting.add(now_ms, LASTING_MS, sums);
    }

    fn lasting_time(&self, now_ms: u64) -> f64 {
        let usual = USUAL_PERMILLE as f64;
        self.lasting.estimate(now_ms, LASTING_MS, usual)
    }

    /// Returns whether enough was observed lately for a pace other than the usual one.
    pub fn is_known(&self, now_ms: u64) -> bool {
        self.lasting.decayed(now_ms, LASTING_MS).weight >= KNOWN_MIN
    }

    /// Returns the time that the endpoint takes now, in thousandths of the usual one; all of its service take `slowdown` times their
    /// lasting time now.
    fn present_time(&self, now_ms: u64, slowdown: f64) -> f64 {
        let lasting = self.lasting_time(now_ms);
        let expected = lasting * slowdown;
        let passing = self.passing.estimate(now_ms, PASSING_MS, expected);
        if passing > expected * PASSING_RATIO {
            passing / slowdown
        } else {
            lasting
        }
    }
}

/// Returns how much longer the endpoints of a service take at present than lastingly, in the median.
fn slowdown(now_ms: u64, learners: &[Learner]) -> f64 {
    let observed = learners.iter().filter_map(|learner| {
        let passing = learner.passing.decayed(now_ms, PASSING_MS);
        let expected = passing.weight * learner.lasting_time(now_ms);
        (passing.weight >= PASSING_WEIGHT_MIN).then(|| passing.sum / expected)
    });
    let mut observed: Vec<f64> = observed.collect();
    median(&mut observed).map_or(1.0, |slowdown| slowdown.max(1.0))
}

/// Returns the median; `None` if there are no values.
fn median(values: &mut [f64]) -> Option<f64> {
    values.sort_unstable_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}

/// Returns the paces of the endpoints of one service, in the order of their learners, in thousandths of the median.
pub fn paces(now_ms: u64, learners: &[Learner]) -> Vec<u64> {
    let lasting = learners.iter().map(|learner| learner.lasting_time(now_ms));
    let mut lasting: Vec<f64> = lasting.collect();
    let Some(median) = median(&mut lasting) else {
        return Vec::new();
    };
    let slowdown = slowdown(now_ms, learners);
    let pace = |learner: &Learner| {
        if !learner.is_known(now_ms) {
            return USUAL_PERMILLE;
        }
        let time = learner.present_time(now_ms, slowdown);
        let pace = (median * USUAL_PERMILLE as f64 / time) as u64;
        rounded(pace.clamp(PACE_MIN_PERMILLE, PACE_MAX_PERMILLE))
    };
    learners.iter().map(pace).collect()
}

/// Rounds a pace to steps; one that hardly differs from the usual one counts as usual.
fn rounded(pace: u64) -> u64 {
    if pace.abs_diff(USUAL_PERMILLE) < NOTABLE_PERMILLE {
        return USUAL_PERMILLE;
    }
    (pace + STEP_PERMILLE / 2) / STEP_PERMILLE * STEP_PERMILLE
}

/// Returns a pace of the given age, which fades to the usual one between `full_ms` and `end_ms`.
pub fn faded(pace_permille: u64, age_ms: u64, full_ms: u64, end_ms: u64) -> u64 {
    let left = end_ms.saturating_sub(age_ms);
    let span = end_ms.saturating_sub(full_ms).max(1);
    let weight = left.min(span);
    (pace_permille * weight + USUAL_PERMILLE * (span - weight)) / span
}
