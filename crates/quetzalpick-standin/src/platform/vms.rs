//! The VM list, which lags behind what it is told.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use quetzalpick_client::wire::vms::{List, Status, Vm};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// `Change` is a change of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "kebab-case")]
pub enum Change {
    /// A VM is there, or is there with other properties.
    Add(Vm),
    /// A VM is to be stopped.
    Leaving {
        /// Its name.
        name: String,
    },
    /// A VM is gone.
    Remove {
        /// Its name.
        name: String,
    },
}

/// `Vms` is the list as it was a while ago, and what has happened since.
#[derive(Debug)]
pub(crate) struct Vms {
    lag: Duration,
    inner: Mutex<Inner>,
}

/// `Inner` is a list with changes that do not show yet, oldest first.
#[derive(Debug, Default)]
struct Inner {
    shown: List,
    pending: Vec<(Instant, Change)>,
}

impl Vms {
    /// Makes a list that shows its first VMs at once.
    pub(crate) fn new(vms: Vec<Vm>, lag: Duration) -> Self {
        let mut shown = List::default();
        for vm in vms {
            apply(&mut shown, Change::Add(vm));
        }
        let pending = Vec::new();
        Self {
            lag,
            inner: Mutex::new(Inner { shown, pending }),
        }
    }

    /// Notes a change, which shows later.
    pub(crate) fn change(&self, change: Change) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.pending.push((Instant::now() + self.lag, change));
    }

    /// Returns the list as it shows now.
    pub(crate) fn list(&self) -> List {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let due = inner.pending.partition_point(|(at, _)| *at <= now);
        let due: Vec<_> = inner.pending.drain(..due).collect();
        for (_, change) in due {
            apply(&mut inner.shown, change);
        }
        inner.shown.clone()
    }
}

/// Applies a change to a list, which is sorted by name.
fn apply(list: &mut List, change: Change) {
    let find = |list: &List, name: &str| list.vms.binary_search_by(|vm| vm.name.as_str().cmp(name));
    match change {
        Change::Add(vm) => match find(list, &vm.name) {
            Ok(at) => list.vms[at] = vm,
            Err(at) => list.vms.insert(at, vm),
        },
        Change::Leaving { name } => {
            if let Ok(at) = find(list, &name) {
                list.vms[at].status = Status::Leaving;
            }
        }
        Change::Remove { name } => {
            if let Ok(at) = find(list, &name) {
                list.vms.remove(at);
            }
        }
    }
}
