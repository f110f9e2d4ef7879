//! Changes of plain services and their routes.

use crate::id::Service;
use crate::record::{EndpointKind, Route, ServiceSpec};
use crate::state::catalog::Catalog;
use crate::state::catalog::change::check_range;
use crate::state::catalog::path::{PREFIX_MAX_BYTES, is_plain};
use crate::state::outcome::{Reason, conflict, invalid, unknown};

/// Highest charge for one call, in tokens.
const CHARGE_MAX: u64 = 1 << 32;

/// Most routes of one service.
const ROUTES_MAX: usize = 256;

/// Longest method name of a route, in characters.
const METHOD_MAX_CHARS: usize = 32;

/// Validates a route and returns it without a trailing slash in its prefix.
fn validated(route: &Route) -> Result<Route, Reason> {
    let is_method_char = |c: char| c.is_ascii_uppercase() || c == '-';
    let method = &route.method;
    let valid_length = !method.is_empty() && method.len() <= METHOD_MAX_CHARS;
    if method != "*" && !(valid_length && method.chars().all(is_method_char)) {
        return Err(invalid("a route's method is in capitals, or *"));
    }
    if route.prefix.len() > PREFIX_MAX_BYTES || !is_plain(&route.prefix) {
        return Err(invalid(format!(
            "a route's prefix is a plain path of at most {PREFIX_MAX_BYTES} bytes"
        )));
    }
    let trimmed = route.prefix.trim_end_matches('/');
    let prefix = if trimmed.is_empty() { "/" } else { trimmed };
    Ok(Route {
        prefix: prefix.to_owned(),
        ..route.clone()
    })
}

impl Catalog {
    /// Creates or changes a service and its routes.
    pub(super) fn set_service(&mut self, name: &Service, spec: &ServiceSpec) -> Result<(), Reason> {
        check_range("charge", spec.charge, 0..=CHARGE_MAX)?;
        check_range("number of routes", spec.routes.len(), 0..=ROUTES_MAX)?;
        let mut routes = Vec::with_capacity(spec.routes.len());
        for route in &spec.routes {
            let route = validated(route)?;
            let is_duplicate = |r: &Route| r.method == route.method && r.prefix == route.prefix;
            if routes.iter().any(is_duplicate) {
                let Route { method, prefix, .. } = &route;
                return Err(conflict(format!("route {method} {prefix} stands twice")));
            }
            routes.push(route);
        }
        let spec = ServiceSpec { routes, ..*spec };
        self.services.insert(name.clone(), spec);
        Ok(())
    }

    /// Removes a service that no endpoint or workspace refers to.
    pub(super) fn remove_service(&mut self, name: &Service) -> Result<(), Reason> {
        if !self.services.contains(name) {
            return Err(unknown("service", name));
        }
        let runs_service = |kind: &EndpointKind| matches!(kind, EndpointKind::Service { service } if service == name);
        let mut endpoints = self.endpoints.iter();
        if let Some((endpoint, _)) = endpoints.find(|(_, spec)| runs_service(&spec.kind)) {
            return Err(conflict(format!("endpoint {endpoint} serves {name}")));
        }
        let lists_name = |services: &[Service]| services.binary_search(name).is_ok();
        let mut workspaces = self.workspaces.iter();
        if let Some((workspace, _)) = workspaces.find(|(_, (_, spec))| lists_name(&spec.services)) {
            return Err(conflict(format!("workspace {workspace} lists {name}")));
        }
        self.services.remove(name);
        Ok(())
    }
}
