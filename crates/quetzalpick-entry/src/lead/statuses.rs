//! What the VMs told the leader last.

use quetzalpick_core::id::{Artifact, Endpoint, Vm};
use quetzalpick_core::table::Table;
use rand::seq::IteratorRandom;

use crate::exchange::Status;
use crate::place::Work;

/// Statuses count for this time, in ms.
const AGE_MS: u64 = 1_500;

/// `Statuses` holds the newest status of each VM, and the sum of their requests under way.
#[derive(Debug, Default)]
pub(crate) struct Statuses {
    rows: Table<Vm, Row>,
    /// Requests under way of the VMs whose statuses count, by endpoint.
    total: Table<Endpoint, u32>,
}

/// `Row` is one VM.
#[derive(Debug)]
struct Row {
    heard_ms: u64,
    /// `None` once it is too old to count.
    status: Option<Status>,
}

impl Statuses {
    /// Takes in a VM's status.
    pub(crate) fn take(&mut self, now_ms: u64, status: Status) {
        self.expire(now_ms);
        for (endpoint, load) in &status.loads {
            *self.total.get_or_insert_with(endpoint.clone(), || 0) += load;
        }
        let vm = status.vm.clone();
        let row = Row {
            heard_ms: now_ms,
            status: Some(status),
        };
        let former = self.rows.insert(vm, row);
        if let Some(status) = former.and_then(|row| row.status) {
            take_away(&mut self.total, &status);
        }
    }

    /// Returns the requests under way of all VMs but one, by endpoint.
    pub(crate) fn others(&mut self, now_ms: u64, vm: &Vm) -> Vec<(Endpoint, u32)> {
        self.expire(now_ms);
        let own = self.rows.get(vm).and_then(|row| row.status.as_ref());
        let own = own.map_or(&[][..], |status| &status.loads);
        let others = self.total.iter().map(|(endpoint, total)| {
            let at = own.binary_search_by_key(&endpoint, |(name, _)| name);
            let own = at.map_or(0, |at| own[at].1);
            (endpoint.clone(), total.saturating_sub(own))
        });
        others.filter(|(_, load)| *load > 0).collect()
    }

    /// Returns the demand that all VMs see together.
    pub(crate) fn work(&mut self, now_ms: u64) -> Table<Artifact, Work> {
        self.expire(now_ms);
        let mut work: Table<Artifact, Work> = Table::default();
        for (artifact, part) in self.fresh().flat_map(|status| &status.work) {
            *work.get_or_insert_with(artifact.clone(), || 0) += part;
        }
        work
    }

    /// Returns the endpoints that any VM doubts, sorted.
    pub(crate) fn suspected(&mut self, now_ms: u64) -> Vec<Endpoint> {
        self.expire(now_ms);
        let suspected = self.fresh().flat_map(|status| &status.suspected);
        let mut suspected: Vec<Endpoint> = suspected.cloned().collect();
        suspected.sort_unstable();
        suspected.dedup();
        suspected
    }

    /// Returns the addresses of some other VMs, drawn at random.
    pub(crate) fn peers(&self, vm: &Vm, count: usize) -> Vec<String> {
        let others = self.fresh().filter(|status| status.vm != *vm);
        let drawn = others.sample(&mut rand::rng(), count);
        drawn.iter().map(|status| status.address.clone()).collect()
    }

    /// Returns when a VM was last heard, in ms.
    pub(crate) fn heard_ms(&self, vm: &Vm) -> Option<u64> {
        self.rows.get(vm).map(|row| row.heard_ms)
    }

    fn fresh(&self) -> impl Iterator<Item = &Status> {
        self.rows.values().filter_map(|row| row.status.as_ref())
    }

    /// Lets go of statuses that are too old to count.
    fn expire(&mut self, now_ms: u64) {
        for (_, row) in self.rows.iter_mut() {
            if now_ms < row.heard_ms + AGE_MS {
                continue;
            }
            if let Some(status) = row.status.take() {
                take_away(&mut self.total, &status);
            }
        }
    }
}

/// Takes a VM's requests away from the sum.
fn take_away(total: &mut Table<Endpoint, u32>, status: &Status) {
    for (endpoint, load) in &status.loads {
        if let Some(sum) = total.get_mut(endpoint) {
            *sum = sum.saturating_sub(*load);
        }
    }
    total.retain(|_, load| *load > 0);
}
