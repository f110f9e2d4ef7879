//! What the leader does with a state: orders to send, and what the planner is told.

use quetzalpick_core::id::{Artifact, Endpoint, Version};
use quetzalpick_core::payload::Payload;
use quetzalpick_core::plan::Status;
use quetzalpick_core::record::{EndpointKind, Operation};
use quetzalpick_core::state::{Open, State};
use quetzalpick_core::table::Table;
use quetzalpick_node::replica::Peer;
use quetzalpick_platform::wire::engine;

use crate::place::engines::Reported;
use crate::place::orders::Orders;

/// `Due` is an order that is to be sent.
#[derive(Debug, Clone)]
pub(crate) struct Due {
    /// The engine.
    pub(crate) endpoint: Endpoint,
    /// Its address.
    pub(crate) address: String,
    /// The intent that announced the order.
    pub(crate) open: Open,
    /// The order.
    pub(crate) order: engine::Order,
}

/// Returns the open orders that are to be sent now, each engine's in sequence.
pub(crate) fn due(state: &State, orders: &Orders, repeat_ms: u64, now_ms: u64) -> Vec<Due> {
    let mut due = Vec::new();
    for (endpoint, account) in state.ledger().accounts().iter() {
        let Some(spec) = state.catalog().endpoints().get(endpoint) else {
            continue;
        };
        for open in &account.open {
            if orders.is_due(endpoint, open.sequence, repeat_ms, now_ms) {
                let address = spec.address.clone();
                due.push(Due {
                    endpoint: endpoint.clone(),
                    address,
                    open: open.clone(),
                    order: order(state, open),
                });
            }
        }
    }
    due
}

/// Builds the order of an intent.
fn order(state: &State, open: &Open) -> engine::Order {
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
    limits: Limits,
    leaving: &[Endpoint],
    now_ms: u64,
) -> Table<Endpoint, Status> {
    let mut statuses = Table::default();
    for (endpoint, spec) in state.catalog().endpoints().iter() {
        let EndpointKind::Engine { checks_fencing, .. } = spec.kind else {
            continue;
        };
        let reported = reports.get(endpoint);
        let alive = reported
            .is_some_and(|reported| now_ms.saturating_sub(reported.at_ms) < limits.silence_ms);
        let requests = reported.map_or(0, |reported| {
            reported.report.running + reported.report.waiting
        });
        let listed = leaving.binary_search(endpoint).is_ok();
        let leaving = listed || reported.is_some_and(|reported| reported.report.leaving);
        let unsettled = !checks_fencing && orders.may_arrive(endpoint, limits.lateness_ms, now_ms);
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

/// `Limits` are the times that a status depends on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Limits {
    /// Silence after which an engine counts as gone, in ms.
    pub(crate) silence_ms: u64,
    /// Longest time that an order is on its way, in ms.
    pub(crate) lateness_ms: u64,
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
