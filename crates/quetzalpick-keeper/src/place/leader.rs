//! The leader: takes the lead when nobody has it, and runs placement round by round while it has a lease.

use std::time::{Duration, Instant};

use futures::future::join_all;
use opentelemetry::metrics::Meter;

use quetzalpick_client::errors::Error;
use quetzalpick_client::traits::{Engine, Log, Vms};
use quetzalpick_client::wire::vms::Status;
use quetzalpick_core::id::{Endpoint, Offset, Sequence};
use quetzalpick_core::plan::{Demand, Planner, Step};
use quetzalpick_core::record::{Intent, Operation, Record, Settled};
use quetzalpick_core::state::{Leadership, State};
use quetzalpick_core::table::Table;
use quetzalpick_node::peer::Transport;
use quetzalpick_node::replica::{Answer, Replica};

use crate::place::engines::{self, Reported};
use crate::place::meters::Meters;
use crate::place::options::Options;
use crate::place::orders::Orders;
use crate::place::round::{self, Due};

/// Rounds within an interval while orders are open.
const BUSY_ROUNDS: u32 = 5;

/// `Leader` runs placement on one keeper.
#[derive(Debug)]
pub struct Leader<L: Log, T: Transport, E: Engine, V: Vms> {
    replica: Replica<L, T>,
    engines: E,
    vms: V,
    options: Options,
    started: Instant,
    planner: Planner,
    demand: Demand,
    term: Option<Offset>,
    orders: Orders,
    reports: Table<Endpoint, Reported>,
    leaving: Vec<Endpoint>,
    meters: Meters,
}

impl<L: Log, T: Transport, E: Engine, V: Vms> Leader<L, T, E, V> {
    /// Makes a leader that does not lead yet.
    pub fn new(
        replica: Replica<L, T>,
        engines: E,
        vms: V,
        options: Options,
        meter: &Meter,
    ) -> Self {
        Self {
            planner: Planner::new(options.planner.clone()),
            demand: Demand::new(),
            replica,
            engines,
            vms,
            options,
            started: Instant::now(),
            term: None,
            orders: Orders::begin(0, 0),
            reports: Table::default(),
            leaving: Vec::new(),
            meters: Meters::new(meter),
        }
    }

    /// Runs rounds for ever.
    pub async fn run(mut self) {
        loop {
            tokio::time::sleep(self.pause()).await;
            self.round().await;
        }
    }

    /// Returns the time until the next round, which is shorter while orders are open.
    fn pause(&self) -> Duration {
        let is_open = |state: &State| {
            state
                .ledger()
                .accounts()
                .values()
                .any(|a| !a.open.is_empty())
        };
        if self.term.is_some() && self.replica.read(is_open) {
            self.options.interval / BUSY_ROUNDS
        } else {
            self.options.interval
        }
    }

    /// Does one round: nothing without a lease, and only an attempt to take the lead while nobody has it.
    pub async fn round(&mut self) {
        if !self.replica.is_leased() {
            return;
        }
        let own = self.replica.member();
        match self.replica.read(|state| state.leadership().cloned()) {
            None => self.take_lead().await,
            Some(leadership) if leadership.member == own => self.lead(&leadership).await,
            Some(_) => self.term = None,
        }
    }

    /// Tries to become leader; the fold picks one of several that try.
    async fn take_lead(&mut self) {
        let member = self.replica.member();
        let answer = self.replica.submit(Record::Lead(member), None).await;
        if let Answer::Accepted { offset, .. } = answer {
            log::info!("place: leads since offset {offset}");
        }
    }

    /// Does one round as the leader.
    async fn lead(&mut self, leadership: &Leadership) {
        if self.term != Some(leadership.term) {
            self.term = Some(leadership.term);
            self.orders = Orders::begin(self.now_ms(), millis(self.options.order_lateness));
            self.reports = Table::default();
        }
        let arrived = self.look().await;
        self.correct(&arrived).await;
        self.settle(&arrived).await;
        self.send_due().await;
        self.plan(leadership).await;
        self.send_due().await;
    }

    /// Asks engines and the VM list how things are.
    async fn look(&mut self) -> Vec<(Endpoint, Reported)> {
        let (engines, asked_at) = self
            .replica
            .read(|state| (engines::configured(state), state.next()));
        let started = self.started;
        let now_ms = move || elapsed_ms(started);
        let asking = engines::ask(
            &self.engines,
            &engines,
            asked_at,
            self.options.report,
            now_ms,
        );
        let listing = tokio::time::timeout(self.options.report, self.vms.list());
        let (arrived, list) = tokio::join!(asking, listing);
        for (endpoint, reported) in &arrived {
            self.reports.insert(endpoint.clone(), reported.clone());
        }
        // The list lags and may be out; what it last said stands until it answers again.
        if let Ok(Ok(list)) = list {
            self.replica.update_vm_list(&list);
            let rows = list
                .vms
                .into_iter()
                .filter(|vm| vm.status == Status::Leaving);
            self.leaving = rows
                .filter_map(|vm| Endpoint::try_new(vm.name).ok())
                .collect();
            self.leaving.sort();
        }
        arrived
    }

    /// Records where engines hold something else than the ledger says.
    async fn correct(&mut self, arrived: &[(Endpoint, Reported)]) {
        let history = &self.orders.history;
        let corrections = self.replica.read(|state| {
            let rows = arrived.iter();
            let rows = rows.filter_map(|(endpoint, reported)| {
                engines::correction(endpoint, state.ledger(), history, reported)
            });
            rows.collect::<Vec<_>>()
        });
        for correction in &corrections {
            let (endpoint, count) = (&correction.endpoint, correction.loaded.len());
            log::info!(
                "place: {endpoint} reports boot {} with {count} copies",
                correction.incarnation
            );
        }
        let records = corrections.into_iter().map(Record::Report);
        join_all(records.map(|record| self.replica.submit(record, None))).await;
    }

    /// Records what became of open orders.
    async fn settle(&mut self, arrived: &[(Endpoint, Reported)]) {
        let orders = &self.orders;
        let settlements = self.replica.read(|state| {
            let rows = arrived.iter().filter_map(|(endpoint, reported)| {
                let account = state.ledger().accounts().get(endpoint)?;
                Some(engines::settlements(endpoint, account, orders, reported))
            });
            rows.flatten().collect::<Vec<_>>()
        });
        for settled in &settlements {
            let Settled {
                endpoint,
                sequence,
                settlement,
                ..
            } = settled;
            log::info!("place: {endpoint} order {sequence} is {settlement}");
            self.orders.settled(endpoint, *sequence);
            self.meters.settle(*settlement);
        }
        let records = settlements.into_iter().map(Record::Settled);
        join_all(records.map(|record| self.replica.submit(record, None))).await;
    }

    /// Plans, and announces each wanted order; the fold has the last word.
    async fn plan(&mut self, leadership: &Leadership) {
        let interval_ms = millis(self.options.interval);
        self.demand.observe(
            interval_ms,
            &round::demand(&self.replica.peers(), interval_ms),
        );
        let now_ms = self.now_ms();
        let silence_ms = millis(self.options.silence);
        let (replica, planner) = (&self.replica, &mut self.planner);
        let (reports, orders, demand, leaving) =
            (&self.reports, &self.orders, &self.demand, &self.leaving);
        let (steps, intents) = replica.read(|state| {
            let statuses = round::statuses(state, reports, orders, silence_ms, leaving, now_ms);
            let mut steps = planner.plan(now_ms, state, demand, &statuses);
            steps.retain(|step| round::may_announce(step, state, orders, now_ms));
            let intents = intents(state, leadership, &steps);
            (steps, intents)
        });
        let answers = join_all(
            intents
                .into_iter()
                .map(|intent| replica.submit(Record::Intent(intent), None)),
        )
        .await;
        for (step, answer) in steps.iter().zip(answers) {
            note(step, &answer);
            if matches!(answer, Answer::Accepted { .. }) {
                self.meters.announce(&step.operation);
            }
        }
    }

    /// Sends the orders that are due, if the lease still holds.
    async fn send_due(&mut self) {
        let (now_ms, repeat_ms) = (self.now_ms(), millis(self.options.repeat));
        let due = self
            .replica
            .read(|state| round::due(state, &self.orders, &self.reports, repeat_ms, now_ms));
        // An order counts as sent before the lease is checked, so that its lateness is never underrated.
        for Due { endpoint, open, .. } in &due {
            self.orders
                .sent(endpoint, open.sequence, &open.operation, now_ms);
        }
        if !self.replica.is_leased() {
            return;
        }
        let engines = &self.engines;
        let send = |due: Due| async move {
            let answer = engines.order(&due.address, &due.order).await;
            (due, answer)
        };
        for (due, answer) in join_all(due.into_iter().map(send)).await {
            let Err(error) = answer else {
                continue;
            };
            log::warn!(
                "place: order {} to {}: {error}",
                due.open.sequence,
                due.endpoint
            );
            if matches!(error, Error::Fenced { .. }) {
                self.orders.fenced(&due.endpoint, due.open.sequence);
            }
        }
    }

    /// Returns the time since this leader was made, in ms.
    fn now_ms(&self) -> u64 {
        elapsed_ms(self.started)
    }
}

/// Builds the intents of steps; several for one engine get adjoining sequences.
fn intents(state: &State, leadership: &Leadership, steps: &[Step]) -> Vec<Intent> {
    let mut last: Table<Endpoint, Sequence> = Table::default();
    let mut intents = Vec::new();
    for step in steps {
        let known = || {
            state
                .ledger()
                .accounts()
                .get(&step.endpoint)
                .map(|account| account.last_sequence)
                .unwrap_or_default()
        };
        let sequence = last.get_or_insert_with(step.endpoint.clone(), known);
        *sequence = Sequence(sequence.0 + 1);
        intents.push(Intent {
            leader: leadership.member.clone(),
            term: leadership.term,
            endpoint: step.endpoint.clone(),
            sequence: *sequence,
            operation: step.operation.clone(),
        });
    }
    intents
}

/// Logs what became of a planned step.
fn note(step: &Step, answer: &Answer) {
    let verb: &str = (&step.operation).into();
    let (Operation::Load(artifact, version) | Operation::Unload(artifact, version)) =
        &step.operation;
    let (endpoint, reason) = (&step.endpoint, step.reason);
    match answer {
        Answer::Accepted { offset, .. } => {
            log::info!(
                "place: {verb} {artifact} v{version} at {endpoint}, {reason}, intent {offset}"
            );
        }
        Answer::Rejected { reason: why, .. } => {
            log::warn!("place: {verb} {artifact} v{version} at {endpoint} rejected, {why}");
        }
        Answer::NotSent { .. } | Answer::Unknown { .. } => {
            log::warn!(
                "place: {verb} {artifact} v{version} at {endpoint} without an answer of the log"
            );
        }
    }
}

/// Returns a duration in ms.
fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the time since a moment, in ms.
fn elapsed_ms(since: Instant) -> u64 {
    millis(since.elapsed())
}
