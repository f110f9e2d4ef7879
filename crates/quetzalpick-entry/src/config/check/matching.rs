//! Entries that no request can match, and entries that contradict each other's names.

use quetzalpick_core::id;

use crate::config::check::{Draft, Field, Finding, Part};
use crate::config::{Route, Service};

pub(super) fn findings(draft: &Draft) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (index, route) in draft.routes.iter().enumerate() {
        check_route(draft, index, route, &mut findings);
    }
    for (index, service) in draft.services.iter().enumerate() {
        check_service(draft, index, service, &mut findings);
    }
    check_workspaces(draft, &mut findings);
    findings
}

fn check_route(draft: &Draft, index: usize, route: &Route, findings: &mut Vec<Finding>) {
    let part = Part::Route(index);
    if let Some(shadow) = shadow(draft, index, route) {
        let detail = format!(
            "never matches: route {:?} has the same host and path",
            shadow.name
        );
        findings.push(Finding::warning(part, Field::Prefix, detail));
    }
    if !route.prefix.starts_with('/') {
        let detail = "never matches: paths begin with a slash";
        findings.push(Finding::warning(part, Field::Prefix, detail));
    } else if !route.prefix.ends_with('/') {
        let detail = "also matches longer names, as it does not end with a slash";
        findings.push(Finding::warning(part, Field::Prefix, detail));
    }
    if route.targets.iter().all(|target| target.weight == 0) {
        let detail = "leads to no service";
        findings.push(Finding::error(part, Field::Targets, detail));
    }
    for target in &route.targets {
        let is_target = |service: &Service| service.name == target.service;
        if !draft.services.iter().any(is_target) {
            let detail = format!("leads to the unknown service {:?}", target.service);
            findings.push(Finding::error(part, Field::Targets, detail));
        }
    }
}

/// Returns the last of the later routes that match all that a route, given by its index, does.
fn shadow<'a>(draft: &'a Draft, index: usize, route: &Route) -> Option<&'a Route> {
    let shadows = |other: &&Route| (&other.host, &other.prefix) == (&route.host, &route.prefix);
    draft.routes[index + 1..].iter().rfind(shadows)
}

fn check_service(draft: &Draft, index: usize, service: &Service, findings: &mut Vec<Finding>) {
    let part = Part::Service(index);
    let is_same = |other: &Service| other.name == service.name;
    if draft.services[index + 1..].iter().any(is_same) {
        let detail = "has no effect: a later service has the same name";
        findings.push(Finding::error(part, Field::Name, detail));
    }
    let models = service.engine.iter().flat_map(|engine| &engine.models);
    let models: Vec<&id::Artifact> = models.map(|model| &model.name).collect();
    if !is_reached(draft, &service.name) {
        let detail = "no route leads to it";
        findings.push(Finding::warning(part, Field::Name, detail));
        for model in 0..models.len() {
            let part = Part::Model {
                service: index,
                model,
            };
            let detail = "no route can ask for it";
            findings.push(Finding::warning(part, Field::Name, detail));
        }
    }
    for (model, name) in models.iter().enumerate() {
        if models[model + 1..].contains(name) {
            let part = Part::Model {
                service: index,
                model,
            };
            let detail = "a later model of the service has the same name";
            findings.push(Finding::error(part, Field::Name, detail));
        }
    }
}

/// Returns whether a route that can match leads to a service.
fn is_reached(draft: &Draft, service: &id::Service) -> bool {
    let leads = |(index, route): (usize, &Route)| {
        let targets = || {
            let mut targets = route.targets.iter();
            targets.any(|target| target.weight > 0 && target.service == *service)
        };
        targets() && route.prefix.starts_with('/') && shadow(draft, index, route).is_none()
    };
    draft.routes.iter().enumerate().any(leads)
}

fn check_workspaces(draft: &Draft, findings: &mut Vec<Finding>) {
    for (index, workspace) in draft.workspaces.iter().enumerate() {
        let part = Part::Workspace(index);
        let later = &draft.workspaces[index + 1..];
        if later.iter().any(|other| other.name == workspace.name) {
            let detail = "has no effect: a later workspace has the same name";
            findings.push(Finding::error(part, Field::Name, detail));
        }
        if workspace.keys.is_empty() {
            let detail = "has no key, so that no request is charged to it";
            findings.push(Finding::warning(part, Field::Keys, detail));
        }
        for (number, key) in workspace.keys.iter().enumerate() {
            if workspace.keys[number + 1..].contains(key) {
                let detail = format!("key {number} is there twice");
                findings.push(Finding::warning(part, Field::Keys, detail));
            }
            if let Some(other) = later.iter().find(|other| other.keys.contains(key)) {
                let detail = format!("key {number} belongs to {:?} too", other.name);
                findings.push(Finding::error(part, Field::Keys, detail));
            }
        }
    }
}
