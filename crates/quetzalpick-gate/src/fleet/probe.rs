//! Polling of engine reports, cache events and the VM list.

use std::time::Duration;

use futures::StreamExt;
use quetzalpick_client::traits::{Engine, Vms};
use quetzalpick_core::id::Endpoint;
use quetzalpick_core::record::EndpointKind;
use quetzalpick_core::state::State;

use crate::fleet::Fleet;

/// Engines asked at the same time.
const PROBES_MAX: usize = 32;

/// Longest time that one poll of an engine may take.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// Share of the interval, in percent, by which a pause may be longer or shorter.
const JITTER_PERCENT: u32 = 25;

/// Returns a pause around an interval, so that gates do not poll in step.
fn pause(interval: Duration) -> Duration {
    let spread = 2 * JITTER_PERCENT + 1;
    let percent = 100 - JITTER_PERCENT + rand::random::<u32>() % spread;
    interval * percent / 100
}

/// Lists the engines of the configuration with their addresses.
fn engines(state: &State) -> Vec<(Endpoint, String)> {
    let endpoints = state.catalog().endpoints().iter();
    endpoints
        .filter(|(_, spec)| matches!(spec.kind, EndpointKind::Engine { .. }))
        .map(|(name, spec)| (name.clone(), spec.address.clone()))
        .collect()
}

/// Polls the engines for ever.
pub(crate) async fn probe_engines<E: Engine>(
    fleet: &Fleet,
    engine: E,
    interval: Duration,
    read: impl Fn() -> Vec<(Endpoint, String)>,
) {
    loop {
        let engines = read();
        futures::stream::iter(engines)
            .for_each_concurrent(PROBES_MAX, |(name, address)| {
                let engine = engine.clone();
                async move {
                    let polled = poll(fleet, &engine, &name, &address);
                    // A silent engine is left to the passive health and to the next round.
                    let _ = tokio::time::timeout(PROBE_TIMEOUT, polled).await;
                }
            })
            .await;
        tokio::time::sleep(pause(interval)).await;
    }
}

/// Polls one engine.
async fn poll(fleet: &Fleet, engine: &impl Engine, name: &Endpoint, address: &str) {
    match engine.report(address).await {
        Ok(report) => fleet.report(name, &report),
        Err(error) => log::debug!("route: endpoint={name} gives no report: {error}"),
    }
    if let Ok(events) = engine.events(address, fleet.next_event(name)).await {
        fleet.events(name, &events);
    }
}

/// Polls the VM list for ever.
pub(crate) async fn probe_vms(fleet: &Fleet, vms: impl Vms, interval: Duration) {
    loop {
        match vms.list().await {
            Ok(list) => fleet.list(&list),
            Err(error) => log::debug!("route: no VM list: {error}"),
        }
        tokio::time::sleep(pause(interval)).await;
    }
}

impl Fleet {
    /// Lists the engines to poll, and forgets endpoints that the configuration dropped.
    pub(crate) fn engines(&self, state: &State) -> Vec<(Endpoint, String)> {
        self.retain(|name| state.catalog().endpoints().contains(name));
        engines(state)
    }
}
