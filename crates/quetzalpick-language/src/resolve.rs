//! Resolving a command against the state: clauses left out are taken from what is in force.

use quetzalpick_core::id::{Artifact, Domain, Endpoint, Revision, Service, Version, Workspace};
use quetzalpick_core::record::{
    Adapter, Change, EndpointKind, EndpointSpec, Key, Model, Route, ServiceSpec, WorkspaceSpec,
};
use quetzalpick_core::state::{Catalog, State};

use crate::command::{Action, Command, Mode, Named, Selection};
use crate::errors::{Result, exists_error, missing_error, unknown_error};

/// Output tokens charged for a request without a limit where the operator states none.
const MAX_OUTPUT_TOKENS: u32 = 1024;
/// Accelerators of an engine where the operator states none.
const ACCELERATORS: u32 = 1;

/// `Resolution` is what to append for a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Resolution {
    /// The change.
    pub change: Change,
    /// The revision it depends on: the operator's, or that of the values that were filled in.
    pub expect: Option<Revision>,
}

/// Turns a command into the change to append.
///
/// # Errors
///
/// `Error::Unknown`, `Error::Exists` or `Error::Missing`; the fold checks everything else.
pub fn resolve(command: &Command, state: &State) -> Result<Resolution> {
    let change = change(command.action.clone(), state.catalog())?;
    // A change made of values in force holds only as long as those are in force.
    let filled = matches!(
        &command.action,
        Action::Workspace { .. }
            | Action::Model { .. }
            | Action::Adapter { .. }
            | Action::Engine { .. }
            | Action::Instance { .. }
            | Action::Service { .. }
            | Action::Route(..)
            | Action::Unroute { .. }
    );
    let expect = command
        .revision
        .or_else(|| filled.then(|| state.revision()));
    Ok(Resolution { change, expect })
}

/// Builds the change of an action.
fn change(action: Action, catalog: &Catalog) -> Result<Change> {
    match action {
        Action::Workspace {
            mode,
            name,
            rate,
            burst,
            artifacts,
            services,
        } => {
            let found = catalog.workspaces().get(&name).map(|(_, spec)| spec);
            let found = check(mode, found, "workspace", name.as_str())?;
            workspace(name, found, rate, burst, artifacts, services)
        }
        Action::Key {
            name,
            workspace,
            digest,
        } => Ok(Change::AddKey(name, Key { workspace, digest })),
        Action::Withdraw(name) => Ok(Change::WithdrawKey(name)),
        Action::Model {
            mode,
            name,
            version,
            memory_mb,
            max_output,
        } => {
            let found = check(mode, catalog.models().get(&name), "model", name.as_str())?;
            model(name, found, version, memory_mb, max_output)
        }
        Action::Adapter {
            mode,
            name,
            base,
            version,
            memory_mb,
        } => {
            let found = check(
                mode,
                catalog.adapters().get(&name),
                "adapter",
                name.as_str(),
            )?;
            adapter(name, found, base, version, memory_mb)
        }
        Action::Place(name, place) => Ok(Change::SetPlace(name, place)),
        Action::Engine {
            mode,
            name,
            address,
            domain,
            memory_mb,
            accelerators,
            fencing,
        } => {
            let found = check(
                mode,
                catalog.endpoints().get(&name),
                "endpoint",
                name.as_str(),
            )?;
            let kind = engine_kind(&name, found, memory_mb, accelerators, fencing)?;
            endpoint(name, found, kind, address, domain)
        }
        Action::Instance {
            mode,
            name,
            service,
            address,
            domain,
        } => {
            let found = check(
                mode,
                catalog.endpoints().get(&name),
                "endpoint",
                name.as_str(),
            )?;
            let kind = instance_kind(&name, found, service)?;
            endpoint(name, found, kind, address, domain)
        }
        Action::Drain(name, draining) => Ok(Change::Drain(name, draining)),
        Action::Service { mode, name, charge } => {
            let found = check(
                mode,
                catalog.services().get(&name),
                "service",
                name.as_str(),
            )?;
            let mut spec = found.cloned().unwrap_or_default();
            spec.charge = charge.unwrap_or(spec.charge);
            Ok(Change::SetService(name, spec))
        }
        Action::Route(service, route) => {
            edit_routes(catalog, service, |routes| put_route(routes, route))
        }
        Action::Unroute {
            service,
            method,
            prefix,
        } => unroute(catalog, service, &method, &prefix),
        Action::Remove(named) => remove(named, catalog),
        Action::Retire(vm) => Ok(Change::RetireVm(vm)),
    }
}

/// Checks that a thing exists exactly if it is to be changed, and returns what is in force.
fn check<'a, T>(mode: Mode, found: Option<&'a T>, kind: &str, name: &str) -> Result<Option<&'a T>> {
    match (mode, found) {
        (Mode::Create, Some(_)) => Err(exists_error(kind, name)),
        (Mode::Set, None) => Err(unknown_error(kind, name)),
        _ => Ok(found),
    }
}

fn workspace(
    name: Workspace,
    found: Option<&WorkspaceSpec>,
    rate: Option<u64>,
    burst: Option<u64>,
    artifacts: Option<Selection<Artifact>>,
    services: Option<Selection<Service>>,
) -> Result<Change> {
    let need = |clause| missing_error("workspace", name.as_str(), clause);
    let spec = WorkspaceSpec {
        rate: rate
            .or(found.map(|spec| spec.rate))
            .ok_or_else(|| need("rate"))?,
        burst: burst
            .or(found.map(|spec| spec.burst))
            .ok_or_else(|| need("burst"))?,
        artifacts: names(artifacts, found.map(|spec| &spec.artifacts)),
        services: names(services, found.map(|spec| &spec.services)),
    };
    Ok(Change::SetWorkspace(name, spec))
}

/// Returns the stated names, else those in force, else none for all.
fn names<T: Clone>(stated: Option<Selection<T>>, found: Option<&Vec<T>>) -> Vec<T> {
    match stated {
        Some(selection) => selection.into_names(),
        None => found.cloned().unwrap_or_default(),
    }
}

fn model(
    name: Artifact,
    found: Option<&Model>,
    version: Option<Version>,
    memory_mb: Option<u64>,
    max_output: Option<u32>,
) -> Result<Change> {
    let need = |clause| missing_error("model", name.as_str(), clause);
    let model = Model {
        version: version
            .or(found.map(|model| model.version))
            .ok_or_else(|| need("version"))?,
        memory_mb: memory_mb
            .or(found.map(|model| model.memory_mb))
            .ok_or_else(|| need("memory"))?,
        max_output: max_output
            .or(found.map(|model| model.max_output))
            .unwrap_or(MAX_OUTPUT_TOKENS),
    };
    Ok(Change::SetModel(name, model))
}

fn adapter(
    name: Artifact,
    found: Option<&Adapter>,
    base: Option<Artifact>,
    version: Option<Version>,
    memory_mb: Option<u64>,
) -> Result<Change> {
    let need = |clause| missing_error("adapter", name.as_str(), clause);
    let adapter = Adapter {
        base: base
            .or(found.map(|adapter| adapter.base.clone()))
            .ok_or_else(|| need("on"))?,
        version: version
            .or(found.map(|adapter| adapter.version))
            .ok_or_else(|| need("version"))?,
        memory_mb: memory_mb
            .or(found.map(|adapter| adapter.memory_mb))
            .ok_or_else(|| need("memory"))?,
    };
    Ok(Change::SetAdapter(name, adapter))
}

/// Builds the kind of an engine from the stated clauses and what is in force.
fn engine_kind(
    name: &Endpoint,
    found: Option<&EndpointSpec>,
    memory_mb: Option<u64>,
    accelerators: Option<u32>,
    fencing: Option<bool>,
) -> Result<EndpointKind> {
    let former = found.and_then(|spec| engine_of(&spec.kind));
    let memory_mb = memory_mb.or(former.map(|(_, memory, _)| memory));
    Ok(EndpointKind::Engine {
        accelerators: accelerators
            .or(former.map(|(count, ..)| count))
            .unwrap_or(ACCELERATORS),
        memory_mb: memory_mb.ok_or_else(|| missing_error("engine", name.as_str(), "memory"))?,
        checks_fencing: fencing
            .or(former.map(|(.., checks)| checks))
            .unwrap_or(false),
    })
}

/// Builds the kind of a service's instance.
fn instance_kind(
    name: &Endpoint,
    found: Option<&EndpointSpec>,
    service: Option<Service>,
) -> Result<EndpointKind> {
    let former = found.and_then(|spec| service_of(&spec.kind).cloned());
    let service = service
        .or(former)
        .ok_or_else(|| missing_error("instance", name.as_str(), "of"))?;
    Ok(EndpointKind::Service { service })
}

/// Builds the change of an endpoint.
fn endpoint(
    name: Endpoint,
    found: Option<&EndpointSpec>,
    kind: EndpointKind,
    address: Option<String>,
    domain: Option<Domain>,
) -> Result<Change> {
    let need = |clause| missing_error("endpoint", name.as_str(), clause);
    let address = address
        .or(found.map(|spec| spec.address.clone()))
        .ok_or_else(|| need("at"))?;
    let domain = domain
        .or(found.map(|spec| spec.domain.clone()))
        .ok_or_else(|| need("domain"))?;
    let draining = found.is_some_and(|spec| spec.draining);
    Ok(Change::SetEndpoint(
        name,
        EndpointSpec {
            address,
            domain,
            kind,
            draining,
        },
    ))
}

/// Returns accelerators, memory in MB and fencing of an engine.
fn engine_of(kind: &EndpointKind) -> Option<(u32, u64, bool)> {
    match kind {
        EndpointKind::Engine {
            accelerators,
            memory_mb,
            checks_fencing,
        } => Some((*accelerators, *memory_mb, *checks_fencing)),
        EndpointKind::Service { .. } => None,
    }
}

/// Returns the service of an instance.
fn service_of(kind: &EndpointKind) -> Option<&Service> {
    match kind {
        EndpointKind::Service { service } => Some(service),
        EndpointKind::Engine { .. } => None,
    }
}

/// Changes the routes of a service.
fn edit_routes(
    catalog: &Catalog,
    name: Service,
    edit: impl FnOnce(&mut Vec<Route>),
) -> Result<Change> {
    let found = catalog.services().get(&name);
    let mut spec: ServiceSpec = found
        .cloned()
        .ok_or_else(|| unknown_error("service", name.as_str()))?;
    edit(&mut spec.routes);
    Ok(Change::SetService(name, spec))
}

/// Removes a route, which must exist.
fn unroute(catalog: &Catalog, service: Service, method: &str, prefix: &str) -> Result<Change> {
    let what = format!("{method} {prefix} of {service}");
    let mut removed = false;
    let change = edit_routes(catalog, service, |routes| {
        let before = routes.len();
        routes.retain(|route| route.method != method || route.prefix != prefix);
        removed = routes.len() < before;
    })?;
    if removed {
        Ok(change)
    } else {
        Err(unknown_error("route", what))
    }
}

/// Adds a route in place of one with the same method and prefix.
fn put_route(routes: &mut Vec<Route>, route: Route) {
    routes.retain(|other| other.method != route.method || other.prefix != route.prefix);
    routes.push(route);
    routes.sort_by(|a, b| (&a.prefix, &a.method).cmp(&(&b.prefix, &b.method)));
}

/// Builds the removal of a thing, which must be of the stated kind.
fn remove(named: Named, catalog: &Catalog) -> Result<Change> {
    let change = match named {
        Named::Workspace(name) => Change::RemoveWorkspace(name),
        Named::Model(name) if catalog.models().contains(&name) => Change::RemoveArtifact(name),
        Named::Model(name) => return Err(unknown_error("model", name.as_str())),
        Named::Adapter(name) if catalog.adapters().contains(&name) => Change::RemoveArtifact(name),
        Named::Adapter(name) => return Err(unknown_error("adapter", name.as_str())),
        Named::Endpoint(name) => Change::RemoveEndpoint(name),
        Named::Service(name) => Change::RemoveService(name),
    };
    Ok(change)
}
