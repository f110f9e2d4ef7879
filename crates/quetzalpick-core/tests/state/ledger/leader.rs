//! The placement leader of the model.

use quetzalpick_core::dispatch::Observation;
use quetzalpick_core::id::{Endpoint, EngineIncarnation, Offset, Sequence};
use quetzalpick_core::record::{Intent, Operation, Record, Report, Settled, Settlement};
use quetzalpick_core::state::OpenIntent;
use rand::RngExt;

use super::{ADAPTERS, Copy, MODELS, Order, Policy, View, World, copy_of};
use crate::script::artifact;

impl World {
    /// The leader acts on a report: it records, settles, sends again or plans.
    pub(super) fn consider(&mut self, at: usize, view: &View) {
        let name = self.engines[at].name.clone();
        if self.memory_mb(&name).is_none() {
            self.set_engine(at, 1_200);
            return;
        }
        if self.setup.policy == Policy::ReportOnly {
            self.plan_by_report(at, view);
            return;
        }
        let account = self.state.ledger().accounts().get(&name).cloned();
        let Some(account) = account.filter(|account| account.incarnation.0 == view.incarnation)
        else {
            let ordered = self.state.ledger().was_ordered(&name);
            let none_in_flight = !ordered || self.leader.history.none_in_flight(&name, view.asked);
            if (none_in_flight && view.loading.is_empty())
                || self.setup.policy == Policy::NoLateness
            {
                let report = Report {
                    endpoint: name,
                    incarnation: EngineIncarnation(view.incarnation),
                    as_of: self.as_of(view),
                    loaded: view.loaded.clone(),
                };
                self.append(at, Record::Report(report));
            }
            return;
        };
        for open in &account.open {
            let observation = self.observation(open, view);
            if let Some(settlement) = self.settlement(&name, open, observation, view) {
                let settled = Settled {
                    endpoint: name,
                    sequence: open.sequence,
                    incarnation: EngineIncarnation(view.incarnation),
                    as_of: self.as_of(view),
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
        self.plan(at, &name, account.last);
    }

    /// Returns the first offset not applied when the engine was asked.
    fn as_of(&self, view: &View) -> Offset {
        match self.setup.policy {
            Policy::Unguarded => Offset(u64::MAX),
            _ => view.as_of,
        }
    }

    /// Returns what a report shows of an open order.
    fn observation(&self, open: &OpenIntent, view: &View) -> Observation {
        let copy = copy_of(&open.operation);
        Observation {
            loaded: view.loaded.contains(&copy),
            loading: view.loading.contains(&copy),
            refused: view.refused.contains(&open.fencing.0),
            superseded: self.setup.checks_fencing && open.fencing.0 < view.fencing,
        }
    }

    /// Tells what became of an open order.
    fn settlement(
        &self,
        name: &Endpoint,
        open: &OpenIntent,
        observation: Observation,
        view: &View,
    ) -> Option<Settlement> {
        let asked = match self.setup.policy {
            Policy::NoLateness => u64::MAX,
            _ => view.asked,
        };
        let history = &self.leader.history;
        history.settlement(name, &open.operation, observation, asked)
    }

    /// Announces an order at random; the fold rejects what does not fit.
    fn plan(&mut self, at: usize, name: &Endpoint, last: Sequence) {
        let operation = self.operation(name);
        let now = self.now;
        let may = self.leader.history.may_announce(name, &operation, now);
        if !may && self.setup.policy != Policy::NoLateness {
            return;
        }
        let leadership = self.state.leadership();
        let intent = Intent {
            leader: self.leader.member.clone(),
            term: leadership.map_or(Offset(0), |leadership| leadership.term),
            endpoint: name.clone(),
            sequence: Sequence(last.0 + 1),
            operation,
        };
        self.append(at, Record::Intent(intent));
    }

    fn operation(&mut self, name: &Endpoint) -> Operation {
        let account = self.state.ledger().accounts().get(name);
        let copies: Vec<Copy> = account.map_or(Vec::new(), |a| a.loaded.keys().cloned().collect());
        let unloads = self.random.random_bool(0.4) && !copies.is_empty();
        if unloads {
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

    /// The naive leader: it sends what the report leaves room for.
    fn plan_by_report(&mut self, at: usize, view: &View) {
        let name = self.engines[at].name.clone();
        let operation = self.operation(&name);
        let (wanted, _) = copy_of(&operation);
        let (_, memory_mb) = self.state.catalog().wanted(&wanted).unwrap();
        if memory_mb <= view.free_mb {
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
