//! Resolves a command against the state: omitted clauses keep the values in force.

use quetzalpick_core::id::{Artifact, Domain, Endpoint, Revision, Service, Version, Workspace};
use quetzalpick_core::record::{
    Adapter, Change, EndpointKind, EndpointSpec, Key, Model, Route, ServiceSpec, WorkspaceSpec,
};
use quetzalpick_core::state::{Catalog, State};

use crate::command::{Action, Command, Mode, ObjectKind, Selection};
use crate::errors::{Result, exists_error, missing_error, unknown_error};

/// Output tokens charged for a request without a limit, if the operator gives no `max-output`.
const DEFAULT_MAX_OUTPUT_TOKENS: u32 = 1024;
/// Accelerators of an engine, if the operator gives no number.
const DEFAULT_ACCELERATORS: u32 = 1;

/// `Resolution` holds the change to append to the log for a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Resolution {
    /// The change with all values filled in.
    pub change: Change,
    /// Revision that the change is conditional on: the one given by the operator, else that of the values filled in.
    pub expect: Option<Revision>,
}

/// Resolves a command into the change to append.
///
/// # Errors
///
/// `Error::Unknown`, `Error::Exists` or `Error::Missing`; everything else is validated by the fold.
pub fn resolve(command: &Command, state: &State) -> Result<Resolution> {
    let change = build_change(command.action.clone(), state.catalog())?;
    // A change filled in with current values is valid only while those are in force.
    let uses_current_values = matches!(
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
        .or_else(|| uses_current_values.then(|| state.revision()));
    Ok(Resolution { change, expect })
}

/// Builds the change for an action.
fn build_change(action: Action, catalog: &Catalog) -> Result<Change> {
    match action {
        Action::Workspace {
            mode,
            name,
            rate,
            burst,
            artifacts,
            services,
        } => {
            let existing = catalog.workspaces().get(&name).map(|(_, spec)| spec);
            let existing = check_existence(mode, existing, "workspace", name.as_str())?;
            build_workspace(name, existing, rate, burst, artifacts, services)
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
            let existing =
                check_existence(mode, catalog.models().get(&name), "model", name.as_str())?;
            build_model(name, existing, version, memory_mb, max_output)
        }
        Action::Adapter {
            mode,
            name,
            base,
            version,
            memory_mb,
        } => {
            let existing = check_existence(
                mode,
                catalog.adapters().get(&name),
                "adapter",
                name.as_str(),
            )?;
            build_adapter(name, existing, base, version, memory_mb)
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
            let existing = check_existence(
                mode,
                catalog.endpoints().get(&name),
                "endpoint",
                name.as_str(),
            )?;
            let kind = build_engine_kind(&name, existing, memory_mb, accelerators, fencing)?;
            build_endpoint(name, existing, kind, address, domain)
        }
        Action::Instance {
            mode,
            name,
            service,
            address,
            domain,
        } => {
            let existing = check_existence(
                mode,
                catalog.endpoints().get(&name),
                "endpoint",
                name.as_str(),
            )?;
            let kind = build_instance_kind(&name, existing, service)?;
            build_endpoint(name, existing, kind, address, domain)
        }
        Action::Drain(name, draining) => Ok(Change::Drain(name, draining)),
        Action::Service { mode, name, charge } => {
            let existing = check_existence(
                mode,
                catalog.services().get(&name),
                "service",
                name.as_str(),
            )?;
            let mut spec = existing.cloned().unwrap_or_default();
            spec.charge = charge.unwrap_or(spec.charge);
            Ok(Change::SetService(name, spec))
        }
        Action::Route(service, route) => {
            edit_routes(catalog, service, |routes| insert_route(routes, route))
        }
        Action::Unroute {
            service,
            method,
            prefix,
        } => remove_route(catalog, service, &method, &prefix),
        Action::Remove(object) => build_removal(object, catalog),
        Action::Retire(vm) => Ok(Change::RetireVm(vm)),
    }
}

/// Checks that an object to create does not exist and one to change does, and returns the existing one.
fn check_existence<'a, T>(
    mode: Mode,
    existing: Option<&'a T>,
    kind: &str,
    name: &str,
) -> Result<Option<&'a T>> {
    match (mode, existing) {
        (Mode::Create, Some(_)) => Err(exists_error(kind, name)),
        (Mode::Set, None) => Err(unknown_error(kind, name)),
        _ => Ok(existing),
    }
}

fn build_workspace(
    name: Workspace,
    existing: Option<&WorkspaceSpec>,
    rate: Option<u64>,
    burst: Option<u64>,
    artifacts: Option<Selection<Artifact>>,
    services: Option<Selection<Service>>,
) -> Result<Change> {
    let missing = |clause| missing_error("workspace", name.as_str(), clause);
    let spec = WorkspaceSpec {
        rate: rate
            .or(existing.map(|spec| spec.rate))
            .ok_or_else(|| missing("rate"))?,
        burst: burst
            .or(existing.map(|spec| spec.burst))
            .ok_or_else(|| missing("burst"))?,
        artifacts: names_or_existing(artifacts, existing.map(|spec| &spec.artifacts)),
        services: names_or_existing(services, existing.map(|spec| &spec.services)),
    };
    Ok(Change::SetWorkspace(name, spec))
}

/// Returns the given names, else the existing ones, else an empty list, which means all.
fn names_or_existing<T: Clone>(given: Option<Selection<T>>, existing: Option<&Vec<T>>) -> Vec<T> {
    match given {
        Some(selection) => selection.into_names(),
        None => existing.cloned().unwrap_or_default(),
    }
}

fn build_model(
    name: Artifact,
    existing: Option<&Model>,
    version: Option<Version>,
    memory_mb: Option<u64>,
    max_output: Option<u32>,
) -> Result<Change> {
    let missing = |clause| missing_error("model", name.as_str(), clause);
    let model = Model {
        version: version
            .or(existing.map(|model| model.version))
            .ok_or_else(|| missing("version"))?,
        memory_mb: memory_mb
            .or(existing.map(|model| model.memory_mb))
            .ok_or_else(|| missing("memory"))?,
        max_output: max_output
            .or(existing.map(|model| model.max_output))
            .unwrap_or(DEFAULT_MAX_OUTPUT_TOKENS),
    };
    Ok(Change::SetModel(name, model))
}

fn build_adapter(
    name: Artifact,
    existing: Option<&Adapter>,
    base: Option<Artifact>,
    version: Option<Version>,
    memory_mb: Option<u64>,
) -> Result<Change> {
    let missing = |clause| missing_error("adapter", name.as_str(), clause);
    let adapter = Adapter {
        base: base
            .or(existing.map(|adapter| adapter.base.clone()))
            .ok_or_else(|| missing("on"))?,
        version: version
            .or(existing.map(|adapter| adapter.version))
            .ok_or_else(|| missing("version"))?,
        memory_mb: memory_mb
            .or(existing.map(|adapter| adapter.memory_mb))
            .ok_or_else(|| missing("memory"))?,
    };
    Ok(Change::SetAdapter(name, adapter))
}

/// Builds an engine's endpoint kind from the given clauses and the existing values.
fn build_engine_kind(
    name: &Endpoint,
    existing: Option<&EndpointSpec>,
    memory_mb: Option<u64>,
    accelerators: Option<u32>,
    fencing: Option<bool>,
) -> Result<EndpointKind> {
    let current = existing.and_then(|spec| engine_fields(&spec.kind));
    let memory_mb = memory_mb.or(current.map(|(_, memory, _)| memory));
    Ok(EndpointKind::Engine {
        accelerators: accelerators
            .or(current.map(|(count, ..)| count))
            .unwrap_or(DEFAULT_ACCELERATORS),
        memory_mb: memory_mb.ok_or_else(|| missing_error("engine", name.as_str(), "memory"))?,
        checks_fencing: fencing
            .or(current.map(|(.., checks)| checks))
            .unwrap_or(false),
    })
}

/// Builds an instance's endpoint kind from the given service or the existing one.
fn build_instance_kind(
    name: &Endpoint,
    existing: Option<&EndpointSpec>,
    service: Option<Service>,
) -> Result<EndpointKind> {
    let current = existing.and_then(|spec| instance_service(&spec.kind).cloned());
    let service = service
        .or(current)
        .ok_or_else(|| missing_error("instance", name.as_str(), "of"))?;
    Ok(EndpointKind::Service { service })
}

/// Builds the change that creates or updates an endpoint.
fn build_endpoint(
    name: Endpoint,
    existing: Option<&EndpointSpec>,
    kind: EndpointKind,
    address: Option<String>,
    domain: Option<Domain>,
) -> Result<Change> {
    let missing = |clause| missing_error("endpoint", name.as_str(), clause);
    let address = address
        .or(existing.map(|spec| spec.address.clone()))
        .ok_or_else(|| missing("at"))?;
    let domain = domain
        .or(existing.map(|spec| spec.domain.clone()))
        .ok_or_else(|| missing("domain"))?;
    let draining = existing.is_some_and(|spec| spec.draining);
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

/// Returns the accelerators, memory in MB and fencing support of an engine; `None` for an instance.
fn engine_fields(kind: &EndpointKind) -> Option<(u32, u64, bool)> {
    match kind {
        EndpointKind::Engine {
            accelerators,
            memory_mb,
            checks_fencing,
        } => Some((*accelerators, *memory_mb, *checks_fencing)),
        EndpointKind::Service { .. } => None,
    }
}

/// Returns the service of an instance; `None` for an engine.
fn instance_service(kind: &EndpointKind) -> Option<&Service> {
    match kind {
        EndpointKind::Service { service } => Some(service),
        EndpointKind::Engine { .. } => None,
    }
}

/// Builds the change that edits the routes of a service.
fn edit_routes(
    catalog: &Catalog,
    name: Service,
    edit: impl FnOnce(&mut Vec<Route>),
) -> Result<Change> {
    let existing = catalog.services().get(&name);
    let mut spec: ServiceSpec = existing
        .cloned()
        .ok_or_else(|| unknown_error("service", name.as_str()))?;
    edit(&mut spec.routes);
    Ok(Change::SetService(name, spec))
}

/// Builds the change that removes a route, which must exist.
fn remove_route(catalog: &Catalog, service: Service, method: &str, prefix: &str) -> Result<Change> {
    let label = format!("{method} {prefix} of {service}");
    let mut removed = false;
    let change = edit_routes(catalog, service, |routes| {
        let before = routes.len();
        routes.retain(|route| route.method != method || route.prefix != prefix);
        removed = routes.len() < before;
    })?;
    if removed {
        Ok(change)
    } else {
        Err(unknown_error("route", label))
    }
}

/// Inserts a route, replacing one with the same method and prefix.
fn insert_route(routes: &mut Vec<Route>, route: Route) {
    routes.retain(|other| other.method != route.method || other.prefix != route.prefix);
    routes.push(route);
    routes.sort_by(|a, b| (&a.prefix, &a.method).cmp(&(&b.prefix, &b.method)));
}

/// Builds the change that removes an object, which must be of the given kind.
fn build_removal(object: ObjectKind, catalog: &Catalog) -> Result<Change> {
    let change = match object {
        ObjectKind::Workspace(name) => Change::RemoveWorkspace(name),
        ObjectKind::Model(name) if catalog.models().contains(&name) => Change::RemoveArtifact(name),
        ObjectKind::Model(name) => return Err(unknown_error("model", name.as_str())),
        ObjectKind::Adapter(name) if catalog.adapters().contains(&name) => {
            Change::RemoveArtifact(name)
        }
        ObjectKind::Adapter(name) => return Err(unknown_error("adapter", name.as_str())),
        ObjectKind::Endpoint(name) => Change::RemoveEndpoint(name),
        ObjectKind::Service(name) => Change::RemoveService(name),
    };
    Ok(change)
}
