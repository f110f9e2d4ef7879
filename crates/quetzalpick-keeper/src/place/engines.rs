//! What engines report, and what of it the ledger does not know yet.

use std::time::Duration;

use futures::future::join_all;

use quetzalpick_client::traits::Engine;
use quetzalpick_client::wire::engine;
use quetzalpick_core::dispatch::{History, Observation};
use quetzalpick_core::id::{Artifact, Endpoint, EngineIncarnation, Offset, Version};
use quetzalpick_core::record::{EndpointKind, EndpointSpec, Operation, Report, Settled};
use quetzalpick_core::state::{Account, Ledger, OpenIntent, State};

use crate::place::orders::Orders;

/// `Reported` is an engine's newest report.
#[derive(Debug, Clone)]
pub(crate) struct Reported {
    /// The report.
    pub(crate) report: engine::Report,
    /// First offset not applied here when the report was asked for.
    pub(crate) asked_at: Offset,
    /// When it was asked for, in ms.
    pub(crate) asked_ms: u64,
    /// When it arrived, in ms.
    pub(crate) at_ms: u64,
}

/// Asks all engines for their reports at once; those that do not answer in time are left out.
pub(crate) async fn ask(
    client: &impl Engine,
    engines: &[(Endpoint, String)],
    asked_at: Offset,
    limit: Duration,
    now_ms: impl Fn() -> u64,
) -> Vec<(Endpoint, Reported)> {
    let now_ms = &now_ms;
    let ask_one = |(endpoint, address): &(Endpoint, String)| {
        let (endpoint, address) = (endpoint.clone(), address.clone());
        let asked_ms = now_ms();
        async move {
            let report = tokio::time::timeout(limit, client.report(&address))
                .await
                .ok()?
                .ok()?;
            Some((
                endpoint,
                Reported {
                    report,
                    asked_at,
                    asked_ms,
                    at_ms: now_ms(),
                },
            ))
        }
    };
    join_all(engines.iter().map(ask_one))
        .await
        .into_iter()
        .flatten()
        .collect()
}

/// Returns the configured engines with their addresses.
pub(crate) fn configured(state: &State) -> Vec<(Endpoint, String)> {
    let is_engine = |spec: &EndpointSpec| matches!(spec.kind, EndpointKind::Engine { .. });
    let endpoints = state.catalog().endpoints().iter();
    endpoints
        .filter(|(_, spec)| is_engine(spec))
        .map(|(name, spec)| (name.clone(), spec.address.clone()))
        .collect()
}

/// Returns copies that a report lists, sorted.
fn copies(listed: &[engine::Copy]) -> Vec<(Artifact, Version)> {
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

/// Returns the record that corrects the ledger where an engine restarted, or holds what no open order explains.
///
/// While an order may still arrive, or the engine is loading, its report is not yet the last word.
pub(crate) fn correction(
    endpoint: &Endpoint,
    ledger: &Ledger,
    history: &History,
    reported: &Reported,
) -> Option<Report> {
    let incarnation = EngineIncarnation(reported.report.incarnation);
    let loaded = copies(&reported.report.loaded);
    let account = ledger.accounts().get(endpoint);
    if account
        .is_some_and(|account| account.incarnation == incarnation && !differs(account, &loaded))
    {
        return None;
    }
    let none_in_flight =
        history.none_in_flight(endpoint, reported.asked_ms) && reported.report.loading.is_empty();
    (none_in_flight || !ledger.was_ordered(endpoint)).then(|| Report {
        endpoint: endpoint.clone(),
        incarnation,
        as_of: reported.asked_at,
        loaded,
    })
}

/// Tells whether the copies differ from the ledger in a way that no open order explains.
fn differs(account: &Account, loaded: &[(Artifact, Version)]) -> bool {
    let is_open = |copy: &(Artifact, Version), load: bool| {
        account.open.iter().any(|open| match &open.operation {
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

/// Returns what a report settles of the open orders.
pub(crate) fn settlements(
    endpoint: &Endpoint,
    account: &Account,
    orders: &Orders,
    reported: &Reported,
) -> Vec<Settled> {
    // A report of another incarnation first corrects the ledger.
    let incarnation = EngineIncarnation(reported.report.incarnation);
    if account.incarnation != incarnation {
        return Vec::new();
    }
    let settle = |open: &OpenIntent| {
        let observation = observation(endpoint, open, orders, reported);
        let asked_ms = reported.asked_ms;
        let history = &orders.history;
        let settlement = history.settlement(endpoint, &open.operation, observation, asked_ms)?;
        Some(Settled {
            endpoint: endpoint.clone(),
            sequence: open.sequence,
            incarnation,
            as_of: reported.asked_at,
            settlement,
        })
    };
    // A report that was asked for before the order was announced says nothing of it.
    let since = |open: &&OpenIntent| reported.asked_at > open.fencing.max(account.reported);
    account
        .open
        .iter()
        .filter(since)
        .filter_map(settle)
        .collect()
}

/// Returns what an engine shows of an order.
pub(crate) fn observation(
    endpoint: &Endpoint,
    open: &OpenIntent,
    orders: &Orders,
    reported: &Reported,
) -> Observation {
    let report = &reported.report;
    let (Operation::Load(artifact, version) | Operation::Unload(artifact, version)) =
        &open.operation;
    let lists = |listed: &[engine::Copy]| {
        let mut copies = listed.iter();
        copies.any(|copy| copy.artifact == artifact.as_str() && copy.version == version.0)
    };
    Observation {
        loaded: lists(&report.loaded),
        loading: lists(&report.loading),
        refused: report.refused.contains(&open.fencing.0),
        superseded: orders.is_fenced(endpoint, open.sequence),
    }
}
