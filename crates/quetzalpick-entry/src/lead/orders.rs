//! Carries the plan out: orders and reports.

use std::sync::Arc;
use std::time::Duration;

use quetzalpick_core::id::Endpoint;
use quetzalpick_core::verdict::Verdict;
use tokio::time::timeout;

use crate::clock::Clock;
use crate::config::Config;
use crate::fleet::Fleet;
use crate::lead::Lead;
use crate::lead::statuses::Statuses;
use crate::place::{EngineControl, OrderResult, Send};
use crate::view::View;

/// Longest pause between two rounds of planning.
const ROUND: Duration = Duration::from_millis(100);

/// Pause between two rounds while an adapter is on its way.
const SHORT_ROUND: Duration = Duration::from_millis(5);

/// Pause between two times at which the planner takes in what VMs and endpoints say, in ms; rounds for adapters are shorter.
const OBSERVE_MS: u64 = 50;

/// `Foreman` plans for as long as this VM leads.
#[derive(Debug)]
pub(crate) struct Foreman<N> {
    pub(crate) lead: Arc<Lead<N>>,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) view: Arc<View>,
    pub(crate) clock: Clock,
}

impl<N: EngineControl> Foreman<N> {
    /// Plans for as long as it is polled.
    pub(crate) async fn run(self) {
        let mut observed_ms = 0;
        loop {
            self.lead.note_change();
            let round = if self.round(&mut observed_ms) {
                SHORT_ROUND
            } else {
                ROUND
            };
            // A wake-up only shortens the pause.
            let _ = timeout(round, self.lead.wake.notified()).await;
        }
    }

    /// Plans once; tells whether adapters are on their way.
    fn round(&self, observed_ms: &mut u64) -> bool {
        let Some(config) = self.view.config() else {
            return false;
        };
        let now_ms = self.clock.now_ms();
        let observes = now_ms >= *observed_ms + OBSERVE_MS;
        if observes {
            *observed_ms = now_ms;
            self.observe(&config);
        }
        let may_order = self.lead.fence().is_some();
        let planned = self.lead.office(|office, now_ms| {
            let planner = &mut office.planner;
            planner.finish_adapters(now_ms);
            let reports = planner.asks_reports(now_ms);
            let sends = if may_order {
                planner.plan(now_ms, &config)
            } else {
                Vec::new()
            };
            let loads_adapters = planner.loads_adapters();
            (office.fence, reports, sends, loads_adapters)
        });
        let Some((fence, reports, sends, short)) = planned else {
            return false;
        };
        self.lead.publish();
        for (endpoint, address) in reports {
            self.ask(endpoint, address);
        }
        let sent = !sends.is_empty();
        sends.into_iter().for_each(|send| self.order(fence, send));
        short || sent
    }

    /// Lets the planner take in what the VMs and the endpoints say.
    fn observe(&self, config: &Config) {
        if !self.lead.is_leading() {
            return;
        }
        self.lead.fill(config);
        let work = self.lead.statuses(Statuses::work);
        let suspected = self.lead.statuses(Statuses::suspected);
        self.lead.office(|office, now_ms| {
            let planner = &mut office.planner;
            planner.observe(now_ms, config, self.fleet.specs());
            planner.lose(&self.fleet.unreachable(now_ms));
            planner.set_suspected(&suspected);
            planner.demand(now_ms, work);
        });
    }

    /// Asks an engine for its report.
    fn ask(&self, endpoint: Endpoint, address: std::net::SocketAddr) {
        let lead = Arc::clone(&self.lead);
        let fleet = Arc::clone(&self.fleet);
        lead.office(|office, now_ms| office.planner.report_asked(now_ms, &endpoint));
        let asked_ms = self.clock.now_ms();
        tokio::spawn(async move {
            match lead.engines.report(address, &endpoint).await {
                Ok(report) => {
                    fleet.mark_reachable(&endpoint);
                    lead.office(|o, now_ms| {
                        o.planner.reported(asked_ms, now_ms, &endpoint, &report)
                    });
                    lead.wake.notify_one();
                }
                Err(error) => {
                    lead.office(|o, _| o.planner.report_failed(&endpoint));
                    log::info!("place: endpoint={endpoint} no report reason=\"{error}\"");
                }
            }
        });
    }

    /// Sends an order and takes in its outcome.
    fn order(&self, fence: u64, send: Send) {
        let lead = Arc::clone(&self.lead);
        let view = Arc::clone(&self.view);
        tokio::spawn(async move {
            let Send {
                endpoint,
                address,
                order,
                reason,
            } = send;
            // The time may have passed since the plan.
            if lead.fence() != Some(fence) {
                return;
            }
            lead.election(|election, now_ms| election.record_action(now_ms));
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
            if matches!(&answer, Err(error) if error.verdict() == Verdict::NotRun) {
                lead.office(|o, _| o.planner.lose(std::slice::from_ref(&endpoint)));
            }
            let result = answer.ok();
            if result == Some(OrderResult::Fenced) {
                log::warn!("lead: resigns fence={fence} reason=\"a newer leader is known\"");
                lead.election(|election, now_ms| election.resign(now_ms));
            }
            if let Some(config) = view.config() {
                lead.office(|o, now_ms| o.planner.settle(now_ms, &config, &endpoint, result));
            }
            lead.wake.notify_one();
        });
    }
}
