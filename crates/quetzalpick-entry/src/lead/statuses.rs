//! Last status that the leader received from each VM.

use quetzalpick_core::id::{Artifact, Endpoint, Vm};
use quetzalpick_core::table::Table;
use rand::seq::IteratorRandom;

use crate::exchange::Status;
use crate::place::Work;

/// Age after which a status expires, in ms.
const MAX_AGE_MS: u64 = 1_500;

/// `Statuses` stores the newest status of each VM, and the sum of their requests in flight.
#[derive(Debug, Default)]
pub(crate) struct Statuses {
    rows: Table<Vm, Row>,
    /// Requests in flight and their prompt tokens over all unexpired statuses, by endpoint.
    total: Table<Endpoint, Total>,
}

/// `Total` sums what VMs have at an endpoint.
#[derive(Debug, Clone, Copy, Default)]
struct Total {
    requests: u32,
    /// Prompt tokens of the requests without a first event.
    prompt: u64,
}

/// `Row` stores the last contact and status of one VM.
#[derive(Debug)]
struct Row {
    last_contact_ms: u64,
    /// `None` once it has expired.
    status: Option<Status>,
}

impl Statuses {
    /// Records a VM's status.
    pub(crate) fn record(&mut self, now_ms: u64, status: Status) {
        self.expire(now_ms);
        for (endpoint, requests, prompt) in rows(&status) {
            let total = self
                .total
                .get_or_insert_with(endpoint.clone(), Total::default);
            total.requests = total.requests.saturating_add(requests);
            total.prompt = total.prompt.saturating_add(prompt);
        }
        let vm = status.vm.clone();
        let row = Row {
            last_contact_ms: now_ms,
            status: Some(status),
        };
        let former = self.rows.insert(vm, row);
        if let Some(status) = former.and_then(|row| row.status) {
            subtract(&mut self.total, &status);
        }
    }

    /// Returns the requests in flight of all VMs except one, by endpoint, and the prompt tokens of those without a first event, in
    /// the same order; no prompt tokens if there are none at all.
    pub(crate) fn loads_of_others(
        &mut self,
        now_ms: u64,
        vm: &Vm,
    ) -> (Vec<(Endpoint, u32)>, Vec<u64>) {
        self.expire(now_ms);
        let own = self.rows.get(vm).and_then(|row| row.status.as_ref());
        let own_prompts = own.map_or(&[][..], |status| &status.prompts);
        let own = own.map_or(&[][..], |status| &status.loads);
        let others = self.total.iter().map(|(endpoint, total)| {
            let index = own.binary_search_by_key(&endpoint, |(name, _)| name).ok();
            let requests = index.map_or(0, |index| own[index].1);
            let prompt = index.and_then(|index| own_prompts.get(index)).copied();
            let load = (endpoint.clone(), total.requests.saturating_sub(requests));
            (load, total.prompt.saturating_sub(prompt.unwrap_or(0)))
        });
        let others = others.filter(|((_, requests), _)| *requests > 0);
        let (loads, mut prompts): (Vec<_>, Vec<_>) = others.unzip();
        if prompts.iter().all(|tokens| *tokens == 0) {
            prompts.clear();
        }
        (loads, prompts)
    }

    /// Returns the total demand of all VMs.
    pub(crate) fn work(&mut self, now_ms: u64) -> Table<Artifact, Work> {
        self.expire(now_ms);
        let mut work: Table<Artifact, Work> = Table::default();
        for (artifact, share) in self.unexpired().flat_map(|status| &status.work) {
            *work.get_or_insert_with(artifact.clone(), || 0) += share;
        }
        work
    }

    /// Returns the endpoints that any VM suspects, sorted.
    pub(crate) fn suspected(&mut self, now_ms: u64) -> Vec<Endpoint> {
        self.expire(now_ms);
        let suspected = self.unexpired().flat_map(|status| &status.suspected);
        let mut suspected: Vec<Endpoint> = suspected.cloned().collect();
        suspected.sort_unstable();
        suspected.dedup();
        suspected
    }

    /// Returns whether any other VM reaches endpoints itself.
    pub(crate) fn is_another_connected(&mut self, now_ms: u64, vm: &Vm) -> bool {
        self.expire(now_ms);
        let mut others = self.unexpired().filter(|status| status.vm != *vm);
        others.any(|status| !status.is_disconnected)
    }

    /// Returns the addresses of up to `count` other VMs, chosen at random.
    pub(crate) fn sample_addresses(&self, vm: &Vm, count: usize) -> Vec<String> {
        let others = self.unexpired().filter(|status| status.vm != *vm);
        let sampled = others.sample(&mut rand::rng(), count);
        sampled
            .iter()
            .map(|status| status.address.clone())
            .collect()
    }

    /// Returns the address of the first other VM with a recent status; it stays the same while that VM lives.
    pub(crate) fn first_address(&self, vm: &Vm) -> Option<String> {
        let mut others = self.unexpired().filter(|status| status.vm != *vm);
        others.next().map(|status| status.address.clone())
    }

    /// Returns the number of VMs that have sent a status.
    pub(crate) fn count(&self) -> usize {
        self.rows.len()
    }

    /// Returns the number of VMs whose last status was received at or after `since_ms`.
    pub(crate) fn heard_since(&self, since_ms: u64) -> u64 {
        let heard = self
            .rows
            .values()
            .filter(|row| row.last_contact_ms >= since_ms);
        heard.count() as u64
    }

    /// Returns the requests that VMs have in flight at an endpoint.
    pub(crate) fn loads_at(&self, endpoint: &Endpoint) -> Vec<(Vm, u32)> {
        let load = |status: &Status| {
            let index = status
                .loads
                .binary_search_by_key(&endpoint, |(name, _)| name);
            index.map_or(0, |index| status.loads[index].1)
        };
        let statuses = self.unexpired();
        statuses
            .map(|status| (status.vm.clone(), load(status)))
            .collect()
    }

    /// Returns when a VM's last status was received, in ms.
    pub(crate) fn last_contact_ms(&self, vm: &Vm) -> Option<u64> {
        self.rows.get(vm).map(|row| row.last_contact_ms)
    }

    fn unexpired(&self) -> impl Iterator<Item = &Status> {
        self.rows.values().filter_map(|row| row.status.as_ref())
    }

    /// Drops expired statuses.
    fn expire(&mut self, now_ms: u64) {
        for (_, row) in self.rows.iter_mut() {
            if now_ms < row.last_contact_ms + MAX_AGE_MS {
                continue;
            }
            if let Some(status) = row.status.take() {
                subtract(&mut self.total, &status);
            }
        }
    }
}

/// Subtracts a VM's requests from the sum.
fn subtract(total: &mut Table<Endpoint, Total>, status: &Status) {
    for (endpoint, requests, prompt) in rows(status) {
        if let Some(sum) = total.get_mut(endpoint) {
            sum.requests = sum.requests.saturating_sub(requests);
            sum.prompt = sum.prompt.saturating_sub(prompt);
        }
    }
    total.retain(|_, sum| sum.requests > 0);
}

/// Returns a VM's requests and prompt tokens by endpoint; VMs of former versions report no tokens.
fn rows(status: &Status) -> impl Iterator<Item = (&Endpoint, u32, u64)> {
    let loads = status.loads.iter().enumerate();
    loads.map(|(index, (endpoint, requests))| {
        let prompt = status.prompts.get(index).copied().unwrap_or_default();
        (endpoint, *requests, prompt)
    })
}
