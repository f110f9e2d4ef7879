//! One engine as the leader sees it: what it holds, and the order that is open there.

use quetzalpick_core::id::Artifact;

use crate::fleet::{Spec, State};
use crate::place::copy::{is_adapter, model_of};
use crate::place::{Action, Copy, Order, OrderResult, Phase, Report};

/// Time by which a report may be older than the moment at which it was asked for, in ms.
const LAG_MS: u64 = 400;

/// Time that an adapter takes to be there once its order is accepted, in ms.
const ADAPTER_LOAD_MS: u64 = 12;

/// Pause before an order that was not answered, or that met another one, is sent again, in ms.
const AGAIN_MS: u64 = 150;

/// Time in which VMs learn that they are to use other copies, in ms: they ask the leader several times a second.
pub(crate) const RETIRE_MS: u64 = 350;

/// Pause between two reports of one engine, in ms.
const REPORT_PAUSE_MS: u64 = 200;

/// Pause between two reports of an engine that could not be reached, in ms.
const LOST_PAUSE_MS: u64 = 600;

/// `Open` is an order whose outcome is not known yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Open {
    pub(crate) order: Order,
    /// It is sent again after this time, in ms; `None` while it is on its way.
    pub(crate) again_ms: Option<u64>,
}

/// `EngineState` is one engine.
#[derive(Debug, Clone)]
pub struct EngineState {
    /// What it last said of itself.
    pub(crate) spec: Spec,
    /// Orders that it has accepted; `None` before its first report.
    pub(crate) orders: Option<u64>,
    pub(crate) copies: Vec<Copy>,
    pub(crate) open: Option<Open>,
    /// No order for a model is sent before, in ms.
    pub(crate) busy_until_ms: u64,
    /// When the last load from the weight store has ended or will have, in ms.
    pub(crate) stored_ms: Option<u64>,
    /// Model for which room is being made.
    pub(crate) promised: Option<Artifact>,
    /// Whether its own account of itself is wanted.
    pub(crate) asks_report: bool,
    /// It is not asked again before, in ms.
    pub(crate) next_report_ms: u64,
    /// Whether its entry is there.
    pub(crate) present: bool,
    /// Whether it could not be reached of late.
    pub(crate) lost: bool,
    /// Whether a VM met something that speaks against its being there.
    pub(crate) suspected: bool,
    /// Whether it was doubted and did not report then, and has not reported since.
    pub(crate) down: bool,
}

impl EngineState {
    /// Takes in an engine that was not known.
    pub(crate) fn new(now_ms: u64, spec: Spec) -> Self {
        let mut engine = Self {
            orders: None,
            copies: Vec::new(),
            open: None,
            busy_until_ms: 0,
            stored_ms: None,
            promised: None,
            asks_report: true,
            next_report_ms: 0,
            present: true,
            lost: false,
            suspected: false,
            down: false,
            spec,
        };
        // The entry may be old, and serves only until the first report.
        engine.hold(now_ms, &engine.spec.copies.clone());
        engine
    }

    /// Returns the models and adapters that serve, sorted.
    pub fn held(&self) -> Vec<Artifact> {
        let held = self.copies.iter().filter(|copy| copy.is_held());
        held.map(|copy| copy.artifact.clone()).collect()
    }

    /// Notes that it did not report when asked.
    pub(crate) fn report_failed(&mut self) {
        self.lost = true;
        self.down |= self.suspected;
    }

    /// Tells whether it takes new requests.
    pub(crate) fn is_usable(&self) -> bool {
        self.present && !self.lost && self.spec.state == State::Ready
    }

    /// Tells whether an order may be sent to it now.
    pub(crate) fn is_idle(&self, now_ms: u64) -> bool {
        let free = self.open.is_none() && now_ms >= self.busy_until_ms;
        self.is_usable() && free && self.orders.is_some() && !self.asks_report
    }

    pub(crate) fn copy(&self, artifact: &Artifact) -> Option<&Copy> {
        self.copies.iter().find(|copy| copy.artifact == *artifact)
    }

    pub(crate) fn holds(&self, artifact: &Artifact) -> bool {
        self.copy(artifact).is_some_and(Copy::is_held)
    }

    /// Tells whether an artifact serves here and no order takes it away.
    pub(crate) fn keeps(&self, artifact: &Artifact) -> bool {
        let order = self.open.as_ref().map(|open| &open.order);
        let unloads = order.is_some_and(|order| {
            let concerns = order.artifact() == artifact || order.model == *artifact;
            order.action == Action::Unload && order.adapter.is_none() && concerns
        });
        !unloads && self.holds(artifact)
    }

    /// Tells whether an artifact serves here, or will.
    pub(crate) fn expects(&self, artifact: &Artifact) -> bool {
        let order = self.open.as_ref().map(|open| &open.order);
        let concerned = order.filter(|order| order.artifact() == artifact);
        if let Some(order) = concerned {
            return order.action == Action::Load;
        }
        let promised = self.promised.as_ref() == Some(artifact);
        promised || self.copy(artifact).is_some_and(Copy::is_expected)
    }

    /// Returns the models that serve here.
    pub(crate) fn held_models(&self) -> impl Iterator<Item = &Artifact> {
        let held = self.copies.iter().filter(|copy| copy.is_held());
        let models = held.filter(|copy| !is_adapter(&copy.artifact));
        models.map(|copy| &copy.artifact)
    }

    /// Returns the models that it holds, or that an order or a promise concerns, sorted.
    pub(crate) fn models(&self) -> Vec<&Artifact> {
        let held = self.copies.iter().map(|copy| &copy.artifact);
        let ordered = self.open.iter().map(|open| &open.order.model);
        let concerned = held.chain(&self.promised).chain(ordered);
        let mut models: Vec<&Artifact> =
            concerned.filter(|artifact| !is_adapter(artifact)).collect();
        models.sort_unstable();
        models.dedup();
        models
    }

    /// Returns the adapters that take places, those being loaded or unloaded included.
    pub(crate) fn adapters(&self) -> impl Iterator<Item = &Copy> {
        self.copies.iter().filter(|copy| is_adapter(&copy.artifact))
    }

    /// Takes in what the engine says of itself in its entry.
    pub(crate) fn observe(&mut self, now_ms: u64, spec: Spec) {
        if !self.spec.is_same_incarnation(&spec) {
            *self = Self::new(now_ms, spec);
            return;
        }
        self.present = true;
        // An entry may be older than the last order, so that it takes nothing away.
        if self.orders.is_none() {
            self.hold(now_ms, &spec.copies);
        }
        self.spec = spec;
    }

    /// Takes in a report that was asked for at `asked_ms`.
    pub(crate) fn reported(&mut self, asked_ms: u64, now_ms: u64, report: &Report) {
        self.lost = false;
        self.down = false;
        // Reports lag, so that one may be older than an order that was accepted.
        if self.orders.is_some_and(|orders| report.orders < orders) {
            return;
        }
        // What a busy engine loads is not in its list.
        let news = self.orders != Some(report.orders);
        if news && report.busy {
            self.orders = None;
            self.asks_report = true;
            return;
        }
        // What it does takes no time that is known, as when requests of an adapter that is unloaded still run.
        self.asks_report = report.busy;
        if news {
            self.begin_anew(now_ms, report);
        } else {
            self.confirm(asked_ms, now_ms, report);
        }
    }

    /// Takes in a report of an engine whose orders were not all known.
    fn begin_anew(&mut self, now_ms: u64, report: &Report) {
        self.orders = Some(report.orders);
        let overtaken = |open: &mut Open| open.order.expected_orders < report.orders;
        self.open.take_if(overtaken);
        self.promised = None;
        let is_named = |copy: &Copy| report.copies.binary_search(&copy.artifact).is_ok();
        self.copies.retain(is_named);
        self.hold(now_ms, &report.copies);
        let until_ms = now_ms + ADAPTER_LOAD_MS;
        for adapter in &report.coming {
            self.put(now_ms, adapter.clone(), Phase::Loading { until_ms });
        }
    }

    /// Takes in a report of an engine whose orders are known: loads and unloads that have ended.
    fn confirm(&mut self, asked_ms: u64, now_ms: u64, report: &Report) {
        let is_named = |copy: &Copy| report.copies.binary_search(&copy.artifact).is_ok();
        let is_coming = |copy: &Copy| report.coming.contains(&copy.artifact);
        let is_old = |copy: &Copy| asked_ms >= copy.since_ms + LAG_MS;
        self.copies.retain(|copy| {
            let loading = matches!(copy.phase, Phase::Loading { .. });
            loading || is_named(copy) || is_coming(copy) || !is_old(copy)
        });
        for copy in &mut self.copies {
            let loading = matches!(copy.phase, Phase::Loading { .. });
            if loading && is_named(copy) {
                copy.phase = Phase::Held;
                copy.since_ms = now_ms;
            }
        }
    }

    /// Lets VMs use other copies of a model, to make room for another model or for one that will be asked for.
    pub(crate) fn retire(&mut self, now_ms: u64, model: Artifact, promised: Option<Artifact>) {
        self.promised = promised;
        self.put(now_ms, model, Phase::Retiring);
    }

    /// Lets VMs use a copy again that was to make room.
    pub(crate) fn take_back(&mut self, now_ms: u64, model: Artifact) {
        self.promised = None;
        self.put(now_ms, model, Phase::Held);
    }

    /// Returns the model that VMs are leaving.
    pub(crate) fn retiring(&self) -> Option<&Artifact> {
        self.leaving().map(|copy| &copy.artifact)
    }

    /// Returns the model that VMs have had the time to leave.
    pub(crate) fn retired(&self, now_ms: u64) -> Option<&Artifact> {
        let is_left = |copy: &&Copy| now_ms >= copy.since_ms + RETIRE_MS;
        self.leaving().filter(is_left).map(|copy| &copy.artifact)
    }

    fn leaving(&self) -> Option<&Copy> {
        let is_leaving = |copy: &&Copy| copy.phase == Phase::Retiring;
        self.copies.iter().find(is_leaving)
    }

    /// Marks an order as being on its way.
    pub(crate) fn send(&mut self, order: Order) {
        if self.promised.as_ref() == Some(&order.model) && order.action == Action::Load {
            self.promised = None;
        }
        let again_ms = None;
        self.open = Some(Open { order, again_ms });
    }

    /// Takes in the engine's answer to the open order; `took_ms` is how long its effect takes.
    pub(crate) fn settle(&mut self, now_ms: u64, result: Option<OrderResult>, took_ms: u64) {
        let Some(open) = &mut self.open else { return };
        match result {
            Some(OrderResult::Accepted) => {
                let order = open.order.clone();
                self.open = None;
                self.orders = self.orders.max(Some(order.expected_orders + 1));
                self.take_effect(now_ms, &order, took_ms);
            }
            Some(OrderResult::AlreadyDone) => {
                let order = open.order.clone();
                self.open = None;
                self.holds_already(now_ms, &order);
            }
            Some(OrderResult::Conflict | OrderResult::Misdirected | OrderResult::Refused) => {
                self.open = None;
                self.asks_report = true;
                self.promised = None;
                self.next_report_ms = now_ms + AGAIN_MS;
            }
            Some(OrderResult::Fenced) => self.open = None,
            // The same order is sent again: whichever arrives second is void.
            None => open.again_ms = Some(now_ms + AGAIN_MS),
        }
    }

    /// Returns the open order if it is due to be sent again, and marks it as sent.
    pub(crate) fn resend(&mut self, now_ms: u64) -> Option<Order> {
        let open = self.open.as_mut().filter(|_| !self.lost)?;
        open.again_ms.take_if(|at| now_ms >= *at)?;
        Some(open.order.clone())
    }

    /// Notes what an accepted order does.
    fn take_effect(&mut self, now_ms: u64, order: &Order, took_ms: u64) {
        let artifact = order.artifact().clone();
        match (order.action, &order.adapter) {
            (Action::Load, Some(_)) => {
                let until_ms = now_ms + ADAPTER_LOAD_MS;
                self.put(now_ms, artifact, Phase::Loading { until_ms });
            }
            (Action::Load, None) => {
                let until_ms = now_ms + took_ms;
                self.busy_until_ms = until_ms;
                self.put(now_ms, artifact, Phase::Loading { until_ms });
            }
            (Action::Unload, Some(_)) => self.put(now_ms, artifact, Phase::Unloading),
            (Action::Unload, None) => {
                self.busy_until_ms = now_ms + AGAIN_MS;
                let is_of_model = |copy: &Copy| {
                    is_adapter(&copy.artifact) && model_of(&copy.artifact) == artifact
                };
                self.copies.retain(|copy| !is_of_model(copy));
                self.put(now_ms, artifact, Phase::Unloading);
            }
        }
    }

    /// Notes that what an order asks for holds already.
    fn holds_already(&mut self, now_ms: u64, order: &Order) {
        let artifact = order.artifact();
        match order.action {
            Action::Load => {
                self.put(now_ms, artifact.clone(), Phase::Held);
                self.asks_report = true;
            }
            // An adapter without requests is unloaded at once, which counts as an order.
            Action::Unload => {
                self.copies.retain(|copy| copy.artifact != *artifact);
                self.orders = self.orders.max(Some(order.expected_orders + 1));
            }
        }
    }

    /// Ends adapter loads whose time is over; tells whether any ended.
    pub(crate) fn finish_adapters(&mut self, now_ms: u64) -> bool {
        let mut ended = false;
        for copy in &mut self.copies {
            let due = matches!(copy.phase, Phase::Loading { until_ms } if now_ms >= until_ms);
            if due && is_adapter(&copy.artifact) {
                copy.phase = Phase::Held;
                copy.since_ms = now_ms;
                ended = true;
            }
        }
        ended
    }

    /// Tells whether a report is wanted: after an order that was not understood, or as a model should be there or gone.
    pub(crate) fn wants_report(&self, now_ms: u64) -> bool {
        let due = |copy: &Copy| match copy.phase {
            Phase::Loading { until_ms } => now_ms >= until_ms,
            Phase::Unloading => now_ms >= copy.since_ms + LAG_MS,
            Phase::Held | Phase::Retiring => false,
        };
        let ends = self.open.is_none() && self.copies.iter().any(due);
        let wanted = self.asks_report || ends || self.lost || self.suspected;
        wanted && now_ms >= self.next_report_ms
    }

    /// Notes that it is asked for its report.
    pub(crate) fn report_asked(&mut self, now_ms: u64) {
        let pause_ms = if self.lost || self.suspected {
            LOST_PAUSE_MS
        } else {
            REPORT_PAUSE_MS
        };
        self.next_report_ms = now_ms + pause_ms;
    }

    /// Sets the phase of a copy.
    fn put(&mut self, now_ms: u64, artifact: Artifact, phase: Phase) {
        let at = self
            .copies
            .binary_search_by(|copy| copy.artifact.cmp(&artifact));
        match at {
            Ok(at) if self.copies[at].phase == phase => {}
            Ok(at) => {
                self.copies[at].phase = phase;
                self.copies[at].since_ms = now_ms;
            }
            Err(at) => {
                let copy = Copy {
                    artifact,
                    phase,
                    since_ms: now_ms,
                    used_ms: now_ms,
                };
                self.copies.insert(at, copy);
            }
        }
    }

    /// Takes in that the engine holds copies that were not known.
    fn hold(&mut self, now_ms: u64, held: &[Artifact]) {
        for artifact in held {
            let known = self
                .copy(artifact)
                .is_some_and(|copy| !matches!(copy.phase, Phase::Loading { .. }));
            if !known {
                self.put(now_ms, artifact.clone(), Phase::Held);
            }
        }
    }
}
