//! What differs between two configurations, and what callers will notice of it.

use std::fmt::Display;

use quetzalpick_core::id;
use quetzalpick_core::limit::Warmup;
use quetzalpick_core::table::Table;
use serde::Serialize;
use strum::Display;

use crate::config::{Config, EngineSpec, Kind, Model, Route, Service, Workspace};

/// `Action` tells how an entry differs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Only the newer configuration has it.
    Added,
    /// Only the older configuration has it.
    Removed,
    /// Both have it.
    Changed,
}

/// `Difference` describes one difference between two configurations.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// How the entry differs.
    pub action: Action,
    /// The entry, such as `route HOST/PATH/`.
    pub entry: String,
    /// What changes, without keys.
    pub changes: Vec<String>,
    /// What callers will notice; `None` if nothing.
    pub effect: Option<&'static str>,
}

/// Returns the differences from one configuration to a newer one.
pub fn differences(old: &Config, new: &Config) -> Vec<Difference> {
    let mut found = Vec::new();
    let routes = |config: &Config| -> Table<String, Route> {
        let routes = config.routes().iter().cloned();
        routes
            .map(|route| (format!("route {}{}", route.host, route.prefix), route))
            .collect()
    };
    compare(&routes(old), &routes(new), &mut found, route_changes);
    let services = |config: &Config| -> Table<String, Service> {
        let services = config.services().iter();
        services
            .map(|(name, service)| (format!("service {name}"), service.clone()))
            .collect()
    };
    compare(&services(old), &services(new), &mut found, service_changes);
    let workspaces = |config: &Config| -> Table<String, Workspace> {
        let workspaces = config.workspaces().iter();
        workspaces
            .map(|(name, workspace)| (format!("workspace {name}"), workspace.clone()))
            .collect()
    };
    compare(
        &workspaces(old),
        &workspaces(new),
        &mut found,
        workspace_changes,
    );
    let mut limits = Changes::default();
    let (former, newer) = (old.limits(), new.limits());
    limits.note("body in bytes", former.body_bytes, newer.body_bytes);
    limits.note("head in bytes", former.head_bytes, newer.head_bytes);
    limits.note("idle time in ms", former.idle_ms, newer.idle_ms);
    if !limits.0.is_empty() {
        found.push(Difference {
            action: Action::Changed,
            entry: "limits".to_owned(),
            changes: limits.0,
            effect: Some("requests beyond the limits are refused"),
        });
    }
    found
}

/// `Changes` collects the fields that differ.
#[derive(Debug, Default)]
struct Changes(Vec<String>);

impl Changes {
    fn note<T: PartialEq + Display>(&mut self, field: &str, old: T, new: T) {
        if old != new {
            self.0.push(format!("{field}: {old} -> {new}"));
        }
    }

    fn note_option<T: Display>(&mut self, field: &str, old: Option<T>, new: Option<T>) {
        let text = |value: Option<T>| value.map_or_else(|| "none".to_owned(), |v| v.to_string());
        self.note(field, text(old), text(new));
    }

    /// Notes the names that only one of the two has.
    fn note_names(&mut self, field: &str, old: &[impl Display], new: &[impl Display]) {
        let (old, new) = (to_text(old), to_text(new));
        let only = |list: &[String], other: &[String]| {
            let only = list.iter().filter(|name| !other.contains(name));
            only.cloned().collect::<Vec<_>>().join(" ")
        };
        for (verb, names) in [("added", only(&new, &old)), ("removed", only(&old, &new))] {
            if !names.is_empty() {
                self.0.push(format!("{field} {verb}: {names}"));
            }
        }
    }
}

/// `Entry` names what callers notice when an entry is added, removed or changed.
trait Entry: PartialEq {
    const ADDED: Option<&'static str>;
    const REMOVED: Option<&'static str>;
    /// Returns what callers notice of a change.
    fn effect(&self, newer: &Self) -> Option<&'static str>;
}

impl Entry for Route {
    const ADDED: Option<&'static str> = Some("requests that it matches are served by it");
    const REMOVED: Option<&'static str> =
        Some("its requests go to a route with a shorter path, or get 404");

    fn effect(&self, newer: &Self) -> Option<&'static str> {
        if self.open && !newer.open {
            Some("requests without a key get 401")
        } else if self.targets != newer.targets {
            Some("requests go to other services")
        } else {
            Some("requests are handled by other rules")
        }
    }
}

impl Entry for Service {
    const ADDED: Option<&'static str> = None;
    const REMOVED: Option<&'static str> = Some("requests on routes to it are refused");

    fn effect(&self, newer: &Self) -> Option<&'static str> {
        let models = |service: &Self| {
            let engine = service.engine.iter();
            let models = engine.flat_map(|engine| engine.models.clone());
            models.map(|model| model.name).collect::<Vec<_>>()
        };
        let newer = models(newer);
        let is_removed = models(self).iter().any(|model| !newer.contains(model));
        is_removed.then_some("requests for removed models are refused")
    }
}

impl Entry for Workspace {
    const ADDED: Option<&'static str> = Some("requests with its keys are served");
    const REMOVED: Option<&'static str> = Some("requests with its keys get 401");

    fn effect(&self, newer: &Self) -> Option<&'static str> {
        if self.keys.iter().any(|key| !newer.keys.contains(key)) {
            Some("requests with withdrawn keys get 401")
        } else if self.quota != newer.quota {
            Some("another rate of requests gets 429")
        } else {
            None
        }
    }
}

fn compare<T: Entry>(
    old: &Table<String, T>,
    new: &Table<String, T>,
    found: &mut Vec<Difference>,
    changes: impl Fn(&T, &T) -> Changes,
) {
    let mut add = |action, entry: &String, changes: Vec<String>, effect| {
        found.push(Difference {
            action,
            entry: entry.clone(),
            changes,
            effect,
        });
    };
    for (entry, value) in old.iter() {
        match new.get(entry) {
            None => add(Action::Removed, entry, Vec::new(), T::REMOVED),
            Some(newer) if newer != value => {
                let changes = changes(value, newer).0;
                add(Action::Changed, entry, changes, value.effect(newer));
            }
            Some(_) => {}
        }
    }
    for (entry, _) in new.iter().filter(|(entry, _)| !old.contains(*entry)) {
        add(Action::Added, entry, Vec::new(), T::ADDED);
    }
}

fn to_text(list: &[impl Display]) -> Vec<String> {
    list.iter().map(ToString::to_string).collect()
}

fn route_changes(old: &Route, new: &Route) -> Changes {
    let mut changes = Changes::default();
    changes.note("name", &old.name, &new.name);
    let targets = |route: &Route| -> String {
        let targets = route.targets.iter();
        let targets = targets.map(|target| format!("{}={}", target.service, target.weight));
        targets.collect::<Vec<_>>().join(" ")
    };
    changes.note("services by weight", targets(old), targets(new));
    changes.note("kind", old.kind, new.kind);
    let resumable = |route: &Route| route.kind == Kind::Stream { resumable: true };
    changes.note("resumable", resumable(old), resumable(new));
    changes.note_option("timeout in ms", old.timeout_ms, new.timeout_ms);
    changes.note_option("objective in ms", old.objective_ms, new.objective_ms);
    changes.note_option("pause in ms", old.pause_ms, new.pause_ms);
    changes.note("priority", old.priority, new.priority);
    changes.note("attempts", old.attempts, new.attempts);
    changes.note("open", old.open, new.open);
    changes
}

fn service_changes(old: &Service, new: &Service) -> Changes {
    let mut changes = Changes::default();
    changes.note_option("connections", old.connections, new.connections);
    let [old_warmup, new_warmup] = [old.warmup, new.warmup];
    let duration_ms = |warmup: Warmup| warmup.duration_ms;
    let rate = |warmup: Warmup| warmup.rate;
    changes.note_option(
        "time of a cold start in ms",
        old_warmup.map(duration_ms),
        new_warmup.map(duration_ms),
    );
    changes.note_option(
        "requests a second in a cold start",
        old_warmup.map(rate),
        new_warmup.map(rate),
    );
    let none = EngineSpec {
        models: Vec::new(),
        memory_mb: 0,
        adapter_slots: 0,
        batch: 0,
        cache_tokens: 0,
        loads_per_1000_s: 0,
    };
    let engines = [old, new].map(|service| service.engine.as_ref().unwrap_or(&none));
    let [old, new] = engines;
    let names = |engine: &EngineSpec| -> Vec<id::Artifact> {
        engine
            .models
            .iter()
            .map(|model| model.name.clone())
            .collect()
    };
    changes.note_names("models", &names(old), &names(new));
    let altered = |model: &&Model| {
        let same_name = |other: &&Model| other.name == model.name;
        let former = old.models.iter().find(same_name);
        former.is_some_and(|former| former != *model)
    };
    let altered: Vec<&Model> = new.models.iter().filter(altered).collect();
    let altered: Vec<String> = altered.iter().map(|model| model.name.to_string()).collect();
    if !altered.is_empty() {
        changes
            .0
            .push(format!("models changed: {}", altered.join(" ")));
    }
    changes.note("memory in MB", old.memory_mb, new.memory_mb);
    changes.note("adapter slots", old.adapter_slots, new.adapter_slots);
    changes.note("batch", old.batch, new.batch);
    changes.note("cache in tokens", old.cache_tokens, new.cache_tokens);
    let loads = [old, new].map(|engine| engine.loads_per_1000_s);
    changes.note("loads in 1,000 s", loads[0], loads[1]);
    changes
}

fn workspace_changes(old: &Workspace, new: &Workspace) -> Changes {
    let mut changes = Changes::default();
    let missing = |from: &Workspace, other: &Workspace| {
        let keys = from.keys.iter();
        keys.filter(|key| !other.keys.contains(key)).count()
    };
    let (withdrawn, added) = (missing(old, new), missing(new, old));
    if withdrawn + added > 0 {
        changes
            .0
            .push(format!("keys: {withdrawn} withdrawn, {added} added"));
    }
    changes.note_option("priority", old.priority, new.priority);
    let rate = |workspace: &Workspace| workspace.quota.map(|quota| quota.rate);
    let burst = |workspace: &Workspace| workspace.quota.map(|quota| quota.burst);
    changes.note_option("units a second", rate(old), rate(new));
    changes.note_option("burst", burst(old), burst(new));
    changes.note("counts tokens", old.by_tokens, new.by_tokens);
    changes.note("default tokens", old.default_tokens, new.default_tokens);
    changes
}
