//! The models of a service over all its engines: copies and demand.

use quetzalpick_core::id::{Artifact, Endpoint};
use quetzalpick_core::table::Table;

use crate::config;
use crate::place::{Site, Work};

/// `Need` is one model with the copies that it has, or will have, and the demand for it.
#[derive(Debug, Clone)]
pub(crate) struct Need<'a> {
    pub(crate) model: &'a config::Model,
    /// Copies that serve or will.
    pub(crate) copies: u64,
    /// Copies that serve and that no order takes away.
    pub(crate) kept: u64,
    pub(crate) work: Work,
}

/// Work that stands for the need of a model without any copy that nobody asks for.
const UNREACHABLE: Work = 5_000;

/// Times that the work for a model without any copy counts, as all of it is refused.
const REFUSED_FACTOR: Work = 20;

impl Need<'_> {
    /// Returns how much work less each engine has with one more copy.
    pub(crate) fn gain(&self) -> Work {
        match self.copies {
            0 => self.reach(),
            copies => self.work / copies - self.work / (copies + 1),
        }
    }

    /// Returns what it is worth that the model has a copy at all.
    pub(crate) fn reach(&self) -> Work {
        UNREACHABLE + self.work * REFUSED_FACTOR
    }

    /// Returns how much work more each engine has with one copy less; `None` if none would serve then.
    pub(crate) fn loss(&self) -> Option<Work> {
        (self.kept > 1 && self.copies > 1)
            .then(|| self.work / (self.copies - 1) - self.work / self.copies)
    }
}

/// Returns the needs of all models, the largest gain first.
pub(crate) fn needs<'a>(
    engine: &'a config::Engine,
    sites: &Table<Endpoint, Site>,
    work: &Table<Artifact, Work>,
) -> Vec<Need<'a>> {
    let need = |model: &'a config::Model| {
        let usable = || sites.values().filter(|site| site.is_usable());
        let copies = usable().filter(|site| site.expects(&model.name)).count();
        let kept = usable().filter(|site| site.keeps(&model.name)).count();
        Need {
            model,
            copies: copies as u64,
            kept: kept as u64,
            work: work.get(&model.name).copied().unwrap_or_default(),
        }
    };
    let mut needs: Vec<Need<'a>> = engine.models.iter().map(need).collect();
    needs.sort_by_key(|need| std::cmp::Reverse(need.gain()));
    needs
}
