//! Executes the leader's plan: sends orders to engines and requests their reports.

use std::sync::Arc;
use std::time::Duration;

use quetzalpick_client::errors::Error;
use quetzalpick_core::id::Endpoint;
use quetzalpick_core::verdict::Verdict;
use tokio::time::timeout;

use crate::clock::Clock;
use crate::config::Config;
use crate::fleet::Fleet;
use crate::lead::Leadership;
use crate::lead::statuses::Statuses;
use crate::link::Link;
use crate::meters::Meters;
use crate::place::{EngineControl, OrderResult, PlannedOrder};
use crate::view::View;

/// Longest pause between two planning rounds.
const MAX_PAUSE: Duration = Duration::from_millis(100);

/// Pause between two planning rounds while adapters are being loaded or orders were sent.
const ADAPTER_PAUSE: Duration = Duration::from_millis(5);

/// Interval at which the planner receives the statuses of VMs and the entries of endpoints, in ms; rounds for adapters are
/// more frequent.
const OBSERVE_INTERVAL_MS: u64 = 50;

/// `PlanExecutor` runs the planner and carries out its orders while this VM leads.
#[derive(Debug)]
pub(crate) struct PlanExecutor<N> {
    pub(crate) lead: Arc<Leadership<N>>,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) link: Arc<Link>,
    pub(crate) view: Arc<View>,
    pub(crate) clock: Clock,
    pub(crate) meters: Meters,
}

impl<N: EngineControl> PlanExecutor<N> {
    /// Runs until cancelled.
    pub(crate) async fn run(self) {
        let mut observed_ms = 0;
        loop {
            self.lead.update_leader_state();
            let pause = if self.round(&mut observed_ms) {
                ADAPTER_PAUSE
            } else {
                MAX_PAUSE
            };
            // A wake-up only shortens the pause.
            let _ = timeout(pause, self.lead.wake.notified()).await;
        }
    }

    /// Runs one planning round; returns whether adapters are being loaded or orders were sent.
    fn round(&self, observed_ms: &mut u64) -> bool {
        let Some(config) = self.view.config() else {
            return false;
        };
        let now_ms = self.clock.now_ms();
        let is_observation_due = now_ms >= *observed_ms + OBSERVE_INTERVAL_MS;
        if is_observation_due {
            *observed_ms = now_ms;
            self.observe(&config);
        }
        // Without a link orders would fail, and a successor has to wait for some time after the last one.
        let may_order = self.lead.fence().is_some() && !self.link.is_lost();
        let planned = self.lead.with_leader_state(|state, now_ms| {
            let planner = &mut state.planner;
            planner.finish_adapter_loads(now_ms);
            let reports = planner.due_reports(now_ms);
            let orders = if may_order {
                planner.plan(now_ms, &config)
            } else {
                Vec::new()
            };
            let is_loading_adapters = planner.is_loading_adapters();
            (state.fence, reports, orders, is_loading_adapters)
        });
        let Some((fence, reports, orders, is_loading_adapters)) = planned else {
            return false;
        };
        self.lead.publish_copies();
        for (endpoint, address) in reports {
            self.request_report(endpoint, address);
        }
        let has_orders = !orders.is_empty();
        orders
            .into_iter()
            .for_each(|planned| self.send_order(fence, planned));
        is_loading_adapters || has_orders
    }

    /// Passes the statuses of VMs and the entries of endpoints to the planner.
    fn observe(&self, config: &Config) {
        if !self.lead.is_leading() {
            return;
        }
        self.lead.refill_buckets(config);
        self.lead.update_permits();
        let work = self.lead.with_statuses(Statuses::work);
        let limits = self.fleet.limits();
        let paces = self.fleet.faded_paces(self.clock.now_ms());
        let suspected = self.lead.with_statuses(Statuses::suspected);
        self.lead.with_leader_state(|state, now_ms| {
            let planner = &mut state.planner;
            planner.observe(now_ms, config, self.fleet.specs());
            planner.mark_unreachable(&self.fleet.unreachable(now_ms));
            planner.set_disconnected(self.link.is_lost());
            planner.set_suspected(&suspected);
            planner.set_paused(&self.fleet.paused(now_ms));
            planner.set_evacuated(&self.fleet.evacuated_endpoints());
            planner.set_limits(&limits);
            planner.set_paces(&paces);
            planner.set_demand(now_ms, work);
        });
    }

    /// Requests an engine's report.
    fn request_report(&self, endpoint: Endpoint, address: std::net::SocketAddr) {
        let lead = Arc::clone(&self.lead);
        let (fleet, link) = (Arc::clone(&self.fleet), Arc::clone(&self.link));
        let clock = self.clock;
        let is_doubted = lead.with_leader_state(|state, now_ms| {
            state.planner.record_report_request(now_ms, &endpoint)
        });
        let is_doubted = is_doubted.unwrap_or(true);
        let requested_ms = self.clock.now_ms();
        lead.charge_permit(&endpoint);
        tokio::spawn(async move {
            match lead.engines.report(address, &endpoint, is_doubted).await {
                Ok(report) => {
                    fleet.mark_reachable(&endpoint);
                    lead.with_leader_state(|state, now_ms| {
                        state
                            .planner
                            .apply_report(requested_ms, now_ms, &endpoint, &report)
                    });
                    lead.wake.notify_one();
                }
                Err(error) => {
                    if error.is_unsent() {
                        link.record_failure(&endpoint);
                    }
                    if !is_paused(&fleet, clock.now_ms(), &endpoint, &error) {
                        lead.with_leader_state(|state, _| {
                            state.planner.record_report_failure(&endpoint)
                        });
                    }
                    log::info!("place: endpoint={endpoint} no report reason=\"{error}\"");
                }
            }
        });
    }

    /// Sends an order and applies its outcome.
    fn send_order(&self, fence: u64, planned: PlannedOrder) {
        let lead = Arc::clone(&self.lead);
        let (fleet, view) = (Arc::clone(&self.fleet), Arc::clone(&self.view));
        let (clock, meters) = (self.clock, self.meters.clone());
        tokio::spawn(async move {
            let PlannedOrder {
                endpoint,
                address,
                order,
                reason,
            } = planned;
            // The lease may have expired since the plan.
            if lead.fence() != Some(fence) {
                return;
            }
            lead.with_election(|election, now_ms| election.record_action(now_ms));
            lead.charge_permit(&endpoint);
            let holder = lead.holder();
            let answer = lead
                .engines
                .order(address, &endpoint, &holder, fence, &order);
            let answer = answer.await;
            let outcome = match &answer {
                Ok(result) => result.to_string(),
                Err(error) => error.to_string(),
            };
            log::info!(
                "place: endpoint={endpoint} {} {} expected={} fence={fence} reason={reason} outcome=\"{outcome}\"",
                order.action,
                order.artifact(),
                order.expected_orders,
            );
            let is_unsent = |error: &Error| {
                !is_paused(&fleet, clock.now_ms(), &endpoint, error)
                    && error.verdict() == Verdict::NotRun
            };
            if answer.as_ref().is_err_and(is_unsent) {
                lead.with_leader_state(|state, _| {
                    state
                        .planner
                        .mark_unreachable(std::slice::from_ref(&endpoint))
                });
            }
            let result = answer.ok();
            if let Some(result) = result {
                meters.ordered(order.action, reason, result);
            }
            if result == Some(OrderResult::Fenced) {
                log::warn!(
                    "lead: resigns fence={fence} reason=\"an engine has received a higher fencing number\""
                );
                lead.with_election(|election, now_ms| election.record_refusal(now_ms, fence));
            }
            if let Some(config) = view.config() {
                lead.with_leader_state(|state, now_ms| {
                    state
                        .planner
                        .apply_result(now_ms, &config, &endpoint, result)
                });
            }
            lead.wake.notify_one();
        });
    }
}

/// Returns whether an engine asked for a pause in place of an answer to a call, and records the pause.
fn is_paused(fleet: &Fleet, now_ms: u64, endpoint: &Endpoint, error: &Error) -> bool {
    let Error::Busy { retry_after, .. } = error else {
        return false;
    };
    fleet.record_pause(now_ms, endpoint, *retry_after);
    true
}
