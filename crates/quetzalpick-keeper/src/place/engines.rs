//! What engines report, and what of it the ledger does not know yet.

use std::time::Duration;

use futures::future::join_all;

use quetzalpick_core::dispatch::Dispatch;
use quetzalpick_core::id::{Artifact, Boot, Endpoint, Offset, Version};
use quetzalpick_core::record::{
    EndpointKind, EndpointSpec, Operation, Report, Settled, Settlement,
};
use quetzalpick_core::state::{Account, Ledger, Open, State};
use quetzalpick_platform::traits::Engine;
use quetzalpick_platform::wire::engine;

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
    dispatch: &Dispatch,
    reported: &Reported,
) -> Option<Report> {
    let boot = Boot(reported.report.boot);
    let loaded = copies(&reported.report.loaded);
    let account = ledger.accounts().get(endpoint);
    if account.is_some_and(|account| account.boot == boot && !differs(account, &loaded)) {
        return None;
    }
    // Nothing was ever sent to an engine without an account, unless one was closed.
    let untouched = account.is_none() && ledger.is_never_closed();
    let is_quiet =
        dispatch.is_quiet(endpoint, reported.asked_ms) && reported.report.loading.is_empty();
    (untouched || is_quiet).then(|| Report {
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
    orders: &Orders,
    reported: &Reported,
) -> Vec<Settled> {
    // A report of another boot first corrects the ledger.
    if account.boot != Boot(reported.report.boot) {
        return Vec::new();
    }
    let shown = Shown {
        loaded: copies(&reported.report.loaded),
        loading: copies(&reported.report.loading),
        refused: &reported.report.refused,
    };
    let settle = |open: &Open| {
        let fencing = open.fencing.0;
        let refused = shown.refused.contains(&fencing) || orders.is_fenced(endpoint, open.sequence);
        let is_past = orders
            .dispatch
            .is_past(endpoint, &open.operation, reported.asked_ms);
        let settlement = shown.settlement(open, refused && is_past)?;
        Some(Settled {
            endpoint: endpoint.clone(),
            sequence: open.sequence,
            boot: Boot(reported.report.boot),
            seen: reported.asked_at,
            settlement,
        })
    };
    // A report that was asked for before the order was announced says nothing of it.
    let open = account
        .open
        .iter()
        .filter(|open| reported.asked_at > open.fencing.max(account.reported));
    open.filter_map(settle).collect()
}

/// `Shown` is what a report shows of an engine's copies.
struct Shown<'a> {
    loaded: Vec<(Artifact, Version)>,
    loading: Vec<(Artifact, Version)>,
    refused: &'a [u64],
}

impl Shown<'_> {
    /// Tells whether an open order is settled; `refused` says that it was refused and can no longer arrive again.
    fn settlement(&self, open: &Open, refused: bool) -> Option<Settlement> {
        let (Operation::Load(artifact, version) | Operation::Unload(artifact, version)) =
            &open.operation;
        let copy = (artifact.clone(), *version);
        let holds = self.loaded.binary_search(&copy).is_ok();
        let loads = self.loading.binary_search(&copy).is_ok();
        let done = match open.operation {
            Operation::Load(..) => holds,
            Operation::Unload(..) => !holds && !loads,
        };
        match (done, refused && !loads) {
            (true, _) => Some(Settlement::Done),
            (false, true) => Some(Settlement::Refused),
            (false, false) => None,
        }
    }
}
