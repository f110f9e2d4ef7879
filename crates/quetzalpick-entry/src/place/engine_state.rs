//! The leader's state of one engine: its copies and its open order.

use quetzalpick_core::id::Artifact;
use quetzalpick_core::limit::Rate;

use crate::fleet::{Spec, State};
use crate::place::copy::{is_adapter, model_of};
use crate::place::{Action, Copy, Order, OrderResult, Phase, Report};

/// Time by which a report's contents may be older than the request for it, in ms.
const REPORT_LAG_MS: u64 = 400;

/// Time from the acceptance of an order for an adapter until it is loaded, in ms.
const ADAPTER_LOAD_MS: u64 = 12;

/// Pause after an unanswered order until it is sent again, after a rejected one until a report is requested, and after an
/// unload of a model until the next order, in ms.
const RETRY_PAUSE_MS: u64 = 150;

/// Time in which all VMs stop using a draining copy, in ms: they receive updates from the leader several times a second.
pub(crate) const DRAIN_MS: u64 = 350;

/// Interval between requests for an engine's reports, in ms.
const REPORT_PAUSE_MS: u64 = 200;

/// Interval between requests for the reports of an unreachable engine, in ms.
const UNREACHABLE_PAUSE_MS: u64 = 600;

/// `OpenOrder` tracks an order whose outcome isn't known yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct OpenOrder {
    pub(crate) order: Order,
    /// When to send it again, in ms; `None` while an attempt is in flight.
    pub(crate) resend_ms: Option<u64>,
}

/// `EngineState` tracks the copies, the open order and the availability of one engine.
#[derive(Debug, Clone)]
pub struct EngineState {
    /// The spec in its last entry.
    pub(crate) spec: Spec,
    /// Number of orders that it has accepted; `None` if a report is needed to find out.
    pub(crate) accepted_orders: Option<u64>,
    pub(crate) copies: Vec<Copy>,
    pub(crate) open_order: Option<OpenOrder>,
    /// No order is sent before this time, in ms.
    pub(crate) busy_until_ms: u64,
    /// Expected end of the last load from the weight store, in ms.
    pub(crate) store_load_end_ms: Option<u64>,
    /// Model for which memory is being freed.
    pub(crate) reserved_for: Option<Artifact>,
    /// Whether its state is uncertain, so that no order is sent before its next report.
    pub(crate) needs_report: bool,
    /// No report is requested before this time, in ms.
    pub(crate) next_report_ms: u64,
    /// Whether it has an entry.
    pub(crate) has_entry: bool,
    /// Whether it couldn't be reached recently.
    pub(crate) unreachable: bool,
    /// Whether any VM suspects that it is gone or has restarted.
    pub(crate) suspected: bool,
    /// Whether it failed to report while suspected, and hasn't reported since.
    pub(crate) down: bool,
    /// Limit of requests that it names.
    pub(crate) limit: Option<Rate>,
}

impl EngineState {
    /// Creates the state of a newly discovered engine from its entry.
    pub(crate) fn new(now_ms: u64, spec: Spec) -> Self {
        let mut engine = Self {
            accepted_orders: None,
            copies: Vec::new(),
            open_order: None,
            busy_until_ms: 0,
            store_load_end_ms: None,
            reserved_for: None,
            needs_report: true,
            next_report_ms: 0,
            has_entry: true,
            unreachable: false,
            suspected: false,
            down: false,
            limit: None,
            spec,
        };
        // The entry may be outdated, and is used only until the first report.
        engine.add_held(now_ms, &engine.spec.copies.clone());
        engine
    }

    /// Returns the models and adapters that serve and aren't being drained, sorted.
    pub fn held(&self) -> Vec<Artifact> {
        let held = self.copies.iter().filter(|copy| copy.is_held());
        held.map(|copy| copy.artifact.clone()).collect()
    }

    /// Records that it didn't answer a request for its report.
    pub(crate) fn record_report_failure(&mut self) {
        self.unreachable = true;
        self.down |= self.suspected;
    }

    /// Returns whether it can be reached and accepts new requests.
    pub(crate) fn is_usable(&self) -> bool {
        self.has_entry && !self.unreachable && self.spec.state == State::Ready
    }

    /// Returns whether it can be relied on for as many requests as it gets.
    pub(crate) fn takes_load(&self) -> bool {
        self.is_usable() && self.limit.is_none()
    }

    /// Returns whether an order may be sent to it now.
    pub(crate) fn is_idle(&self, now_ms: u64) -> bool {
        let free = self.open_order.is_none() && now_ms >= self.busy_until_ms;
        self.is_usable() && free && self.accepted_orders.is_some() && !self.needs_report
    }

    pub(crate) fn copy(&self, artifact: &Artifact) -> Option<&Copy> {
        self.copies.iter().find(|copy| copy.artifact == *artifact)
    }

    pub(crate) fn holds(&self, artifact: &Artifact) -> bool {
        self.copy(artifact).is_some_and(Copy::is_held)
    }

    /// Returns whether an artifact serves here and no order unloads it.
    pub(crate) fn will_keep(&self, artifact: &Artifact) -> bool {
        let order = self.open_order.as_ref().map(|open| &open.order);
        let unloads = order.is_some_and(|order| {
            let concerns = order.artifact() == artifact || order.model == *artifact;
            order.action == Action::Unload && order.adapter.is_none() && concerns
        });
        !unloads && self.holds(artifact)
    }

    /// Returns whether an artifact serves here or is expected to.
    pub(crate) fn will_hold(&self, artifact: &Artifact) -> bool {
        let order = self.open_order.as_ref().map(|open| &open.order);
        let concerned = order.filter(|order| order.artifact() == artifact);
        if let Some(order) = concerned {
            return order.action == Action::Load;
        }
        let is_reserved = self.reserved_for.as_ref() == Some(artifact);
        is_reserved || self.copy(artifact).is_some_and(Copy::is_expected)
    }

    /// Returns the models that serve here.
    pub(crate) fn held_models(&self) -> impl Iterator<Item = &Artifact> {
        let held = self.copies.iter().filter(|copy| copy.is_held());
        let models = held.filter(|copy| !is_adapter(&copy.artifact));
        models.map(|copy| &copy.artifact)
    }

    /// Returns the models that it has copies of, that its open order concerns or that memory is reserved for, sorted.
    pub(crate) fn models(&self) -> Vec<&Artifact> {
        let held = self.copies.iter().map(|copy| &copy.artifact);
        let ordered = self.open_order.iter().map(|open| &open.order.model);
        let concerned = held.chain(&self.reserved_for).chain(ordered);
        let mut models: Vec<&Artifact> =
            concerned.filter(|artifact| !is_adapter(artifact)).collect();
        models.sort_unstable();
        models.dedup();
        models
    }

    /// Returns the adapters that occupy slots, including those being loaded or unloaded.
    pub(crate) fn adapters(&self) -> impl Iterator<Item = &Copy> {
        self.copies.iter().filter(|copy| is_adapter(&copy.artifact))
    }

    /// Applies the engine's entry; an entry of another incarnation of the engine resets the state.
    pub(crate) fn observe(&mut self, now_ms: u64, spec: Spec) {
        if !self.spec.is_same_incarnation(&spec) {
            *self = Self::new(now_ms, spec);
            return;
        }
        self.has_entry = true;
        // An entry may be older than the last order, so it never removes copies.
        if self.accepted_orders.is_none() {
            self.add_held(now_ms, &spec.copies);
        }
        self.spec = spec;
    }

    /// Applies a report that was requested at `requested_ms`.
    pub(crate) fn apply_report(&mut self, requested_ms: u64, now_ms: u64, report: &Report) {
        self.unreachable = false;
        self.down = false;
        // Reports lag, so this one may be older than an accepted order.
        if self
            .accepted_orders
            .is_some_and(|expected| report.accepted_orders < expected)
        {
            return;
        }
        // The report doesn't name the model that a busy engine is loading.
        let is_new = self.accepted_orders != Some(report.accepted_orders);
        if is_new && report.busy {
            self.accepted_orders = None;
            self.needs_report = true;
            return;
        }
        // The remaining time is unknown, for instance while requests of an adapter that is being unloaded still run.
        self.needs_report = report.busy;
        if is_new {
            self.reset_to_report(now_ms, report);
        } else {
            self.confirm_copies(requested_ms, now_ms, report);
        }
    }

    /// Resets the copies to a report whose count of accepted orders differs from the expected one.
    fn reset_to_report(&mut self, now_ms: u64, report: &Report) {
        self.accepted_orders = Some(report.accepted_orders);
        let is_superseded =
            |open: &mut OpenOrder| open.order.expected_orders < report.accepted_orders;
        self.open_order.take_if(is_superseded);
        self.reserved_for = None;
        let is_listed = |copy: &Copy| report.copies.binary_search(&copy.artifact).is_ok();
        self.copies.retain(is_listed);
        self.add_held(now_ms, &report.copies);
        let until_ms = now_ms + ADAPTER_LOAD_MS;
        for adapter in &report.loading_adapters {
            self.set_phase(now_ms, adapter.clone(), Phase::Loading { until_ms });
        }
    }

    /// Applies a report with the expected count of accepted orders: ends completed loads and unloads.
    fn confirm_copies(&mut self, requested_ms: u64, now_ms: u64, report: &Report) {
        let is_listed = |copy: &Copy| report.copies.binary_search(&copy.artifact).is_ok();
        let is_loading_adapter = |copy: &Copy| report.loading_adapters.contains(&copy.artifact);
        let is_old = |copy: &Copy| requested_ms >= copy.since_ms + REPORT_LAG_MS;
        self.copies.retain(|copy| {
            let loading = matches!(copy.phase, Phase::Loading { .. });
            loading || is_listed(copy) || is_loading_adapter(copy) || !is_old(copy)
        });
        for copy in &mut self.copies {
            let loading = matches!(copy.phase, Phase::Loading { .. });
            if loading && is_listed(copy) {
                copy.phase = Phase::Held;
                copy.since_ms = now_ms;
            }
        }
    }

    /// Starts draining a model, so that VMs use its other copies, and reserves its memory for another model if one is given.
    pub(crate) fn drain(&mut self, now_ms: u64, model: Artifact, reserved_for: Option<Artifact>) {
        self.reserved_for = reserved_for;
        self.set_phase(now_ms, model, Phase::Draining);
    }

    /// Returns a draining copy to service and drops the reservation.
    pub(crate) fn cancel_drain(&mut self, now_ms: u64, model: Artifact) {
        self.reserved_for = None;
        self.set_phase(now_ms, model, Phase::Held);
    }

    /// Returns the model that is being drained.
    pub(crate) fn draining(&self) -> Option<&Artifact> {
        self.draining_copy().map(|copy| &copy.artifact)
    }

    /// Returns the draining model if VMs have had enough time to stop using it.
    pub(crate) fn drained(&self, now_ms: u64) -> Option<&Artifact> {
        let is_due = |copy: &&Copy| now_ms >= copy.since_ms + DRAIN_MS;
        self.draining_copy()
            .filter(is_due)
            .map(|copy| &copy.artifact)
    }

    fn draining_copy(&self) -> Option<&Copy> {
        let is_draining = |copy: &&Copy| copy.phase == Phase::Draining;
        self.copies.iter().find(is_draining)
    }

    /// Records an order as sent; its outcome is not known yet.
    pub(crate) fn begin_order(&mut self, order: Order) {
        if self.reserved_for.as_ref() == Some(&order.model) && order.action == Action::Load {
            self.reserved_for = None;
        }
        let resend_ms = None;
        self.open_order = Some(OpenOrder { order, resend_ms });
    }

    /// Applies the engine's answer to the open order; `duration_ms` is the time that a load takes.
    pub(crate) fn apply_result(
        &mut self,
        now_ms: u64,
        result: Option<OrderResult>,
        duration_ms: u64,
    ) {
        let Some(open) = &mut self.open_order else {
            return;
        };
        match result {
            Some(OrderResult::Accepted) => {
                let order = open.order.clone();
                self.open_order = None;
                self.accepted_orders = self.accepted_orders.max(Some(order.expected_orders + 1));
                self.apply_accepted(now_ms, &order, duration_ms);
            }
            Some(OrderResult::AlreadyDone) => {
                let order = open.order.clone();
                self.open_order = None;
                self.apply_already_done(now_ms, &order);
            }
            Some(OrderResult::Conflict | OrderResult::Misdirected | OrderResult::Refused) => {
                self.open_order = None;
                self.needs_report = true;
                self.reserved_for = None;
                self.next_report_ms = now_ms + RETRY_PAUSE_MS;
            }
            Some(OrderResult::Fenced) => self.open_order = None,
            // The same order is sent again; the engine rejects whichever attempt arrives second.
            None => open.resend_ms = Some(now_ms + RETRY_PAUSE_MS),
        }
    }

    /// Returns the open order if it is due to be resent, and marks it as in flight.
    pub(crate) fn resend(&mut self, now_ms: u64) -> Option<Order> {
        let open = self.open_order.as_mut().filter(|_| !self.unreachable)?;
        open.resend_ms.take_if(|at| now_ms >= *at)?;
        Some(open.order.clone())
    }

    /// Applies the effect of an accepted order.
    fn apply_accepted(&mut self, now_ms: u64, order: &Order, duration_ms: u64) {
        let artifact = order.artifact().clone();
        match (order.action, &order.adapter) {
            (Action::Load, Some(_)) => {
                let until_ms = now_ms + ADAPTER_LOAD_MS;
                self.set_phase(now_ms, artifact, Phase::Loading { until_ms });
            }
            (Action::Load, None) => {
                let until_ms = now_ms + duration_ms;
                self.busy_until_ms = until_ms;
                self.set_phase(now_ms, artifact, Phase::Loading { until_ms });
            }
            (Action::Unload, Some(_)) => self.set_phase(now_ms, artifact, Phase::Unloading),
            (Action::Unload, None) => {
                self.busy_until_ms = now_ms + RETRY_PAUSE_MS;
                let is_of_model = |copy: &Copy| {
                    is_adapter(&copy.artifact) && model_of(&copy.artifact) == artifact
                };
                self.copies.retain(|copy| !is_of_model(copy));
                self.set_phase(now_ms, artifact, Phase::Unloading);
            }
        }
    }

    /// Applies an order whose requested state was already in effect.
    fn apply_already_done(&mut self, now_ms: u64, order: &Order) {
        let artifact = order.artifact();
        match order.action {
            Action::Load => {
                self.set_phase(now_ms, artifact.clone(), Phase::Held);
                self.needs_report = true;
            }
            // The engine unloads an adapter without requests immediately, and counts that as an accepted order.
            Action::Unload => {
                self.copies.retain(|copy| copy.artifact != *artifact);
                self.accepted_orders = self.accepted_orders.max(Some(order.expected_orders + 1));
            }
        }
    }

    /// Marks adapters as held whose expected load time has passed; returns whether there were any.
    pub(crate) fn finish_adapter_loads(&mut self, now_ms: u64) -> bool {
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

    /// Returns whether to request a report now: because the state is uncertain, the engine may be gone, or a load or unload
    /// should have ended.
    pub(crate) fn is_report_due(&self, now_ms: u64) -> bool {
        let due = |copy: &Copy| match copy.phase {
            Phase::Loading { until_ms } => now_ms >= until_ms,
            Phase::Unloading => now_ms >= copy.since_ms + REPORT_LAG_MS,
            Phase::Held | Phase::Draining => false,
        };
        let ends = self.open_order.is_none() && self.copies.iter().any(due);
        let needed = self.needs_report || ends || self.unreachable || self.suspected;
        needed && now_ms >= self.next_report_ms
    }

    /// Records that its report was requested.
    pub(crate) fn record_report_request(&mut self, now_ms: u64) {
        let pause_ms = if self.unreachable || self.suspected {
            UNREACHABLE_PAUSE_MS
        } else {
            REPORT_PAUSE_MS
        };
        self.next_report_ms = now_ms + pause_ms;
    }

    /// Sets the phase of a copy, and adds the copy if it is missing.
    fn set_phase(&mut self, now_ms: u64, artifact: Artifact, phase: Phase) {
        let index = self
            .copies
            .binary_search_by(|copy| copy.artifact.cmp(&artifact));
        match index {
            Ok(index) if self.copies[index].phase == phase => {}
            Ok(index) => {
                self.copies[index].phase = phase;
                self.copies[index].since_ms = now_ms;
            }
            Err(index) => {
                let copy = Copy {
                    artifact,
                    phase,
                    since_ms: now_ms,
                    used_ms: now_ms,
                };
                self.copies.insert(index, copy);
            }
        }
    }

    /// Marks artifacts as held, except copies that are already tracked in a phase other than loading.
    fn add_held(&mut self, now_ms: u64, held: &[Artifact]) {
        for artifact in held {
            let is_tracked = self
                .copy(artifact)
                .is_some_and(|copy| !matches!(copy.phase, Phase::Loading { .. }));
            if !is_tracked {
                self.set_phase(now_ms, artifact.clone(), Phase::Held);
            }
        }
    }
}
