//! Limits that contradict each other.

use crate::config::check::{Draft, Field, Finding, Part};
use crate::config::{EngineSpec, Route, Workspace};

pub(super) fn findings(draft: &Draft, stop_ms: Option<u64>) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (index, route) in draft.routes.iter().enumerate() {
        check_route(Part::Route(index), route, stop_ms, &mut findings);
    }
    for (index, service) in draft.services.iter().enumerate() {
        if let Some(engine) = &service.engine {
            check_engine(index, engine, &mut findings);
        }
    }
    for (index, workspace) in draft.workspaces.iter().enumerate() {
        check_workspace(Part::Workspace(index), workspace, &mut findings);
    }
    findings
}

fn check_route(part: Part, route: &Route, stop_ms: Option<u64>, findings: &mut Vec<Finding>) {
    let mut warn = |field, detail: String| findings.push(Finding::warning(part, field, detail));
    let timeout_ms = route.timeout_ms.unwrap_or(u64::MAX);
    if let Some(objective_ms) = route.objective_ms.filter(|ms| *ms > timeout_ms) {
        let detail = format!("{timeout_ms} ms end before the objective of {objective_ms} ms");
        warn(Field::Timeout, detail);
    }
    if let Some(pause_ms) = route.pause_ms.filter(|ms| *ms > timeout_ms) {
        let detail = format!("{pause_ms} ms are longer than the timeout of {timeout_ms} ms");
        warn(Field::Pause, detail);
    }
    if route.pause_ms.is_some() && !route.kind.is_stream() {
        let detail = "has no effect: the answers are no streams".to_owned();
        warn(Field::Pause, detail);
    }
    if route.attempts > 1 && !route.kind.may_repeat() {
        let detail = format!(
            "{} attempts have no effect: the requests may not be repeated",
            route.attempts
        );
        warn(Field::Attempts, detail);
    }
    match (route.timeout_ms, stop_ms) {
        (Some(timeout_ms), Some(stop_ms)) if timeout_ms > stop_ms => {
            let detail =
                format!("{timeout_ms} ms are longer than a VM that stops waits: {stop_ms} ms");
            warn(Field::Timeout, detail);
        }
        _ => {}
    }
}

fn check_engine(service: usize, engine: &EngineSpec, findings: &mut Vec<Finding>) {
    for (index, model) in engine.models.iter().enumerate() {
        let part = Part::Model {
            service,
            model: index,
        };
        if model.memory_mb > engine.memory_mb {
            let detail = format!(
                "no endpoint holds it: {} MB of {} MB",
                model.memory_mb, engine.memory_mb
            );
            findings.push(Finding::error(part, Field::Memory, detail));
        }
        if model.adapters.is_empty() {
            continue;
        }
        if engine.adapter_slots == 0 {
            let detail = "no endpoint holds adapters";
            findings.push(Finding::error(part, Field::Adapters, detail));
        } else if model.memory_mb + model.adapter_memory_mb > engine.memory_mb {
            let detail = "no endpoint holds it with an adapter";
            findings.push(Finding::error(part, Field::Adapters, detail));
        }
    }
    if engine.loads_per_1000_s == 0 && !engine.models.is_empty() {
        let detail = "no model is ever loaded from the weight store";
        findings.push(Finding::warning(
            Part::Service(service),
            Field::Loads,
            detail,
        ));
    }
}

fn check_workspace(part: Part, workspace: &Workspace, findings: &mut Vec<Finding>) {
    let Some(quota) = workspace.quota else {
        return;
    };
    let units = workspace.units(None);
    if quota.burst < units {
        let detail = format!(
            "a request that does not state its size is charged {units} units, more than the burst of {}",
            quota.burst
        );
        findings.push(Finding::warning(part, Field::Quota, detail));
    }
    if quota.rate < units {
        let detail = format!("{} units a second are below one request", quota.rate);
        findings.push(Finding::warning(part, Field::Quota, detail));
    }
}
