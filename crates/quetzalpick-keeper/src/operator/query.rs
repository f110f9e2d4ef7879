//! Tables that answer operators' queries.

use quetzalpick_core::id::{Artifact, Endpoint, Member, Workspace};
use quetzalpick_core::record::{EndpointKind, EndpointSpec, Operation, ServiceSpec};
use quetzalpick_core::state::State;
use quetzalpick_language::{Cell, Query, Table};
use quetzalpick_node::replica::Peer;

use crate::operator::spending;

/// Answers a query from the state and the status last reported by peers.
pub(crate) fn answer(query: &Query, state: &State, own: &Member, peers: &[Peer]) -> Table {
    match query {
        Query::Loaded { artifact, endpoint } => loaded(state, artifact.as_ref(), endpoint.as_ref()),
        Query::Moving => moving(state),
        Query::Spending { workspace } => spending::table(state, peers, workspace.as_ref()),
        Query::Revisions => revisions(state, own, peers),
        Query::Leaving => leaving(state),
        Query::Workspaces => workspaces(state),
        Query::Keys { workspace } => keys(state, workspace.as_ref()),
        Query::Models => models(state),
        Query::Adapters => adapters(state),
        Query::Places => places(state),
        Query::Endpoints => endpoints(state),
        Query::Services => services(state),
        Query::Vms => vms(state),
        Query::Leader => leader(state),
        // The executor answers this query itself: the outcome of a command is not part of the state.
        Query::Command(_) => Table::default(),
    }
}

fn loaded(state: &State, artifact: Option<&Artifact>, endpoint: Option<&Endpoint>) -> Table {
    let mut table = Table::new(&["endpoint", "artifact", "version", "memory_mb"]);
    for (name, account) in state.ledger().accounts().iter() {
        for ((loaded, version), memory_mb) in account.loaded.iter() {
            if artifact.is_none_or(|wanted| wanted == loaded)
                && endpoint.is_none_or(|wanted| wanted == name)
            {
                table.push(vec![
                    text(name),
                    text(loaded),
                    version.0.into(),
                    (*memory_mb).into(),
                ]);
            }
        }
    }
    table
}

fn moving(state: &State) -> Table {
    let mut table = Table::new(&[
        "endpoint",
        "sequence",
        "order",
        "artifact",
        "version",
        "memory_mb",
    ]);
    for (name, account) in state.ledger().accounts().iter() {
        for intent in &account.open {
            let order: &str = (&intent.operation).into();
            let (Operation::Load(artifact, version) | Operation::Unload(artifact, version)) =
                &intent.operation;
            let (sequence, memory_mb) = (intent.sequence.0.into(), intent.memory_mb.into());
            table.push(vec![
                text(name),
                sequence,
                order.into(),
                text(artifact),
                version.0.into(),
                memory_mb,
            ]);
        }
    }
    table
}

fn revisions(state: &State, own: &Member, peers: &[Peer]) -> Table {
    let mut table = Table::new(&["vm", "applied_offset", "heard_ms_ago"]);
    table.push(vec![text(own), state.next().0.into(), 0_u64.into()]);
    for peer in peers {
        table.push(vec![
            text(&peer.member),
            peer.applied.0.into(),
            peer.last_contact_ms_ago.into(),
        ]);
    }
    table
}

fn leaving(state: &State) -> Table {
    let mut table = Table::new(&["kind", "name", "why"]);
    for (name, spec) in state.catalog().endpoints().iter() {
        if spec.draining {
            table.push(vec!["endpoint".into(), text(name), "draining".into()]);
        }
    }
    for (member, membership) in state.roster().members().iter() {
        if let Some(offset) = membership.suspected {
            table.push(vec![
                "vm".into(),
                text(member),
                format!("suspected at {offset}").into(),
            ]);
        }
    }
    table
}

fn workspaces(state: &State) -> Table {
    let mut table = Table::new(&["workspace", "rate", "burst", "models", "services"]);
    for (name, (_, spec)) in state.catalog().workspaces().iter() {
        let (artifacts, services) = (name_list(&spec.artifacts), name_list(&spec.services));
        table.push(vec![
            text(name),
            spec.rate.into(),
            spec.burst.into(),
            artifacts,
            services,
        ]);
    }
    table
}

fn keys(state: &State, workspace: Option<&Workspace>) -> Table {
    let mut table = Table::new(&["key", "workspace"]);
    for (name, key) in state.catalog().keys().iter() {
        if workspace.is_none_or(|wanted| *wanted == key.workspace) {
            table.push(vec![text(name), text(&key.workspace)]);
        }
    }
    table
}

fn models(state: &State) -> Table {
    let mut table = Table::new(&["model", "version", "memory_mb", "max_output", "copies"]);
    for (name, model) in state.catalog().models().iter() {
        let copies = state.ledger().copies(name, model.version).count();
        let (memory_mb, max_output) = (model.memory_mb.into(), model.max_output.into());
        table.push(vec![
            text(name),
            model.version.0.into(),
            memory_mb,
            max_output,
            count(copies),
        ]);
    }
    table
}

fn adapters(state: &State) -> Table {
    let mut table = Table::new(&["adapter", "model", "version", "memory_mb", "copies"]);
    for (name, adapter) in state.catalog().adapters().iter() {
        let copies = state.ledger().copies(name, adapter.version).count();
        let (version, memory_mb) = (adapter.version.0.into(), adapter.memory_mb.into());
        table.push(vec![
            text(name),
            text(&adapter.base),
            version,
            memory_mb,
            count(copies),
        ]);
    }
    table
}

fn places(state: &State) -> Table {
    let mut table = Table::new(&["artifact", "min", "max", "pinned"]);
    for (name, place) in state.catalog().places().iter() {
        let pinned = place
            .pinned
            .iter()
            .map(ToString::to_string)
            .collect::<Vec<_>>()
            .join(",");
        table.push(vec![
            text(name),
            place.min.into(),
            place.max.into(),
            pinned.into(),
        ]);
    }
    table
}

fn endpoints(state: &State) -> Table {
    let columns = [
        "endpoint",
        "kind",
        "address",
        "domain",
        "draining",
        "memory_mb",
        "used_mb",
        "fencing",
    ];
    let mut table = Table::new(&columns);
    for (name, spec) in state.catalog().endpoints().iter() {
        let mut row = vec![
            text(name),
            kind_cell(spec),
            spec.address.as_str().into(),
            text(&spec.domain),
            spec.draining.into(),
        ];
        match &spec.kind {
            EndpointKind::Engine {
                memory_mb,
                checks_fencing,
                ..
            } => {
                row.extend([
                    (*memory_mb).into(),
                    used_mb(state, name).into(),
                    (*checks_fencing).into(),
                ]);
            }
            EndpointKind::Service { .. } => row.extend(["".into(), "".into(), "".into()]),
        }
        table.push(row);
    }
    table
}

/// Returns the cell that describes the kind of an endpoint.
fn kind_cell(spec: &EndpointSpec) -> Cell {
    match &spec.kind {
        EndpointKind::Engine { accelerators, .. } => format!("engine of {accelerators}").into(),
        EndpointKind::Service { service } => format!("instance of {service}").into(),
    }
}

/// Returns the memory of loaded copies and open loads of an engine, in MB.
fn used_mb(state: &State, endpoint: &Endpoint) -> u64 {
    let Some(account) = state.ledger().accounts().get(endpoint) else {
        return 0;
    };
    let loaded: u64 = account.loaded.values().sum();
    let loads = account
        .open
        .iter()
        .filter(|intent| matches!(intent.operation, Operation::Load(..)));
    loaded + loads.map(|intent| intent.memory_mb).sum::<u64>()
}

fn services(state: &State) -> Table {
    let mut table = Table::new(&[
        "service",
        "charge",
        "method",
        "prefix",
        "open",
        "idempotent",
    ]);
    for (name, spec) in state.catalog().services().iter() {
        for row in route_cells(spec) {
            let mut cells = vec![text(name), spec.charge.into()];
            cells.extend(row);
            table.push(cells);
        }
    }
    table
}

/// Returns the cells of each route, or one row of empty cells for a service without routes.
fn route_cells(spec: &ServiceSpec) -> Vec<Vec<Cell>> {
    if spec.routes.is_empty() {
        return vec![vec!["".into(); 4]];
    }
    let cells = |route: &quetzalpick_core::record::Route| {
        let (method, prefix) = (route.method.as_str().into(), route.prefix.as_str().into());
        vec![method, prefix, route.open.into(), route.idempotent.into()]
    };
    spec.routes.iter().map(cells).collect()
}

fn vms(state: &State) -> Table {
    let mut table = Table::new(&["vm", "role", "domain", "address", "votes", "suspected"]);
    let voters = state.roster().voters();
    for (member, membership) in state.roster().members().iter() {
        let votes = voters.binary_search(member).is_ok();
        let (role, address) = (
            membership.role.to_string().into(),
            membership.peer_address.as_str().into(),
        );
        table.push(vec![
            text(member),
            role,
            text(&membership.domain),
            address,
            votes.into(),
            membership.suspected.is_some().into(),
        ]);
    }
    table
}

fn leader(state: &State) -> Table {
    let mut table = Table::new(&["vm", "term"]);
    if let Some(leadership) = state.leadership() {
        table.push(vec![text(&leadership.member), leadership.term.0.into()]);
    }
    table
}

/// Builds a text cell from a name.
fn text(name: &impl ToString) -> Cell {
    Cell::Text(name.to_string())
}

/// Builds a cell with a list of names; an empty list means that all are allowed.
fn name_list(names: &[impl ToString]) -> Cell {
    let list: Vec<String> = names.iter().map(ToString::to_string).collect();
    if list.is_empty() {
        "all".into()
    } else {
        list.join(",").into()
    }
}

/// Builds a number cell from a count.
fn count(count: usize) -> Cell {
    Cell::Number(count as u64)
}
