//! Demand and available tokens of each workspace, summed over the last reports of the gates.

use quetzalpick_core::id::Workspace;
use quetzalpick_core::payload::Payload;
use quetzalpick_core::quota::Hint;
use quetzalpick_core::state::State;
use quetzalpick_language::Table;
use quetzalpick_node::replica::Peer;

/// Micro-tokens per token.
const MICRO_PER_TOKEN: u64 = 1_000_000;

/// Builds the table of spending, with the hints of all gates summed for each workspace.
pub(crate) fn table(state: &State, peers: &[Peer], wanted: Option<&Workspace>) -> Table {
    let columns = [
        "workspace",
        "rate",
        "burst",
        "demand_per_s",
        "available",
        "gates",
    ];
    let mut table = Table::new(&columns);
    let payloads: Vec<Payload> = peers
        .iter()
        .filter_map(|peer| Payload::from_bytes(&peer.payload).ok())
        .collect();
    for (name, (created, spec)) in state.catalog().workspaces().iter() {
        if wanted.is_some_and(|wanted| wanted != name) {
            continue;
        }
        let is_of_workspace = |hint: &&Hint| hint.workspace == *name && hint.created == *created;
        let hints: Vec<&Hint> = payloads
            .iter()
            .flat_map(|payload| &payload.hints)
            .filter(is_of_workspace)
            .collect();
        let demand: u64 = hints
            .iter()
            .map(|hint| hint.demand_micro / MICRO_PER_TOKEN)
            .sum();
        let available: u64 = hints
            .iter()
            .map(|hint| hint.level_micro / MICRO_PER_TOKEN)
            .sum();
        let gates = hints.len() as u64;
        let cells = [spec.rate, spec.burst, demand, available, gates];
        let mut row = vec![name.as_str().into()];
        row.extend(cells.map(Into::into));
        table.push(row);
    }
    table
}
