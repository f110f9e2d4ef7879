//! Answers to queries, as tables.

use quetzalpick_core::id::{Artifact, Endpoint, Member, Workspace};
use quetzalpick_core::record::{EndpointKind, EndpointSpec, Operation, ServiceSpec};
use quetzalpick_core::state::State;
use quetzalpick_language::{Cell, Query, Table};
use quetzalpick_node::replica::Peer;

use crate::operator::spending;

/// Answers a query from the state and from what peers told.
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
        // The executor answers this one, which asks about the log and not about the state.
        Query::Command(_) => Table::default(),
    }
}

fn loaded(state: &State, artifact: Option<&Artifact>, endpoint: Option<&Endpoint>) -> Table {
    let mut table = Table::new(&["endpoint", "artifact", "version", "memory_mb"]);
    for (name, account) in state.ledger().accounts().iter() {
        for ((copy, version), memory_mb) in account.loaded.iter() {
            if artifact.is_none_or(|wanted| wanted == copy)
                && endpoint.is_none_or(|wanted| wanted == name)
            {
                table.push(vec![
                    text(name),
                    text(copy),
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
        for open in &account.open {
            let order: &str = (&open.operation).into();
            let (Operation::Load(copy, version) | Operation::Unload(copy, version)) =
                &open.operation;
            let (sequence, memory_mb) = (open.sequence.0.into(), open.memory_mb.into());
            table.push(vec![
                text(name),
                sequence,
                order.into(),
                text(copy),
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
        let (artifacts, services) = (names(&spec.artifacts), names(&spec.services));
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
            kind(spec),
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

/// Returns what an endpoint is.
fn kind(spec: &EndpointSpec) -> Cell {
    match &spec.kind {
        EndpointKind::Engine { accelerators, .. } => format!("engine of {accelerators}").into(),
        EndpointKind::Service { service } => format!("instance of {service}").into(),
    }
}

/// Returns the memory that is loaded or promised at an engine, in MB.
fn used_mb(state: &State, endpoint: &Endpoint) -> u64 {
    let Some(account) = state.ledger().accounts().get(endpoint) else {
        return 0;
    };
    let loaded: u64 = account.loaded.values().sum();
    let loads = account
        .open
        .iter()
        .filter(|open| matches!(open.operation, Operation::Load(..)));
    loaded + loads.map(|open| open.memory_mb).sum::<u64>()
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
        for row in routes(spec) {
            let mut cells = vec![text(name), spec.charge.into()];
            cells.extend(row);
            table.push(cells);
        }
    }
    table
}

/// Returns the cells of each route, or one row of empty cells.
fn routes(spec: &ServiceSpec) -> Vec<Vec<Cell>> {
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
    for (member, row) in state.roster().members().iter() {
        let votes = voters.binary_search(member).is_ok();
        let (role, address) = (
            row.role.to_string().into(),
            row.peer_address.as_str().into(),
        );
        table.push(vec![
            text(member),
            role,
            text(&row.domain),
            address,
            votes.into(),
            row.suspected.is_some().into(),
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

/// Writes something that has a name.
fn text(name: &impl ToString) -> Cell {
    Cell::Text(name.to_string())
}

/// Writes names, of which none stands for all.
fn names(names: &[impl ToString]) -> Cell {
    let list: Vec<String> = names.iter().map(ToString::to_string).collect();
    if list.is_empty() {
        "all".into()
    } else {
        list.join(",").into()
    }
}

/// Writes a count.
fn count(count: usize) -> Cell {
    Cell::Number(count as u64)
}
