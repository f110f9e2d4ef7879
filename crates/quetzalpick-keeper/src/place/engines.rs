//! What engines report, and what of it the ledger does not know yet.

use std::time::Duration;

use futures::future::join_all;

use quetzalpick_core::id::{Artifact, Boot, Endpoint, Offset, Version};
use quetzalpick_core::record::{
    EndpointKind, EndpointSpec, Operation, Report, Settled, Settlement,
};
use quetzalpick_core::state::{Account, Open, State};
use quetzalpick_core::table::Table;
use quetzalpick_platform::traits::Engine;
use quetzalpick_platform::wire::engine;

/// `Reported` is an engine's newest report.
#[derive(Debug, Clone)]
pub(crate) struct Reported {
    /// The report.
    pub(crate) report: engine::Report,
    /// First offset not applied here when the report was asked for.
    pub(crate) asked_at: Offset,
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

/// Returns the copies that a report lists, sorted.
fn copies(report: &engine::Report) -> Vec<(Artifact, Version)> {
    let copy = |copy: &engine::Copy| {
        Some((
            Artifact::try_new(&copy.artifact).ok()?,
            Version(copy.version),
        ))
    };
    let mut copies: Vec<_> = report.loaded.iter().filter_map(copy).collect();
    copies.sort();
    copies
}

/// Returns the record that corrects the ledger where an engine restarted, or holds what no open order explains.
pub(crate) fn correction(
    endpoint: &Endpoint,
    account: &Account,
    reported: &Reported,
) -> Option<Report> {
    let boot = Boot(reported.report.boot);
    let loaded = copies(&reported.report);
    if account.boot == boot && !differs(account, &loaded) {
        return None;
    }
    Some(Report {
        endpoint: endpoint.clone(),
        boot,
        seen: reported.asked_at,
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
    reported: &Reported,
) -> Vec<Settled> {
    // A report of another boot first corrects the ledger.
    if account.boot != Boot(reported.report.boot) {
        return Vec::new();
    }
    let loaded = copies(&reported.report);
    let settle = |open: &Open| {
        let settlement = settlement(open, &loaded, reported)?;
        let boot = Boot(reported.report.boot);
        Some(Settled {
            endpoint: endpoint.clone(),
            sequence: open.sequence,
            boot,
            seen: reported.asked_at,
            settlement,
        })
    };
    account.open.iter().filter_map(settle).collect()
}

/// Tells whether a report settles an open order.
fn settlement(
    open: &Open,
    loaded: &[(Artifact, Version)],
    reported: &Reported,
) -> Option<Settlement> {
    // A report that was asked for before the order was announced says nothing of it.
    if reported.asked_at <= open.fencing {
        return None;
    }
    if reported.report.refused.contains(&open.fencing.0) {
        return Some(Settlement::Refused);
    }
    let has = |artifact: &Artifact, version: Version| {
        loaded.binary_search(&(artifact.clone(), version)).is_ok()
    };
    let done = match &open.operation {
        Operation::Load(artifact, version) => has(artifact, *version),
        Operation::Unload(artifact, version) => !has(artifact, *version),
    };
    done.then_some(Settlement::Done)
}

/// Returns the newest reports, with those that just arrived.
pub(crate) fn renew(reports: &mut Table<Endpoint, Reported>, arrived: Vec<(Endpoint, Reported)>) {
    for (endpoint, reported) in arrived {
        reports.insert(endpoint, reported);
    }
}
