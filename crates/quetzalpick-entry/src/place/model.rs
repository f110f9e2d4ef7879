//! The models of a service over all its engines: copies and demand.

use quetzalpick_core::id::{Artifact, Endpoint};
use quetzalpick_core::table::Table;

use crate::config;
use crate::place::{EngineState, Work};

/// `Need` is one model with the copies that it has, or will have, and the demand for it.
#[derive(Debug, Clone)]
pub(crate) struct Need<'a> {
    pub(crate) model: &'a config::Model,
    /// Copies that serve or will.
    pub(crate) copies: u64,
    /// Copies that serve and that no order takes away.
    pub(crate) kept: u64,
    pub(crate) work: Work,
    /// Work that one engine runs at once.
    pub(crate) batch: Work,
}

/// Work of one request under way.
const REQUEST: Work = 1_000;

/// Work that stands for the need of a model without any copy that nobody asks for.
const UNREACHABLE: Work = 5_000;

/// Time that a request runs, about, in ms.
const RUN_MS: f64 = 1_000.0;

/// Time for which demand lasts, about, in ms.
const LASTING_MS: u64 = 8_000;

/// Milliseconds in one second.
const MS_PER_S: u64 = 1_000;

/// Times that the work for a model without any copy counts, as all of it is refused.
const REFUSED_FACTOR: Work = 20;

impl Need<'_> {
    /// Returns what one more copy is worth.
    pub(crate) fn gain(&self) -> Work {
        match self.copies {
            0 => self.reach(),
            copies => self.crowding(copies),
        }
    }

    /// Returns what it is worth that the model has a copy at all.
    pub(crate) fn reach(&self) -> Work {
        UNREACHABLE + self.work * REFUSED_FACTOR
    }

    /// Returns what one copy less costs; `None` if none would serve then.
    pub(crate) fn loss(&self) -> Option<Work> {
        (self.kept > 1 && self.copies > 1).then(|| self.crowding(self.copies - 1))
    }

    /// Returns how long the requests at one copy take to end, in ms, as an engine unloads a model only then.
    pub(crate) fn drain_ms(&self) -> u64 {
        let requests = self.work as f64 / (self.copies.max(1) * REQUEST) as f64;
        (RUN_MS * (1.0 + requests).ln()) as u64
    }

    /// Returns what it costs that the next copy serves only after a time, in ms.
    pub(crate) fn missed_while(&self, wait_ms: u64) -> Work {
        let later = self.gain() * wait_ms / LASTING_MS;
        if self.copies > 0 {
            return later;
        }
        later.max(self.work * REFUSED_FACTOR * wait_ms / MS_PER_S)
    }

    /// Returns what all requests together wait less with one more copy than `copies`, as work.
    ///
    /// Each waits in proportion to the work at its engine, so that copies that follow demand evenly cost least.
    fn crowding(&self, copies: u64) -> Work {
        let work = u128::from(self.work);
        let wait = work * work / u128::from(copies * (copies + 1) * self.batch.max(1));
        u64::try_from(wait).unwrap_or(u64::MAX)
    }
}

/// Returns the needs of all models, the largest gain first.
pub(crate) fn needs<'a>(
    spec: &'a config::EngineSpec,
    engines: &Table<Endpoint, EngineState>,
    work: &Table<Artifact, Work>,
) -> Vec<Need<'a>> {
    let need = |model: &'a config::Model| Need {
        model,
        copies: 0,
        kept: 0,
        work: work.get(&model.name).copied().unwrap_or_default(),
        batch: u64::from(spec.batch) * REQUEST,
    };
    let mut needs: Vec<Need<'a>> = spec.models.iter().map(need).collect();
    needs.sort_by_key(|need| &need.model.name);
    for engine in engines.values().filter(|engine| engine.is_usable()) {
        for model in engine.models() {
            let Ok(at) = needs.binary_search_by_key(&model, |need| &need.model.name) else {
                continue;
            };
            needs[at].copies += u64::from(engine.expects(model));
            needs[at].kept += u64::from(engine.keeps(model));
        }
    }
    needs.sort_by_key(|need| std::cmp::Reverse(need.gain()));
    needs
}
