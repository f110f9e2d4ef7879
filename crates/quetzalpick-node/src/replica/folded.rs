//! The folded state with the newest entries.

use bytes::Bytes;
use quetzalpick_core::id::{Command, Offset};
use quetzalpick_core::record::Entry;
use quetzalpick_core::state::{Outcome, State};

use crate::replica::recent::RecentEntries;

/// `AppliedEntry` is the result of applying one entry.
#[derive(Debug)]
pub(crate) struct AppliedEntry {
    /// The entry's command.
    pub(crate) command: Command,
    /// Offset at which the command was first applied.
    pub(crate) offset: Offset,
    /// Outcome of its first application.
    pub(crate) outcome: Outcome,
}

/// `FoldedState` stores the folded state and the newest entries; its applied offset never decreases.
#[derive(Debug, Default)]
pub(crate) struct FoldedState {
    /// State after all applied entries.
    pub(crate) state: State,
    /// Newest applied entries.
    pub(crate) recent: RecentEntries,
    /// Whether a state was loaded; before that nothing is applied.
    pub(crate) loaded: bool,
}

impl FoldedState {
    /// Returns where a command was first applied and its outcome, if the state still has it.
    pub(crate) fn command_outcome(&self, command: Command) -> Option<(Offset, Outcome)> {
        let (offset, outcome) = self.state.command_outcome(command)?;
        Some((offset, outcome.clone()))
    }

    /// Replaces the state if `state` is newer, and returns whether it did.
    pub(crate) fn install(&mut self, state: State) -> bool {
        if self.loaded && state.next() <= self.state.next() {
            return false;
        }
        self.recent = RecentEntries::new(state.next());
        self.state = state;
        self.loaded = true;
        true
    }

    /// Applies consecutive entries that begin at `first`, skipping those already applied; stops if entries are missing.
    ///
    /// An entry that could not be decoded is `None` and is skipped in the state.
    pub(crate) fn apply(
        &mut self,
        first: Offset,
        entries: Vec<(Bytes, Option<Entry>)>,
    ) -> Vec<AppliedEntry> {
        let mut applied = Vec::new();
        for (offset, (bytes, entry)) in (first.0..).map(Offset).zip(entries) {
            if !self.loaded || offset > self.state.next() {
                break;
            }
            if offset < self.state.next() {
                continue;
            }
            match entry {
                Some(entry) => {
                    let outcome = self.state.apply(offset, &entry);
                    applied.push(AppliedEntry::new(entry.command, offset, outcome));
                }
                None => self.state.skip(offset),
            }
            self.recent.push(bytes, self.state.digest());
        }
        applied
    }
}

impl AppliedEntry {
    /// Creates the result of an entry; a repeated command gets the offset and outcome of its first application.
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
