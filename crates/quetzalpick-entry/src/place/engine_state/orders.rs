//! The open order, and the effects of the engine's answers to it.

use super::{ADAPTER_LOAD_MS, EngineState};
use crate::place::copy::{is_adapter, model_of};
use crate::place::{Action, Copy, Order, OrderResult, Phase};

/// Pause after an unanswered order until it is sent again, after a rejected one until a report is requested, and after an
/// unload of a model until the next order, in ms.
const RETRY_PAUSE_MS: u64 = 150;

/// `OpenOrder` tracks an order whose outcome isn't known yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct OpenOrder {
    /// The order as it was sent.
    pub(crate) order: Order,
    /// When to send it again, in ms; `None` while an attempt is in flight.
    pub(crate) resend_ms: Option<u64>,
}

impl EngineState {
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
        let may_send = !self.unreachable && !self.paused && !self.evacuated;
        let open = self.open_order.as_mut().filter(|_| may_send)?;
        open.resend_ms.take_if(|resend_ms| now_ms >= *resend_ms)?;
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
}
