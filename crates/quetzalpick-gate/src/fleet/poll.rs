//! Polling of engine reports, cache events and the VM list.

use std::time::Duration;

use futures::StreamExt;
use quetzalpick_client::traits::{Engine, Vms};
use quetzalpick_core::id::Endpoint;
use quetzalpick_core::record::EndpointKind;
use quetzalpick_core::state::State;

use crate::fleet::Fleet;

/// Maximum number of engines polled at the same time.
const CONCURRENT_POLLS_MAX: usize = 32;

/// Timeout of one poll of an engine.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum deviation of a pause from the interval in either direction, in percent.
const JITTER_PERCENT: u32 = 25;

/// Returns the interval with random jitter, so that gates do not poll at the same time.
fn jittered(interval: Duration) -> Duration {
    let range = 2 * JITTER_PERCENT + 1;
    let percent = 100 - JITTER_PERCENT + rand::random::<u32>() % range;
    interval * percent / 100
}

/// Returns the configured engines with their addresses.
fn configured_engines(state: &State) -> Vec<(Endpoint, String)> {
    let endpoints = state.catalog().endpoints().iter();
    endpoints
        .filter(|(_, spec)| matches!(spec.kind, EndpointKind::Engine { .. }))
        .map(|(name, spec)| (name.clone(), spec.address.clone()))
        .collect()
}

/// Polls the engines until cancelled.
pub(crate) async fn poll_engines<E: Engine>(
    fleet: &Fleet,
    engine: E,
    interval: Duration,
    engines_to_poll: impl Fn() -> Vec<(Endpoint, String)>,
) {
    loop {
        let engines = engines_to_poll();
        futures::stream::iter(engines)
            .for_each_concurrent(CONCURRENT_POLLS_MAX, |(name, address)| {
                let engine = engine.clone();
                async move {
                    let polled = poll_engine(fleet, &engine, &name, &address);
                    // An engine that does not answer is left to passive health checks and to the next round.
                    let _ = tokio::time::timeout(POLL_TIMEOUT, polled).await;
                }
            })
            .await;
        tokio::time::sleep(jittered(interval)).await;
    }
}

/// Polls one engine.
async fn poll_engine(fleet: &Fleet, engine: &impl Engine, name: &Endpoint, address: &str) {
    match engine.report(address).await {
        Ok(report) => fleet.apply_report(name, &report),
        Err(error) => log::debug!("route: endpoint={name} sent no report: {error}"),
    }
    if let Ok(events) = engine.events(address, fleet.next_event(name)).await {
        fleet.apply_events(name, &events);
    }
}

/// Polls the VM list until cancelled.
pub(crate) async fn poll_vms(fleet: &Fleet, vms: impl Vms, interval: Duration) {
    loop {
        match vms.list().await {
            Ok(list) => fleet.apply_vm_list(&list),
            Err(error) => log::debug!("route: cannot read the VM list: {error}"),
        }
        tokio::time::sleep(jittered(interval)).await;
    }
}

impl Fleet {
    /// Returns the engines to poll, and removes the state of endpoints that are no longer configured.
    pub(crate) fn engines_to_poll(&self, state: &State) -> Vec<(Endpoint, String)> {
        self.retain(|name| state.catalog().endpoints().contains(name));
        configured_engines(state)
    }
}
