//! Copies in an engine's memory.

use quetzalpick_client::wire::engine::{Action, Copy, Order, Report};
use quetzalpick_core::table::Table;
use snafu::Snafu;

use super::record::Overcommit;

/// Maximum number of refused fencing numbers in a report.
const REFUSED_MAX: usize = 64;

/// `Stage` describes the progress of loading or unloading a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Loading,
    Serving,
    Unloading,
}

/// `CopyEntry` tracks a copy in memory, including one that is being loaded or unloaded.
#[derive(Debug, Clone)]
struct CopyEntry {
    memory_mb: u64,
    base: Option<String>,
    stage: Stage,
    users: u32,
    fencing: u64,
}

/// `Refusal` describes why an order was refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub(crate) enum Refusal {
    /// Its fencing number is older than the newest one received.
    #[snafu(display("fencing number is older than {newest}"))]
    Fenced {
        /// Newest fencing number received.
        newest: u64,
    },
    /// It cannot be executed, and a retry would not help.
    #[snafu(display("{reason}"))]
    Impossible {
        /// Reason.
        reason: &'static str,
    },
}

/// `Effect` describes the work that remains for an accepted order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Effect {
    /// No work remains.
    Done,
    /// The weights must be loaded; holds the overcommit of memory, if any.
    Load(Option<Overcommit>),
}

/// Builds the refusal of an order that cannot be executed.
fn impossible(reason: &'static str) -> Refusal {
    Refusal::Impossible { reason }
}

/// Artifact and version.
type Key = (String, u32);

/// `Memory` tracks the copies of one engine and the fencing numbers of its orders.
#[derive(Debug)]
pub(crate) struct Memory {
    /// Current incarnation of the engine.
    pub(crate) incarnation: u64,
    limit_mb: u64,
    checks_fencing: bool,
    copies: Table<Key, CopyEntry>,
    newest_fencing: u64,
    /// Newest fencing number of an order that has taken effect.
    effective_fencing: u64,
    /// Fencing numbers of refused orders, sorted.
    refused: Vec<u64>,
}

/// Returns the key of a copy.
fn key(copy: &Copy) -> Key {
    (copy.artifact.clone(), copy.version)
}

impl Memory {
    /// Creates an empty memory of `limit_mb` MB.
    pub(crate) fn new(incarnation: u64, limit_mb: u64, checks_fencing: bool) -> Self {
        Self {
            incarnation,
            limit_mb,
            checks_fencing,
            copies: Table::default(),
            newest_fencing: 0,
            effective_fencing: 0,
            refused: Vec::new(),
        }
    }

    /// Applies an order and returns the remaining work.
    ///
    /// # Errors
    ///
    /// `Refusal::Fenced` if the order is outdated, `Refusal::Impossible` if it cannot be executed.
    pub(crate) fn apply(&mut self, order: &Order) -> Result<Effect, Refusal> {
        if self.checks_fencing && order.fencing < self.newest_fencing {
            return Err(Refusal::Fenced {
                newest: self.newest_fencing,
            });
        }
        self.newest_fencing = self.newest_fencing.max(order.fencing);
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

    /// Applies an order to load.
    fn load(&mut self, order: &Order) -> Result<Effect, Refusal> {
        if order.copy.memory_mb > self.limit_mb {
            return Err(impossible("larger than the memory"));
        }
        if let Some(base) = &order.base
            && self.serving(base).is_none()
        {
            return Err(impossible("base model is not loaded"));
        }
        if let Some(entry) = self.copies.get_mut(&key(&order.copy)) {
            entry.fencing = entry.fencing.max(order.fencing);
            // Cancels an unload that waits for running requests.
            if entry.stage != Stage::Loading {
                entry.stage = Stage::Serving;
                self.effective_fencing = self.effective_fencing.max(order.fencing);
            }
            return Ok(Effect::Done);
        }
        let entry = CopyEntry {
            memory_mb: order.copy.memory_mb,
            base: order.base.clone(),
            stage: Stage::Loading,
            users: 0,
            fencing: order.fencing,
        };
        self.copies.insert(key(&order.copy), entry);
        // A real engine would fail here; the stand-in continues and records the overcommit.
        let (used_mb, memory_mb) = (self.used_mb(), self.limit_mb);
        let overcommit = (used_mb > memory_mb).then(|| Overcommit {
            order: order.clone(),
            used_mb,
            memory_mb,
        });
        Ok(Effect::Load(overcommit))
    }

    /// Applies an order to unload.
    fn unload(&mut self, order: &Order) -> Result<Effect, Refusal> {
        let key = key(&order.copy);
        let other_version = |(artifact, version): &Key| {
            *artifact == order.copy.artifact && *version != order.copy.version
        };
        let depends_on = |entry: &CopyEntry| entry.base.as_ref() == Some(&order.copy.artifact);
        let needed = self.copies.values().any(depends_on) && !self.copies.keys().any(other_version);
        if needed && self.copies.contains(&key) {
            return Err(impossible("adapters of this model are loaded"));
        }
        match self.copies.get_mut(&key) {
            Some(entry) if entry.users > 0 => {
                entry.stage = Stage::Unloading;
                entry.fencing = entry.fencing.max(order.fencing);
            }
            _ => {
                self.copies.remove(&key);
                self.effective_fencing = self.effective_fencing.max(order.fencing);
            }
        }
        Ok(Effect::Done)
    }

    /// Marks a copy as loaded, unless it was unloaded meanwhile.
    pub(crate) fn finish_load(&mut self, copy: &Copy) {
        if let Some(entry) = self.copies.get_mut(&key(copy))
            && entry.stage == Stage::Loading
        {
            entry.stage = Stage::Serving;
            self.effective_fencing = self.effective_fencing.max(entry.fencing);
        }
    }

    /// Returns the newest version of an artifact that is ready to serve.
    fn serving(&self, artifact: &str) -> Option<u32> {
        let rows = self.copies.iter().rev();
        let mut serving =
            rows.filter(|((name, _), entry)| name == artifact && entry.stage == Stage::Serving);
        serving.next().map(|((_, version), _)| *version)
    }

    /// Registers a user of the newest serving version of an artifact and returns that version.
    pub(crate) fn begin_use(&mut self, artifact: &str) -> Option<u32> {
        let version = self.serving(artifact)?;
        let entry = self.copies.get_mut(&(artifact.to_owned(), version))?;
        entry.users += 1;
        Some(version)
    }

    /// Removes a user of a copy; a copy that is being unloaded is removed with its last user.
    pub(crate) fn end_use(&mut self, artifact: &str, version: u32) {
        let key = (artifact.to_owned(), version);
        let Some(entry) = self.copies.get_mut(&key) else {
            return;
        };
        entry.users = entry.users.saturating_sub(1);
        if entry.users == 0 && entry.stage == Stage::Unloading {
            self.effective_fencing = self.effective_fencing.max(entry.fencing);
            self.copies.remove(&key);
        }
    }

    /// Returns the memory in use, in MB.
    fn used_mb(&self) -> u64 {
        self.copies.values().map(|entry| entry.memory_mb).sum()
    }

    /// Returns the memory fields of the report; copies that are being unloaded are still reported as loaded.
    pub(crate) fn report(&self) -> Report {
        let copies = |loading: bool| {
            let rows = self.copies.iter();
            let rows = rows.filter(|(_, entry)| (entry.stage == Stage::Loading) == loading);
            rows.map(|((artifact, version), entry)| Copy {
                artifact: artifact.clone(),
                version: *version,
                memory_mb: entry.memory_mb,
            })
            .collect()
        };
        Report {
            incarnation: self.incarnation,
            loaded: copies(false),
            loading: copies(true),
            memory_mb: self.limit_mb,
            fencing: self.effective_fencing,
            refused: self.refused.clone(),
            ..Report::default()
        }
    }
}
