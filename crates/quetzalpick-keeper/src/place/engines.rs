//! Reports of engines, and the records that bring the ledger in line with them.

use std::time::Duration;

use futures::future::join_all;

use quetzalpick_client::traits::Engine;
use quetzalpick_client::wire::engine;
use quetzalpick_core::dispatch::{History, Observation};
use quetzalpick_core::id::{Artifact, Endpoint, EngineIncarnation, Offset, Version};
use quetzalpick_core::record::{EndpointKind, EndpointSpec, Operation, Report, Settled};
use quetzalpick_core::state::{Account, Ledger, OpenIntent, State};

use crate::place::orders::SentOrders;

/// `ReceivedReport` stores an engine's newest report with the times of its request and arrival.
#[derive(Debug, Clone)]
pub(crate) struct ReceivedReport {
    /// Report as the engine sent it.
    pub(crate) report: engine::Report,
    /// First offset not applied on this VM when the report was requested.
    pub(crate) requested_offset: Offset,
    /// Time of the request, in ms on the leader's clock.
    pub(crate) requested_ms: u64,
    /// Time of arrival, in ms on the leader's clock.
    pub(crate) received_ms: u64,
}

/// Requests the reports of all engines concurrently, leaving out engines that fail or exceed the timeout.
pub(crate) async fn fetch_reports(
    client: &impl Engine,
    engines: &[(Endpoint, String)],
    requested_offset: Offset,
    timeout: Duration,
    now_ms: impl Fn() -> u64,
) -> Vec<(Endpoint, ReceivedReport)> {
    let now_ms = &now_ms;
    let fetch_one = |(endpoint, address): &(Endpoint, String)| {
        let (endpoint, address) = (endpoint.clone(), address.clone());
        let requested_ms = now_ms();
        async move {
            let report = tokio::time::timeout(timeout, client.report(&address))
                .await
                .ok()?
                .ok()?;
            Some((
                endpoint,
                ReceivedReport {
                    report,
                    requested_offset,
                    requested_ms,
                    received_ms: now_ms(),
                },
            ))
        }
    };
    join_all(engines.iter().map(fetch_one))
        .await
        .into_iter()
        .flatten()
        .collect()
}

/// Returns the configured engines with their addresses.
pub(crate) fn configured_engines(state: &State) -> Vec<(Endpoint, String)> {
    let is_engine = |spec: &EndpointSpec| matches!(spec.kind, EndpointKind::Engine { .. });
    let endpoints = state.catalog().endpoints().iter();
    endpoints
        .filter(|(_, spec)| is_engine(spec))
        .map(|(name, spec)| (name.clone(), spec.address.clone()))
        .collect()
}

/// Returns the copies in one list of a report, sorted; entries with an invalid name are left out.
fn listed_copies(listed: &[engine::Copy]) -> Vec<(Artifact, Version)> {
    let copy = |copy: &engine::Copy| {
        Some((
            Artifact::try_new(&copy.artifact).ok()?,
            Version(copy.version),
        ))
    };
    let mut copies: Vec<_> = listed.iter().filter_map(copy).collect();
    copies.sort();
    copies
}

/// Returns the record that corrects the ledger after an engine's restart or a difference that no open order explains.
///
/// No record is built while an order may still reach the engine or while it is loading, because its copies may still
/// change. Neither matters for an engine that no leader ever sent an order.
pub(crate) fn correction(
    endpoint: &Endpoint,
    ledger: &Ledger,
    history: &History,
    reported: &ReceivedReport,
) -> Option<Report> {
    let incarnation = EngineIncarnation(reported.report.incarnation);
    let loaded = listed_copies(&reported.report.loaded);
    let account = ledger.accounts().get(endpoint);
    if account.is_some_and(|account| {
        account.incarnation == incarnation && !has_unexplained_difference(account, &loaded)
    }) {
        return None;
    }
    let none_in_flight = history.none_in_flight(endpoint, reported.requested_ms)
        && reported.report.loading.is_empty();
    (none_in_flight || !ledger.was_ordered(endpoint)).then(|| Report {
        endpoint: endpoint.clone(),
        incarnation,
        as_of: reported.requested_offset,
        loaded,
    })
}

/// Returns whether the copies differ from the ledger in a way that no open order explains.
fn has_unexplained_difference(account: &Account, loaded: &[(Artifact, Version)]) -> bool {
    let is_open = |copy: &(Artifact, Version), load: bool| {
        account.open.iter().any(|intent| match &intent.operation {
            Operation::Load(artifact, version) => load && *artifact == copy.0 && *version == copy.1,
            Operation::Unload(artifact, version) => {
                !load && *artifact == copy.0 && *version == copy.1
            }
        })
    };
    let appeared =
        |copy: &&(Artifact, Version)| !account.loaded.contains(*copy) && !is_open(copy, true);
    let vanished =
        |copy: &&(Artifact, Version)| loaded.binary_search(copy).is_err() && !is_open(copy, false);
    loaded.iter().any(|copy| appeared(&copy)) || account.loaded.keys().any(|copy| vanished(&copy))
}

/// Returns the settlements of the open orders whose outcome a report shows.
pub(crate) fn settlements(
    endpoint: &Endpoint,
    account: &Account,
    orders: &SentOrders,
    reported: &ReceivedReport,
) -> Vec<Settled> {
    // A report of another incarnation has to correct the ledger first.
    let incarnation = EngineIncarnation(reported.report.incarnation);
    if account.incarnation != incarnation {
        return Vec::new();
    }
    let settle = |intent: &OpenIntent| {
        let observation = observation(endpoint, intent, orders, reported);
        let requested_ms = reported.requested_ms;
        let history = &orders.history;
        let settlement =
            history.settlement(endpoint, &intent.operation, observation, requested_ms)?;
        Some(Settled {
            endpoint: endpoint.clone(),
            sequence: intent.sequence,
            incarnation,
            as_of: reported.requested_offset,
            settlement,
        })
    };
    // A report requested before the order was announced does not show its outcome.
    let covered =
        |intent: &&OpenIntent| reported.requested_offset > intent.fencing.max(account.reported);
    account
        .open
        .iter()
        .filter(covered)
        .filter_map(settle)
        .collect()
}

/// Returns what an engine's report and its answers to the leader show about an order.
pub(crate) fn observation(
    endpoint: &Endpoint,
    intent: &OpenIntent,
    orders: &SentOrders,
    reported: &ReceivedReport,
) -> Observation {
    let report = &reported.report;
    let (Operation::Load(artifact, version) | Operation::Unload(artifact, version)) =
        &intent.operation;
    let contains = |listed: &[engine::Copy]| {
        let mut copies = listed.iter();
        copies.any(|copy| copy.artifact == artifact.as_str() && copy.version == version.0)
    };
    Observation {
        loaded: contains(&report.loaded),
        loading: contains(&report.loading),
        refused: report.refused.contains(&intent.fencing.0),
        superseded: orders.is_fenced(endpoint, intent.sequence),
    }
}
