//! Simulated placement leader.

use quetzalpick_core::dispatch::Observation;
use quetzalpick_core::id::{Endpoint, EngineIncarnation, Offset, Sequence};
use quetzalpick_core::record::{Intent, Operation, Record, Report, Settled, Settlement};
use quetzalpick_core::state::OpenIntent;
use rand::RngExt;

use super::{ADAPTERS, Copy, EngineReport, MODELS, Order, Policy, Simulation, copy_of};
use crate::script::artifact;

impl Simulation {
    /// Acts on an engine's report: appends a `Report`, settles an intent, sends an order again or announces a new one.
    pub(super) fn handle_report(&mut self, at: usize, report: &EngineReport) {
        let name = self.engines[at].name.clone();
        if self.memory_mb(&name).is_none() {
            self.set_engine(at, 1_200);
            return;
        }
        if self.setup.policy == Policy::ReportOnly {
            self.plan_by_report(at, report);
            return;
        }
        let account = self.state.ledger().accounts().get(&name).cloned();
        let Some(account) = account.filter(|account| account.incarnation.0 == report.incarnation)
        else {
            let was_ordered = self.state.ledger().was_ordered(&name);
            let none_in_flight = !was_ordered
                || self
                    .leader
                    .history
                    .none_in_flight(&name, report.requested_ms);
            if (none_in_flight && report.loading.is_empty())
                || self.setup.policy == Policy::IgnoreLateOrders
            {
                let record = Report {
                    endpoint: name,
                    incarnation: EngineIncarnation(report.incarnation),
                    as_of: self.as_of(report),
                    loaded: report.loaded.clone(),
                };
                self.append(at, Record::Report(record));
            }
            return;
        };
        for open in &account.open {
            let observation = self.observation(open, report);
            if let Some(settlement) = self.settlement(&name, open, observation, report) {
                let settled = Settled {
                    endpoint: name,
                    sequence: open.sequence,
                    incarnation: EngineIncarnation(report.incarnation),
                    as_of: self.as_of(report),
                    settlement,
                };
                self.append(at, Record::Settled(settled));
                return;
            }
            if self.random.random_bool(0.3) && !observation.cannot_succeed() {
                let order = Order {
                    fencing: open.fencing.0,
                    operation: open.operation.clone(),
                    memory_mb: open.memory_mb,
                };
                self.send(at, order);
            }
        }
        self.plan(at, &name, account.last_sequence);
    }

    /// Returns the first offset that was not applied when the report was requested.
    fn as_of(&self, report: &EngineReport) -> Offset {
        match self.setup.policy {
            Policy::IgnoreReportAge => Offset(u64::MAX),
            _ => report.as_of,
        }
    }

    /// Returns what a report shows of an open order.
    fn observation(&self, open: &OpenIntent, report: &EngineReport) -> Observation {
        let copy = copy_of(&open.operation);
        Observation {
            loaded: report.loaded.contains(&copy),
            loading: report.loading.contains(&copy),
            refused: report.refused.contains(&open.fencing.0),
            superseded: self.setup.checks_fencing && open.fencing.0 < report.fencing,
        }
    }

    /// Returns the settlement of an open intent, if the report proves one.
    fn settlement(
        &self,
        name: &Endpoint,
        open: &OpenIntent,
        observation: Observation,
        report: &EngineReport,
    ) -> Option<Settlement> {
        let requested_ms = match self.setup.policy {
            Policy::IgnoreLateOrders => u64::MAX,
            _ => report.requested_ms,
        };
        let history = &self.leader.history;
        history.settlement(name, &open.operation, observation, requested_ms)
    }

    /// Announces a random order; the fold rejects it if it is not allowed.
    fn plan(&mut self, at: usize, name: &Endpoint, last_sequence: Sequence) {
        let operation = self.random_operation(name);
        let now = self.now;
        let allowed = self.leader.history.may_announce(name, &operation, now);
        if !allowed && self.setup.policy != Policy::IgnoreLateOrders {
            return;
        }
        let leadership = self.state.leadership();
        let intent = Intent {
            leader: self.leader.member.clone(),
            term: leadership.map_or(Offset(0), |leadership| leadership.term),
            endpoint: name.clone(),
            sequence: Sequence(last_sequence.0 + 1),
            operation,
        };
        self.append(at, Record::Intent(intent));
    }

    fn random_operation(&mut self, name: &Endpoint) -> Operation {
        let account = self.state.ledger().accounts().get(name);
        let copies: Vec<Copy> = account.map_or(Vec::new(), |a| a.loaded.keys().cloned().collect());
        let unload = self.random.random_bool(0.4) && !copies.is_empty();
        if unload {
            let (name, version) = copies[self.random.random_range(0..copies.len())].clone();
            return Operation::Unload(name, version);
        }
        let number = self.random.random_range(0..MODELS + ADAPTERS);
        let name = match number.checked_sub(MODELS) {
            Some(adapter) => artifact(&format!("a{adapter}")),
            None => artifact(&format!("m{number}")),
        };
        let (version, _) = self.state.catalog().wanted(&name).unwrap();
        Operation::Load(name, version)
    }

    /// Sends a random order without an intent if the report shows enough free memory.
    fn plan_by_report(&mut self, at: usize, report: &EngineReport) {
        let name = self.engines[at].name.clone();
        let operation = self.random_operation(&name);
        let (wanted, _) = copy_of(&operation);
        let (_, memory_mb) = self.state.catalog().wanted(&wanted).unwrap();
        if memory_mb <= report.free_mb {
            let fencing = self.state.next().0;
            self.send(
                at,
                Order {
                    fencing,
                    operation,
                    memory_mb,
                },
            );
        }
    }
}
