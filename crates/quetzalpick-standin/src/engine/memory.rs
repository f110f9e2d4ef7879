//! The copies that an engine holds.

use quetzalpick_client::wire::engine::{Action, Copy, Order, Report};
use quetzalpick_core::table::Table;
use snafu::Snafu;

use super::record::Overcommit;

/// Most fencing numbers of refused orders in a report.
const REFUSED_MAX: usize = 64;

/// `Stage` is where a copy stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Loading,
    Serving,
    Unloading,
}

/// `Held` is a copy in memory.
#[derive(Debug, Clone)]
struct Held {
    memory_mb: u64,
    base: Option<String>,
    stage: Stage,
    users: u32,
    fencing: u64,
}

/// `Refusal` says why an order was refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub(crate) enum Refusal {
    /// Its fencing number is older than one that was seen.
    #[snafu(display("fencing number {seen} was seen"))]
    Fenced {
        /// Newest number seen.
        seen: u64,
    },
    /// It can never be done.
    #[snafu(display("{reason}"))]
    Never {
        /// Why not.
        reason: &'static str,
    },
}

/// `Effect` is what an accepted order still needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Effect {
    /// Nothing.
    Done,
    /// The weights are to be loaded.
    Load(Option<Overcommit>),
}

/// Makes the refusal of an order that can never be done.
fn never(reason: &'static str) -> Refusal {
    Refusal::Never { reason }
}

/// Artifact and version.
type Key = (String, u32);

/// `Memory` is the engine's memory.
#[derive(Debug)]
pub(crate) struct Memory {
    /// The present boot.
    pub(crate) boot: u64,
    limit_mb: u64,
    checks_fencing: bool,
    held: Table<Key, Held>,
    seen: u64,
    effective: u64,
    refused: Vec<u64>,
}

/// Returns the key of a copy.
fn key(copy: &Copy) -> Key {
    (copy.artifact.clone(), copy.version)
}

impl Memory {
    /// Makes an empty memory of `limit_mb` MB.
    pub(crate) fn new(boot: u64, limit_mb: u64, checks_fencing: bool) -> Self {
        Self {
            boot,
            limit_mb,
            checks_fencing,
            held: Table::default(),
            seen: 0,
            effective: 0,
            refused: Vec::new(),
        }
    }

    /// Takes an order and says what it still needs.
    pub(crate) fn order(&mut self, order: &Order) -> Result<Effect, Refusal> {
        if self.checks_fencing && order.fencing < self.seen {
            return Err(Refusal::Fenced { seen: self.seen });
        }
        self.seen = self.seen.max(order.fencing);
        let result = match order.action {
            Action::Load => self.load(order),
            Action::Unload => self.unload(order),
        };
        if result.is_err() && !self.refused.contains(&order.fencing) {
            self.refused.push(order.fencing);
            self.refused.sort_unstable();
            let surplus = self.refused.len().saturating_sub(REFUSED_MAX);
            self.refused.drain(..surplus);
        }
        result
    }

    /// Takes an order to load.
    fn load(&mut self, order: &Order) -> Result<Effect, Refusal> {
        if order.copy.memory_mb > self.limit_mb {
            return Err(never("larger than the memory"));
        }
        if let Some(base) = &order.base
            && self.serving(base).is_none()
        {
            return Err(never("base model is not loaded"));
        }
        if let Some(held) = self.held.get_mut(&key(&order.copy)) {
            held.fencing = held.fencing.max(order.fencing);
            // An unload that waits for running requests is called off.
            if held.stage != Stage::Loading {
                held.stage = Stage::Serving;
                self.effective = self.effective.max(order.fencing);
            }
            return Ok(Effect::Done);
        }
        let held = Held {
            memory_mb: order.copy.memory_mb,
            base: order.base.clone(),
            stage: Stage::Loading,
            users: 0,
            fencing: order.fencing,
        };
        self.held.insert(key(&order.copy), held);
        // A real engine fails here; this one goes on and records it.
        let (used_mb, memory_mb) = (self.used_mb(), self.limit_mb);
        let overcommit = (used_mb > memory_mb).then(|| Overcommit {
            order: order.clone(),
            used_mb,
            memory_mb,
        });
        Ok(Effect::Load(overcommit))
    }

    /// Takes an order to unload.
    fn unload(&mut self, order: &Order) -> Result<Effect, Refusal> {
        let key = key(&order.copy);
        let other_version = |(artifact, version): &Key| {
            *artifact == order.copy.artifact && *version != order.copy.version
        };
        let based = |held: &Held| held.base.as_ref() == Some(&order.copy.artifact);
        let needed = self.held.values().any(based) && !self.held.keys().any(other_version);
        if needed && self.held.contains(&key) {
            return Err(never("adapters of this model are loaded"));
        }
        match self.held.get_mut(&key) {
            Some(held) if held.users > 0 => {
                held.stage = Stage::Unloading;
                held.fencing = held.fencing.max(order.fencing);
            }
            _ => {
                self.held.remove(&key);
                self.effective = self.effective.max(order.fencing);
            }
        }
        Ok(Effect::Done)
    }

    /// Ends the loading of a copy, unless it was called off.
    pub(crate) fn loaded(&mut self, copy: &Copy) {
        if let Some(held) = self.held.get_mut(&key(copy))
            && held.stage == Stage::Loading
        {
            held.stage = Stage::Serving;
            self.effective = self.effective.max(held.fencing);
        }
    }

    /// Returns the newest version of an artifact that serves.
    fn serving(&self, artifact: &str) -> Option<u32> {
        let rows = self.held.iter().rev();
        let mut serving =
            rows.filter(|((name, _), held)| name == artifact && held.stage == Stage::Serving);
        serving.next().map(|((_, version), _)| *version)
    }

    /// Begins to use the newest version of an artifact that serves.
    pub(crate) fn begin(&mut self, artifact: &str) -> Option<u32> {
        let version = self.serving(artifact)?;
        let held = self.held.get_mut(&(artifact.to_owned(), version))?;
        held.users += 1;
        Some(version)
    }

    /// Ends a use; a copy that is being unloaded goes with its last use.
    pub(crate) fn end(&mut self, artifact: &str, version: u32) {
        let key = (artifact.to_owned(), version);
        let Some(held) = self.held.get_mut(&key) else {
            return;
        };
        held.users = held.users.saturating_sub(1);
        if held.users == 0 && held.stage == Stage::Unloading {
            self.effective = self.effective.max(held.fencing);
            self.held.remove(&key);
        }
    }

    /// Returns the memory in use, in MB.
    fn used_mb(&self) -> u64 {
        self.held.values().map(|held| held.memory_mb).sum()
    }

    /// Returns the part of the report that concerns memory; copies being unloaded still show as loaded.
    pub(crate) fn report(&self) -> Report {
        let copies = |loading: bool| {
            let rows = self.held.iter();
            let rows = rows.filter(|(_, held)| (held.stage == Stage::Loading) == loading);
            rows.map(|((artifact, version), held)| Copy {
                artifact: artifact.clone(),
                version: *version,
                memory_mb: held.memory_mb,
            })
            .collect()
        };
        Report {
            incarnation: self.boot,
            loaded: copies(false),
            loading: copies(true),
            memory_mb: self.limit_mb,
            fencing: self.effective,
            refused: self.refused.clone(),
            ..Report::default()
        }
    }
}
