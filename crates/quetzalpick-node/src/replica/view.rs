//! The folded state with the newest entries.

use bytes::Bytes;
use quetzalpick_core::id::{Command, Offset};
use quetzalpick_core::record::Entry;
use quetzalpick_core::state::{Outcome, State};

use crate::replica::ring::Ring;

/// `Applied` is what became of one entry.
#[derive(Debug)]
pub(crate) struct Applied {
    /// The entry's command.
    pub(crate) command: Command,
    /// Where it was first applied.
    pub(crate) offset: Offset,
    /// What became of it when it was first applied.
    pub(crate) outcome: Outcome,
}

/// `View` is the folded state with the newest entries; its applied offset never goes back.
#[derive(Debug, Default)]
pub(crate) struct View {
    /// The state.
    pub(crate) state: State,
    /// The newest entries.
    pub(crate) ring: Ring,
    /// Whether a state was loaded.
    pub(crate) loaded: bool,
}

impl View {
    /// Returns what became of a command, if it is remembered.
    pub(crate) fn command_outcome(&self, command: Command) -> Option<(Offset, Outcome)> {
        let (offset, outcome) = self.state.command_outcome(command)?;
        Some((offset, outcome.clone()))
    }

    /// Takes over a state, unless the present one is as new.
    pub(crate) fn install(&mut self, state: State) -> bool {
        if self.loaded && state.next() <= self.state.next() {
            return false;
        }
        self.ring = Ring::new(state.next());
        self.state = state;
        self.loaded = true;
        true
    }

    /// Applies a run of entries that begins at `first`; what was applied before is passed over, and a gap ends the run.
    pub(crate) fn apply(
        &mut self,
        first: Offset,
        run: Vec<(Bytes, Option<Entry>)>,
    ) -> Vec<Applied> {
        let mut applied = Vec::new();
        for (offset, (bytes, entry)) in (first.0..).map(Offset).zip(run) {
            if !self.loaded || offset > self.state.next() {
                break;
            }
            if offset < self.state.next() {
                continue;
            }
            match entry {
                Some(entry) => {
                    let outcome = self.state.apply(offset, &entry);
                    applied.push(Applied::new(entry.command, offset, outcome));
                }
                None => self.state.skip(offset),
            }
            self.ring.push(bytes, self.state.digest());
        }
        applied
    }
}

impl Applied {
    /// Notes an outcome; a repeat is noted as what it repeats.
    fn new(command: Command, offset: Offset, outcome: Outcome) -> Self {
        match outcome {
            Outcome::Repeated(first, outcome) => Self::new(command, first, *outcome),
            outcome => Self {
                command,
                offset,
                outcome,
            },
        }
    }
}
