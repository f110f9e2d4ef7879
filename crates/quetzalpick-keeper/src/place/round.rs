//! What the leader does with a state: orders to send, and what the planner is told.

use quetzalpick_client::wire::engine;
use quetzalpick_core::id::{Artifact, Endpoint, Version};
use quetzalpick_core::payload::Payload;
use quetzalpick_core::plan::{Reason, Status, Step};
use quetzalpick_core::record::{EndpointKind, Operation};
use quetzalpick_core::state::{OpenIntent, State};
use quetzalpick_core::table::Table;
use quetzalpick_node::replica::Peer;

use crate::place::engines::{Reported, observation};
use crate::place::orders::Orders;

/// `Due` is an order that is to be sent.
#[derive(Debug, Clone)]
pub(crate) struct Due {
    /// The engine.
    pub(crate) endpoint: Endpoint,
    /// Its address.
    pub(crate) address: String,
    /// The intent that announced the order.
    pub(crate) open: OpenIntent,
    /// The order.
    pub(crate) order: engine::Order,
}

/// Returns the open orders that are to be sent now, each engine's in sequence.
///
/// An engine that checks fencing numbers would refuse an order that arrives after a newer one for good. So it gets one
/// order at a time, the oldest that it does not show to have received.
pub(crate) fn due(
    state: &State,
    orders: &Orders,
    reports: &Table<Endpoint, Reported>,
    repeat_ms: u64,
    now_ms: u64,
) -> Vec<Due> {
    let mut due = Vec::new();
    for (endpoint, account) in state.ledger().accounts().iter() {
        let Some(spec) = state.catalog().endpoints().get(endpoint) else {
            continue;
        };
        let one_at_a_time = matches!(
            spec.kind,
            EndpointKind::Engine {
                checks_fencing: true,
                ..
            }
        );
        let reported = reports.get(endpoint);
        // An engine that restarted gets nothing until the ledger knows, which its report can say only when it is quiet.
        if reported.is_some_and(|reported| reported.report.incarnation != account.incarnation.0) {
            continue;
        }
        let open = account.open.iter();
        let unknown = open.filter(|open| !is_known(endpoint, open, orders, reported));
        let most = if one_at_a_time { 1 } else { usize::MAX };
        for open in unknown.take(most) {
            if orders.is_due(endpoint, open.sequence, repeat_ms, now_ms) {
                due.push(Due {
                    endpoint: endpoint.clone(),
                    address: spec.address.clone(),
                    open: open.clone(),
                    order: order(state, open),
                });
            }
        }
    }
    due
}

/// Tells whether an engine shows that sending an order again is of no use.
fn is_known(
    endpoint: &Endpoint,
    open: &OpenIntent,
    orders: &Orders,
    reported: Option<&Reported>,
) -> bool {
    if orders.is_fenced(endpoint, open.sequence) {
        return true;
    }
    let loads = matches!(open.operation, Operation::Load(..));
    reported.is_some_and(|reported| {
        let observation = observation(endpoint, open, orders, reported);
        observation.cannot_succeed() || (loads && (observation.loading || observation.loaded))
    })
}

/// Builds the order of an intent.
fn order(state: &State, open: &OpenIntent) -> engine::Order {
    let (action, artifact, version) = match &open.operation {
        Operation::Load(artifact, version) => (engine::Action::Load, artifact, version),
        Operation::Unload(artifact, version) => (engine::Action::Unload, artifact, version),
    };
    let base = state
        .catalog()
        .adapters()
        .get(artifact)
        .map(|adapter| adapter.base.to_string());
    engine::Order {
        fencing: open.fencing.0,
        action,
        copy: copy(artifact, *version, open.memory_mb),
        base,
    }
}

/// Builds the engine's form of a copy.
fn copy(artifact: &Artifact, version: Version, memory_mb: u64) -> engine::Copy {
    engine::Copy {
        artifact: artifact.to_string(),
        version: version.0,
        memory_mb,
    }
}

/// Returns what the planner should know of each configured engine.
pub(crate) fn statuses(
    state: &State,
    reports: &Table<Endpoint, Reported>,
    orders: &Orders,
    silence_ms: u64,
    leaving: &[Endpoint],
    now_ms: u64,
) -> Table<Endpoint, Status> {
    let mut statuses = Table::default();
    for (endpoint, spec) in state.catalog().endpoints().iter() {
        if !matches!(spec.kind, EndpointKind::Engine { .. }) {
            continue;
        }
        let reported = reports.get(endpoint);
        let alive =
            reported.is_some_and(|reported| now_ms.saturating_sub(reported.at_ms) < silence_ms);
        let requests = reported.map_or(0, |reported| {
            reported.report.running + reported.report.waiting
        });
        let listed = leaving.binary_search(endpoint).is_ok();
        let leaving = listed || reported.is_some_and(|reported| reported.report.leaving);
        let unsettled = !orders.history.none_in_flight(endpoint, now_ms);
        statuses.insert(
            endpoint.clone(),
            Status {
                alive,
                leaving,
                requests,
                unsettled,
            },
        );
    }
    statuses
}

/// Tells whether a planned step may be announced now.
///
/// The opposite order may still be on its way and would undo the step. A load need not wait where no unload was ever
/// announced, and one that makes something reachable is worth the risk; the ledger counts its memory either way.
pub(crate) fn may_announce(step: &Step, state: &State, orders: &Orders, now_ms: u64) -> bool {
    let is_load = matches!(step.operation, Operation::Load(..));
    let account = state.ledger().accounts().get(&step.endpoint);
    let never_unloaded = account.is_some_and(|account| !account.has_unload_intent);
    let is_urgent = step.reason == Reason::Unreachable;
    let at_once = is_load && (never_unloaded || is_urgent);
    at_once
        || orders
            .history
            .may_announce(&step.endpoint, &step.operation, now_ms)
}

/// Adds up the demand that the gates told of, as tokens within an interval.
pub(crate) fn demand(peers: &[Peer], interval_ms: u64) -> Table<Artifact, u64> {
    let mut tokens = Table::default();
    for payload in peers
        .iter()
        .filter_map(|peer| Payload::from_bytes(&peer.payload).ok())
    {
        for demand in payload.demand {
            let asked = demand.tokens_per_s * interval_ms / 1000;
            *tokens.get_or_insert_with(demand.artifact, || 0) += asked;
        }
    }
    tokens
}
