//! The leader's state of one engine: its copies and its open order.

mod copies;
mod drain;
mod orders;
mod reports;

pub(crate) use drain::DRAIN_MS;

use quetzalpick_core::id::Artifact;
use quetzalpick_core::limit::Rate;

use crate::fleet::{Spec, State};
use crate::place::Copy;
use crate::place::engine_state::orders::OpenOrder;

/// Time from the acceptance of an order for an adapter until it is loaded, in ms.
const ADAPTER_LOAD_MS: u64 = 12;

/// Pace of an engine that works as usual for its service, in thousandths.
pub(crate) const USUAL_PACE: u64 = quetzalpick_core::route::pace::USUAL_PERMILLE;

/// `EngineState` tracks the copies, the open order and the availability of one engine.
#[derive(Debug, Clone)]
pub struct EngineState {
    /// The spec in its last entry, which it publishes itself.
    pub(crate) spec: Spec,
    /// Number of orders that it has accepted; `None` if a report is needed to find out.
    pub(crate) accepted_orders: Option<u64>,
    /// Its copies; sorted by artifact.
    pub(crate) copies: Vec<Copy>,
    /// The order whose outcome isn't known yet; `None` if there is none.
    pub(crate) open_order: Option<OpenOrder>,
    /// No order is sent before this time, in ms.
    pub(crate) busy_until_ms: u64,
    /// Expected end of the last load from the weight store, in ms.
    pub(crate) store_load_end_ms: Option<u64>,
    /// Model for which memory is being freed.
    pub(crate) reserved_for: Option<Artifact>,
    /// Whether its state is uncertain, so that no order is sent before its next report.
    pub(crate) needs_report: bool,
    /// Highest number of accepted orders in its reports; `None` before the first one.
    pub(crate) reported_orders: Option<u64>,
    /// Whether a report counts only if it is the first on its connection, because it may be the copy of an earlier one otherwise.
    pub(crate) doubts_reports: bool,
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
    /// Whether it wants no calls of this VM now.
    pub(crate) paused: bool,
    /// Whether its failure domain is evacuated.
    pub(crate) evacuated: bool,
    /// Requests a second that it takes from all VMs together; `None` if it names no limit.
    pub(crate) limit: Option<Rate>,
    /// Its pace, in thousandths of its service's usual pace.
    pub(crate) pace: u64,
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
            reported_orders: None,
            doubts_reports: true,
            next_report_ms: 0,
            has_entry: true,
            unreachable: false,
            suspected: false,
            down: false,
            paused: false,
            evacuated: false,
            limit: None,
            pace: USUAL_PACE,
            spec,
        };
        // The entry may be outdated, and is used only until the first report.
        engine.add_held(now_ms, &engine.spec.copies.clone());
        engine
    }

    /// Applies the engine's entry; an entry of another incarnation of the engine resets the state.
    pub(crate) fn observe(&mut self, now_ms: u64, spec: Spec) {
        if !self.spec.is_same_incarnation(&spec) {
            *self = Self::new(now_ms, spec);
            return;
        }
        self.has_entry = true;
        // An entry may be older than the last order, so it never removes copies.
        if !self.is_reported() {
            self.add_held(now_ms, &spec.copies);
        }
        self.spec = spec;
    }

    /// Returns whether it can be reached and gets new requests.
    pub(crate) fn is_usable(&self) -> bool {
        let is_ready = self.spec.state == State::Ready && !self.evacuated;
        self.has_entry && !self.unreachable && is_ready
    }

    /// Returns whether its copies are known from its reports.
    pub(crate) fn is_reported(&self) -> bool {
        self.accepted_orders.is_some()
    }

    /// Returns whether it can be relied on for as many requests as it gets.
    pub(crate) fn takes_load(&self) -> bool {
        self.is_usable() && self.limit.is_none()
    }

    /// Returns whether an order may be sent to it now.
    pub(crate) fn is_idle(&self, now_ms: u64) -> bool {
        let free = self.open_order.is_none() && now_ms >= self.busy_until_ms;
        self.is_usable() && free && self.is_reported() && !self.needs_report && !self.paused
    }
}
