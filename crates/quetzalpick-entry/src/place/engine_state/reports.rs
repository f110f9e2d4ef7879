//! The engine's reports: when one is requested, and what it changes.

use super::orders::OpenOrder;
use super::{ADAPTER_LOAD_MS, EngineState};
use crate::place::{Copy, Phase, Report};

/// Time by which a report's contents may be older than the request for it, in ms.
const REPORT_LAG_MS: u64 = 400;

/// Interval between requests for an engine's reports, in ms.
const REPORT_PAUSE_MS: u64 = 200;

/// Interval between requests for the reports of an unreachable engine, in ms.
const UNREACHABLE_PAUSE_MS: u64 = 600;

impl EngineState {
    /// Returns whether to request a report now: because the state is uncertain, the engine may be gone, or a load or unload
    /// should have ended.
    pub(crate) fn is_report_due(&self, now_ms: u64) -> bool {
        let due = |copy: &Copy| match copy.phase {
            Phase::Loading { until_ms } => now_ms >= until_ms,
            Phase::Unloading => now_ms >= copy.since_ms + REPORT_LAG_MS,
            Phase::Held | Phase::Draining => false,
        };
        let should_have_ended = self.open_order.is_none() && self.copies.iter().any(due);
        let needed = self.needs_report || should_have_ended || self.unreachable || self.suspected;
        needed && !self.paused && now_ms >= self.next_report_ms
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

    /// Applies a report that was requested at `requested_ms`.
    pub(crate) fn apply_report(&mut self, requested_ms: u64, now_ms: u64, report: &Report) {
        self.unreachable = false;
        self.down = false;
        self.doubts_reports &= !report.is_first;
        // Reports lag, so this one may be older than an accepted order or, written again, than an earlier report.
        let newest = self.accepted_orders.max(self.reported_orders);
        let is_outdated = newest.is_some_and(|newest| report.accepted_orders < newest);
        if is_outdated || self.doubts_reports {
            return;
        }
        self.reported_orders = Some(report.accepted_orders);
        // The report doesn't name the model that a busy engine is loading.
        let count_differs = self.accepted_orders != Some(report.accepted_orders);
        if count_differs && report.busy {
            self.accepted_orders = None;
            self.needs_report = true;
            return;
        }
        // The remaining time is unknown, for instance while requests of an adapter that is being unloaded still run.
        self.needs_report = report.busy;
        if count_differs {
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
        // A report may still lack a copy whose phase changed shortly before the request.
        let is_old = |copy: &Copy| requested_ms >= copy.since_ms + REPORT_LAG_MS;
        let is_gone = |copy: &Copy| {
            let loading = matches!(copy.phase, Phase::Loading { .. });
            !loading && !is_listed(copy) && !is_loading_adapter(copy) && is_old(copy)
        };
        let is_lost = |copy: &Copy| is_gone(copy) && copy.phase != Phase::Unloading;
        // A copy of a report from before the end of a load lacks what has been loaded since.
        if !report.is_first && self.copies.iter().any(is_lost) {
            self.doubts_reports = true;
            self.needs_report = true;
            return;
        }
        self.copies.retain(|copy| !is_gone(copy));
        for copy in &mut self.copies {
            let loading = matches!(copy.phase, Phase::Loading { .. });
            if loading && is_listed(copy) {
                copy.enter(now_ms, Phase::Held);
            }
        }
    }
}
