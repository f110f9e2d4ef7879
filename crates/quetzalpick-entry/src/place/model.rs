//! Copies of and demand for each model of a service, over all its engines.

use quetzalpick_core::id::Artifact;

use crate::config;
use crate::place::Work;

/// `ModelDemand` relates the demand for one model to its present and expected copies.
#[derive(Debug, Clone)]
pub(crate) struct ModelDemand<'a> {
    pub(crate) model: &'a config::Model,
    /// Copies that serve or are expected to.
    pub(crate) copies: u64,
    /// Copies that serve and that no order unloads.
    pub(crate) kept_copies: u64,
    pub(crate) work: Work,
    /// Whether any of the work was observed lately; an estimate of work that has ended falls to 0 later.
    pub(crate) is_requested: bool,
    /// Standard deviation of the work; 0 if it counts as certain.
    pub(crate) deviation: Work,
    /// Work that the number of its copies suggests while no demand is known at all.
    pub(crate) suggested: Work,
    /// Whether all of its copies are at engines that name a limit.
    pub(crate) is_limited: bool,
    /// Work that its copies refuse, as all of them are at engines that name a limit.
    pub(crate) refused: Work,
    /// Work that one engine can run concurrently.
    pub(crate) batch: Work,
    /// Sum of the paces of the engines with copies, where 1 is usual.
    pub(crate) capacity: f64,
    /// Work at an engine of usual pace that serves the model, with that of other models.
    pub(crate) load: f64,
    /// Time for which the demand is expected to last, in ms.
    pub(crate) horizon_ms: u64,
}

/// `Place` describes an engine as the place of a further copy.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Place {
    /// Work of the other models there.
    pub(crate) work: f64,
    /// Its pace, where 1 is usual.
    pub(crate) pace: f64,
}

impl Place {
    /// A place without work, of usual pace.
    const EMPTY: Self = Self {
        work: 0.0,
        pace: 1.0,
    };
}

/// Work of one request in flight.
pub(crate) const WORK_PER_REQUEST: Work = 1_000;

/// Value of the first copy of a model that is never requested, as work.
const FIRST_COPY_VALUE: Work = 5_000;

/// Typical run time of a request, in ms.
pub(super) const REQUEST_RUN_MS: f64 = 1_000.0;

/// Least time for which demand persists, in ms.
const DEMAND_DURATION_MS: u64 = 8_000;

/// Milliseconds in one second.
const MS_PER_S: u64 = 1_000;

/// Weight of work that is refused, such as all work for a model without any copy.
const REFUSED_FACTOR: Work = 20;

/// Weight of work whose streams could not go on if they were interrupted.
const INTERRUPTED_FACTOR: Work = 2;

impl ModelDemand<'_> {
    /// Returns the value of one more copy at an engine of usual pace that serves nothing else.
    pub(crate) fn gain(&self) -> Work {
        self.gain_at(Place::EMPTY)
    }

    /// Returns the value of one more copy at a place, for the least demand that is likely.
    pub(crate) fn gain_at(&self, place: Place) -> Work {
        match self.copies {
            0 => self.availability_value(),
            _ => self.wait_saved(place) + self.refused * REFUSED_FACTOR,
        }
    }

    /// Returns the value of having any copy of the model at all.
    pub(crate) fn availability_value(&self) -> Work {
        FIRST_COPY_VALUE + self.work * REFUSED_FACTOR
    }

    /// Returns the cost of removing a copy that serves `share` at an engine of some pace, for the most demand that is likely;
    /// `None` if no copy would serve afterwards.
    ///
    /// Each request waits in proportion to the work at its engine, and the other copies take the share. It is no less than if each
    /// copy had its part of the model's work: the others may not always have as little other work as now.
    pub(crate) fn loss(&self, share: f64, pace: f64) -> Option<Work> {
        let others = self.capacity - pace;
        let is_served = self.kept_copies > 1 && self.copies > 1 && others > 0.0;
        let work = self.work.max(self.suggested);
        let share = share.max(work as f64 * pace / self.capacity);
        let wait = share * share * (1.0 / others + 1.0 / pace) / self.batch.max(1) as f64;
        is_served.then(|| (wait * self.certainty(1.0)) as Work)
    }

    /// Returns the additional cost of removing a copy that is the only one of its build: interrupted streams that began there cannot
    /// go on at another build.
    pub(crate) fn build_loss(&self) -> Work {
        self.work / self.kept_copies.max(1) * INTERRUPTED_FACTOR
    }

    /// Returns the estimated time until the requests at one copy have ended, in ms; an engine unloads a model only after that.
    pub(crate) fn completion_ms(&self) -> u64 {
        // Further requests wait, and none of them runs there any more.
        let running = (self.work / self.copies.max(1)).min(self.batch);
        let requests = running as f64 / WORK_PER_REQUEST as f64;
        (REQUEST_RUN_MS * (1.0 + requests).ln()) as u64
    }

    /// Returns the cost of having to wait `wait_ms` for the next copy.
    pub(crate) fn delay_cost(&self, wait_ms: u64) -> Work {
        let delayed = self.gain() * wait_ms / DEMAND_DURATION_MS;
        if self.copies > 0 {
            return delayed;
        }
        delayed.max(self.work * REFUSED_FACTOR * wait_ms / MS_PER_S)
    }

    /// Returns the total waiting time that one more copy saves, as work.
    ///
    /// Each request waits in proportion to the work at its engine. The new copy takes work until its engine is as loaded as those
    /// of the other copies, but no more than its part of the model's work.
    fn wait_saved(&self, place: Place) -> Work {
        let lighter = self.load - place.work / place.pace;
        if lighter <= 0.0 || self.capacity <= 0.0 {
            return 0;
        }
        let shared = 1.0 / self.capacity + 1.0 / place.pace;
        let part = self.work as f64 * place.pace / (self.capacity + place.pace);
        let moved = (lighter / shared).min(part);
        let alone = self.work as f64 / self.capacity;
        let wait = moved * (2.0 * lighter.min(alone) - moved * shared) / self.batch.max(1) as f64;
        (wait.max(0.0) * self.certainty(-1.0)) as Work
    }

    /// Returns the factor by which a waiting time grows if the demand is some standard deviations above its estimate.
    fn certainty(&self, deviations: f64) -> f64 {
        if self.work == 0 {
            return 1.0;
        }
        let relative = self.deviation as f64 / self.work as f64;
        (1.0 + deviations * relative).max(0.0).powi(2)
    }

    /// Records a planned further copy at a place.
    pub(crate) fn add_copy(&mut self, place: Place) {
        let mut total = self.load * self.capacity + place.work;
        if self.is_limited || self.copies == 0 {
            // Copies at engines with a limit no longer count.
            (self.copies, self.capacity, self.is_limited) = (0, 0.0, false);
            total = self.work as f64 + place.work;
        }
        self.refused = self.refused * self.copies / (self.copies + 1);
        self.copies += 1;
        self.capacity += place.pace;
        self.load = total / self.capacity;
    }

    /// Records a planned removal of a copy that serves `share` at an engine of some pace.
    pub(crate) fn remove_copy(&mut self, share: f64, pace: f64) {
        self.copies = self.copies.saturating_sub(1);
        self.kept_copies = self.kept_copies.saturating_sub(1);
        self.capacity = (self.capacity - pace).max(0.0);
        if self.capacity > 0.0 {
            self.load += share / self.capacity;
        }
    }
}

/// Returns the index of a model in a list that is sorted by model.
pub(super) fn find(model_demands: &[ModelDemand<'_>], model: &Artifact) -> Option<usize> {
    let index = model_demands.binary_search_by_key(&model, |demand| &demand.model.name);
    index.ok()
}
