//! The placement leader: claims leadership while no keeper has it, and runs rounds of placement while it has a lease.

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

use crate::place::engines::{self, ReceivedReport};
use crate::place::metrics::PlacementMetrics;
use crate::place::options::Options;
use crate::place::orders::SentOrders;
use crate::place::schedule::{self, DueOrder};

/// Number of rounds per interval while orders are open.
const BUSY_ROUNDS_PER_INTERVAL: u32 = 5;

/// `Leader` runs placement on one keeper and stays idle while another keeper is the leader.
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
    orders: SentOrders,
    reports: Table<Endpoint, ReceivedReport>,
    leaving_engines: Vec<Endpoint>,
    metrics: PlacementMetrics,
}

impl<L: Log, T: Transport, E: Engine, V: Vms> Leader<L, T, E, V> {
    /// Creates a placement loop without leadership.
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
            orders: SentOrders::new(0, 0),
            reports: Table::default(),
            leaving_engines: Vec::new(),
            metrics: PlacementMetrics::new(meter),
        }
    }

    /// Runs rounds until cancelled.
    pub async fn run(mut self) {
        loop {
            tokio::time::sleep(self.next_delay()).await;
            self.run_round().await;
        }
    }

    /// Returns the delay until the next round, which is shorter while orders are open.
    fn next_delay(&self) -> Duration {
        let has_open_orders = |state: &State| {
            state
                .ledger()
                .accounts()
                .values()
                .any(|account| !account.open.is_empty())
        };
        if self.term.is_some() && self.replica.read(has_open_orders) {
            self.options.round_interval / BUSY_ROUNDS_PER_INTERVAL
        } else {
            self.options.round_interval
        }
    }

    /// Runs one round.
    ///
    /// Does nothing without a lease, and only claims leadership while no keeper has it.
    pub async fn run_round(&mut self) {
        if !self.replica.is_leased() {
            return;
        }
        let own = self.replica.member();
        match self.replica.read(|state| state.leadership().cloned()) {
            None => self.claim_leadership().await,
            Some(leadership) if leadership.member == own => {
                self.run_leader_round(&leadership).await
            }
            Some(_) => self.term = None,
        }
    }

    /// Submits a claim to leadership; the fold accepts one of several concurrent claims.
    async fn claim_leadership(&mut self) {
        let member = self.replica.member();
        let answer = self.replica.submit(Record::Lead(member), None).await;
        if let Answer::Accepted { offset, .. } = answer {
            log::info!("place: became leader at offset {offset}");
        }
    }

    /// Runs one round as the leader.
    async fn run_leader_round(&mut self, leadership: &Leadership) {
        if self.term != Some(leadership.term) {
            self.term = Some(leadership.term);
            self.orders = SentOrders::new(self.now_ms(), millis(self.options.order_lateness));
            self.reports = Table::default();
        }
        let received = self.collect_status().await;
        self.submit_corrections(&received).await;
        self.submit_settlements(&received).await;
        self.send_due().await;
        self.plan(leadership).await;
        self.send_due().await;
    }

    /// Requests the reports of all engines and the VM list, and returns the reports that arrived.
    async fn collect_status(&mut self) -> Vec<(Endpoint, ReceivedReport)> {
        let (engines, requested_offset) = self
            .replica
            .read(|state| (engines::configured_engines(state), state.next()));
        let started = self.started;
        let now_ms = move || elapsed_ms(started);
        let reports = engines::fetch_reports(
            &self.engines,
            &engines,
            requested_offset,
            self.options.report_timeout,
            now_ms,
        );
        let vm_list = tokio::time::timeout(self.options.report_timeout, self.vms.list());
        let (received, list) = tokio::join!(reports, vm_list);
        for (endpoint, reported) in &received {
            self.reports.insert(endpoint.clone(), reported.clone());
        }
        // The VM list lags and may be unavailable; its last answer is used until it answers again.
        if let Ok(Ok(list)) = list {
            self.replica.update_vm_list(&list);
            let leaving = list
                .vms
                .into_iter()
                .filter(|vm| vm.status == Status::Leaving);
            self.leaving_engines = leaving
                .filter_map(|vm| Endpoint::try_new(vm.name).ok())
                .collect();
            self.leaving_engines.sort();
        }
        received
    }

    /// Submits records that correct the ledger where it differs from the copies that engines hold.
    async fn submit_corrections(&mut self, received: &[(Endpoint, ReceivedReport)]) {
        let history = &self.orders.history;
        let corrections = self.replica.read(|state| {
            let rows = received.iter();
            let rows = rows.filter_map(|(endpoint, reported)| {
                engines::correction(endpoint, state.ledger(), history, reported)
            });
            rows.collect::<Vec<_>>()
        });
        for correction in &corrections {
            let (endpoint, count) = (&correction.endpoint, correction.loaded.len());
            log::info!(
                "place: {endpoint} reports incarnation {} with {count} copies",
                correction.incarnation
            );
        }
        let records = corrections.into_iter().map(Record::Report);
        join_all(records.map(|record| self.replica.submit(record, None))).await;
    }

    /// Submits the settlements of open orders whose outcome the reports show.
    async fn submit_settlements(&mut self, received: &[(Endpoint, ReceivedReport)]) {
        let orders = &self.orders;
        let settlements = self.replica.read(|state| {
            let rows = received.iter().filter_map(|(endpoint, reported)| {
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
            log::info!("place: {endpoint} order {sequence} settled as {settlement}");
            self.orders.remove_settled(endpoint, *sequence);
            self.metrics.record_settled(*settlement);
        }
        let records = settlements.into_iter().map(Record::Settled);
        join_all(records.map(|record| self.replica.submit(record, None))).await;
    }

    /// Plans steps and submits an intent for each; the fold may still reject it.
    async fn plan(&mut self, leadership: &Leadership) {
        let interval_ms = millis(self.options.round_interval);
        self.demand.observe(
            interval_ms,
            &schedule::demand(&self.replica.peers(), interval_ms),
        );
        let now_ms = self.now_ms();
        let silence_timeout_ms = millis(self.options.silence_timeout);
        let (replica, planner) = (&self.replica, &mut self.planner);
        let (reports, orders, demand, leaving_engines) = (
            &self.reports,
            &self.orders,
            &self.demand,
            &self.leaving_engines,
        );
        let (steps, intents) = replica.read(|state| {
            let statuses = schedule::engine_statuses(
                state,
                reports,
                orders,
                silence_timeout_ms,
                leaving_engines,
                now_ms,
            );
            let mut steps = planner.plan(now_ms, state, demand, &statuses);
            steps.retain(|step| schedule::may_announce(step, state, orders, now_ms));
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
            log_step_result(step, &answer);
            if matches!(answer, Answer::Accepted { .. }) {
                self.metrics.record_announced(&step.operation);
            }
        }
    }

    /// Sends the due orders if the lease is still valid.
    async fn send_due(&mut self) {
        let (now_ms, resend_interval_ms) = (self.now_ms(), millis(self.options.resend_interval));
        let due = self.replica.read(|state| {
            schedule::due_orders(
                state,
                &self.orders,
                &self.reports,
                resend_interval_ms,
                now_ms,
            )
        });
        // Orders are recorded as sent before the lease is checked, so that the time until which one may still arrive is
        // never underestimated.
        for DueOrder {
            endpoint, intent, ..
        } in &due
        {
            self.orders
                .record_sent(endpoint, intent.sequence, &intent.operation, now_ms);
        }
        if !self.replica.is_leased() {
            return;
        }
        let engines = &self.engines;
        let send = |due: DueOrder| async move {
            let answer = engines.order(&due.address, &due.order).await;
            (due, answer)
        };
        for (due, answer) in join_all(due.into_iter().map(send)).await {
            let Err(error) = answer else {
                continue;
            };
            log::warn!(
                "place: order {} to {} failed: {error}",
                due.intent.sequence,
                due.endpoint
            );
            if matches!(error, Error::Fenced { .. }) {
                self.orders
                    .record_fenced(&due.endpoint, due.intent.sequence);
            }
        }
    }

    /// Returns the time since this leader was created, in ms.
    fn now_ms(&self) -> u64 {
        elapsed_ms(self.started)
    }
}

/// Builds the intents of steps; several for one engine get consecutive sequence numbers.
fn intents(state: &State, leadership: &Leadership, steps: &[Step]) -> Vec<Intent> {
    let mut last_sequences: Table<Endpoint, Sequence> = Table::default();
    let mut intents = Vec::new();
    for step in steps {
        let ledger_sequence = || {
            state
                .ledger()
                .accounts()
                .get(&step.endpoint)
                .map(|account| account.last_sequence)
                .unwrap_or_default()
        };
        let sequence = last_sequences.get_or_insert_with(step.endpoint.clone(), ledger_sequence);
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

/// Logs the outcome of submitting a planned step.
fn log_step_result(step: &Step, answer: &Answer) {
    let operation: &str = (&step.operation).into();
    let (Operation::Load(artifact, version) | Operation::Unload(artifact, version)) =
        &step.operation;
    let (endpoint, reason) = (&step.endpoint, step.reason);
    match answer {
        Answer::Accepted { offset, .. } => {
            log::info!(
                "place: announced {operation} of {artifact} v{version} at {endpoint}, reason {reason}, intent {offset}"
            );
        }
        Answer::Rejected {
            reason: rejection, ..
        } => {
            log::warn!(
                "place: {operation} of {artifact} v{version} at {endpoint} rejected: {rejection}"
            );
        }
        Answer::NotSent { .. } | Answer::Unknown { .. } => {
            log::warn!(
                "place: {operation} of {artifact} v{version} at {endpoint} was not confirmed by the log"
            );
        }
    }
}

/// Returns a duration in ms.
fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the time elapsed since an instant, in ms.
fn elapsed_ms(since: Instant) -> u64 {
    millis(since.elapsed())
}
