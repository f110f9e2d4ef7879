//! VM list whose changes appear after a lag.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use quetzalpick_client::wire::vms::{List, Status, Vm};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// `Change` describes one change of the VM list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "kebab-case")]
pub enum Change {
    /// Adds a VM, or replaces the one of the same name.
    Add(Vm),
    /// Marks a VM as about to be stopped.
    Leaving {
        /// Name of the VM.
        name: String,
    },
    /// Removes a VM.
    Remove {
        /// Name of the VM.
        name: String,
    },
}

/// `Vms` serves the VM list and applies each change after a fixed lag.
#[derive(Debug)]
pub(crate) struct Vms {
    lag: Duration,
    state: Mutex<State>,
}

/// `State` holds the published list and the pending changes with their due times, oldest first.
#[derive(Debug, Default)]
struct State {
    published: List,
    pending: Vec<(Instant, Change)>,
}

impl Vms {
    /// Creates a list that contains the initial VMs from the start.
    pub(crate) fn new(vms: Vec<Vm>, lag: Duration) -> Self {
        let mut published = List::default();
        for vm in vms {
            apply(&mut published, Change::Add(vm));
        }
        let pending = Vec::new();
        Self {
            lag,
            state: Mutex::new(State { published, pending }),
        }
    }

    /// Queues a change that appears after the lag.
    pub(crate) fn change(&self, change: Change) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.pending.push((Instant::now() + self.lag, change));
    }

    /// Applies the changes that are due and returns the list.
    pub(crate) fn list(&self) -> List {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let due = state.pending.partition_point(|(due, _)| *due <= now);
        let due: Vec<_> = state.pending.drain(..due).collect();
        for (_, change) in due {
            apply(&mut state.published, change);
        }
        state.published.clone()
    }
}

/// Applies a change to a list sorted by name; a change of an unknown VM is ignored.
fn apply(list: &mut List, change: Change) {
    let find = |list: &List, name: &str| list.vms.binary_search_by(|vm| vm.name.as_str().cmp(name));
    match change {
        Change::Add(vm) => match find(list, &vm.name) {
            Ok(index) => list.vms[index] = vm,
            Err(index) => list.vms.insert(index, vm),
        },
        Change::Leaving { name } => {
            if let Ok(index) = find(list, &name) {
                list.vms[index].status = Status::Leaving;
            }
        }
        Change::Remove { name } => {
            if let Ok(index) = find(list, &name) {
                list.vms.remove(index);
            }
        }
    }
}
