//! Orders that are due and the inputs of the planner, computed from the state and the newest reports.

use quetzalpick_client::wire::engine;
use quetzalpick_core::id::{Artifact, Endpoint, Version};
use quetzalpick_core::payload::Payload;
use quetzalpick_core::plan::{Reason, Status, Step};
use quetzalpick_core::record::{EndpointKind, Operation};
use quetzalpick_core::state::{OpenIntent, State};
use quetzalpick_core::table::Table;
use quetzalpick_node::replica::Peer;

use crate::place::engines::{ReceivedReport, observation};
use crate::place::orders::SentOrders;

/// `DueOrder` is an announced order that should be sent in this round.
#[derive(Debug, Clone)]
pub(crate) struct DueOrder {
    /// Engine that executes the order.
    pub(crate) endpoint: Endpoint,
    /// IP address and port of the engine.
    pub(crate) address: String,
    /// Intent that announced the order.
    pub(crate) intent: OpenIntent,
    /// Order in the form sent to the engine.
    pub(crate) order: engine::Order,
}

/// Returns the open orders that should be sent now, in sequence for each engine.
///
/// An engine that checks fencing numbers permanently refuses an order that arrives after a newer one. So it gets one
/// order at a time: the oldest one that its reports and answers do not show as received.
pub(crate) fn due_orders(
    state: &State,
    orders: &SentOrders,
    reports: &Table<Endpoint, ReceivedReport>,
    resend_interval_ms: u64,
    now_ms: u64,
) -> Vec<DueOrder> {
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
        // A restarted engine gets no orders until the ledger has its new incarnation. Its report can correct the
        // ledger only once no order is in flight to it.
        if reported.is_some_and(|reported| reported.report.incarnation != account.incarnation.0) {
            continue;
        }
        let intents = account.open.iter();
        let unreceived =
            intents.filter(|intent| !needs_no_resend(endpoint, intent, orders, reported));
        let limit = if one_at_a_time { 1 } else { usize::MAX };
        for intent in unreceived.take(limit) {
            if orders.is_due(endpoint, intent.sequence, resend_interval_ms, now_ms) {
                due.push(DueOrder {
                    endpoint: endpoint.clone(),
                    address: spec.address.clone(),
                    intent: intent.clone(),
                    order: build_order(state, intent),
                });
            }
        }
    }
    due
}

/// Returns whether an engine has received an order or will never accept it, so that sending it again is useless.
fn needs_no_resend(
    endpoint: &Endpoint,
    intent: &OpenIntent,
    orders: &SentOrders,
    reported: Option<&ReceivedReport>,
) -> bool {
    if orders.is_fenced(endpoint, intent.sequence) {
        return true;
    }
    let is_load = matches!(intent.operation, Operation::Load(..));
    reported.is_some_and(|reported| {
        let observation = observation(endpoint, intent, orders, reported);
        observation.cannot_succeed() || (is_load && (observation.loading || observation.loaded))
    })
}

/// Builds the order that an intent announced.
fn build_order(state: &State, intent: &OpenIntent) -> engine::Order {
    let (action, artifact, version) = match &intent.operation {
        Operation::Load(artifact, version) => (engine::Action::Load, artifact, version),
        Operation::Unload(artifact, version) => (engine::Action::Unload, artifact, version),
    };
    let base = state
        .catalog()
        .adapters()
        .get(artifact)
        .map(|adapter| adapter.base.to_string());
    engine::Order {
        fencing: intent.fencing.0,
        action,
        copy: build_copy(artifact, *version, intent.memory_mb),
        base,
    }
}

/// Builds a copy in the form sent to engines.
fn build_copy(artifact: &Artifact, version: Version, memory_mb: u64) -> engine::Copy {
    engine::Copy {
        artifact: artifact.to_string(),
        version: version.0,
        memory_mb,
    }
}

/// Returns the status of each configured engine for the planner.
pub(crate) fn engine_statuses(
    state: &State,
    reports: &Table<Endpoint, ReceivedReport>,
    orders: &SentOrders,
    silence_timeout_ms: u64,
    leaving_engines: &[Endpoint],
    now_ms: u64,
) -> Table<Endpoint, Status> {
    let mut statuses = Table::default();
    for (endpoint, spec) in state.catalog().endpoints().iter() {
        if !matches!(spec.kind, EndpointKind::Engine { .. }) {
            continue;
        }
        let reported = reports.get(endpoint);
        let alive = reported.is_some_and(|reported| {
            now_ms.saturating_sub(reported.received_ms) < silence_timeout_ms
        });
        let requests = reported.map_or(0, |reported| {
            reported.report.running + reported.report.waiting
        });
        let listed_as_leaving = leaving_engines.binary_search(endpoint).is_ok();
        let leaving = listed_as_leaving || reported.is_some_and(|reported| reported.report.leaving);
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

/// Returns whether a planned step may be announced now.
///
/// The opposite order may still be in flight and would undo the step. A load does not wait at an engine for which no
/// unload was ever announced, nor if it makes an unreachable artifact reachable, which is worth the risk; the ledger
/// counts its memory in any case.
pub(crate) fn may_announce(step: &Step, state: &State, orders: &SentOrders, now_ms: u64) -> bool {
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

/// Sums the demand that the gates reported, in tokens per interval and artifact.
pub(crate) fn demand(peers: &[Peer], interval_ms: u64) -> Table<Artifact, u64> {
    let mut tokens = Table::default();
    for payload in peers
        .iter()
        .filter_map(|peer| Payload::from_bytes(&peer.payload).ok())
    {
        for demand in payload.demand {
            let requested = demand.tokens_per_s * interval_ms / 1000;
            *tokens.get_or_insert_with(demand.artifact, || 0) += requested;
        }
    }
    tokens
}
