//! The placement leader of the model.

use quetzalpick_core::id::{Boot, Endpoint, Offset, Sequence};
use quetzalpick_core::record::{Intent, Operation, Record, Report, Settled, Settlement};
use quetzalpick_core::state::Open;
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
        let Some(account) = account.filter(|account| account.boot.0 == view.boot) else {
            let ordered = self.state.ledger().was_ordered(&name);
            let quiet = !ordered || self.leader.dispatch.is_quiet(&name, view.asked);
            if (quiet && view.loading.is_empty()) || self.setup.policy == Policy::NoLateness {
                let report = Report {
                    endpoint: name,
                    boot: Boot(view.boot),
                    seen: self.seen(view),
                    loaded: view.loaded.clone(),
                };
                self.append(at, Record::Report(report));
            }
            return;
        };
        for open in &account.open {
            if let Some(settlement) = self.settlement(&name, open, view) {
                let settled = Settled {
                    endpoint: name,
                    sequence: open.sequence,
                    boot: Boot(view.boot),
                    seen: self.seen(view),
                    settlement,
                };
                self.append(at, Record::Settled(settled));
                return;
            }
            if self.random.random_bool(0.3) && !view.refused.contains(&open.fencing.0) {
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
    pub(super) fn seen(&self, view: &View) -> Offset {
        match self.setup.policy {
            Policy::Unguarded => Offset(u64::MAX),
            _ => view.seen,
        }
    }

    /// Tells what a report shows of an open order.
    pub(super) fn settlement(
        &self,
        name: &Endpoint,
        open: &Open,
        view: &View,
    ) -> Option<Settlement> {
        let copy = copy_of(&open.operation);
        let (held, loading) = (view.loaded.contains(&copy), view.loading.contains(&copy));
        let done = match open.operation {
            Operation::Load(..) => held,
            Operation::Unload(..) => !held && !loading,
        };
        let past = self
            .leader
            .dispatch
            .is_past(name, &open.operation, view.asked);
        let past = past || self.setup.policy == Policy::NoLateness;
        let refused = view.refused.contains(&open.fencing.0) && !loading && past;
        match (done, refused) {
            (true, _) => Some(Settlement::Done),
            (false, true) => Some(Settlement::Refused),
            (false, false) => None,
        }
    }

    /// Announces an order at random; the fold rejects what does not fit.
    pub(super) fn plan(&mut self, at: usize, name: &Endpoint, last: Sequence) {
        let operation = self.operation(name);
        let now = self.now;
        let may = self.leader.dispatch.may_announce(name, &operation, now);
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

    pub(super) fn operation(&mut self, name: &Endpoint) -> Operation {
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
    pub(super) fn plan_by_report(&mut self, at: usize, view: &View) {
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
