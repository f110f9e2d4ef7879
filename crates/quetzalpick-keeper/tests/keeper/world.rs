//! A log in memory, engines, and keepers that can be killed.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use quetzalpick_client::engine;
use quetzalpick_client::errors::Result;
use quetzalpick_client::http::{Pool, Timeouts};
use quetzalpick_client::memory;
use quetzalpick_client::traits::Vms;
use quetzalpick_client::wire::vms::List;
use quetzalpick_core::id::{Command, Domain, Incarnation, Member, Vm};
use quetzalpick_core::record::Role;
use quetzalpick_core::state::State;
use quetzalpick_keeper::{Api, Executor, Leader, PlaceOptions};
use quetzalpick_language::{Reply, Request};
use quetzalpick_node::http::server::{Options, Server};
use quetzalpick_node::peer::{Application, Http};
use quetzalpick_node::replica::{self, Replica};
use quetzalpick_node::telemetry::metrics::Metrics;
use quetzalpick_standin::engine as engines;
use tokio::runtime::Runtime;
use tokio_util::sync::CancellationToken;

/// Token of the only operator.
pub(crate) const TOKEN: &str = "a token of the tests";
/// Longest wait for something that is to happen, far beyond what it takes.
const PATIENCE: Duration = Duration::from_secs(40);

/// `Silent` is the application of a process that peers ask nothing.
#[derive(Debug, Clone)]
struct Silent;

impl Application for Silent {
    async fn call(&self, _: &Member, _: &str, _: Bytes) -> Option<Bytes> {
        None
    }
}

/// `NoVms` is a VM list without rows.
#[derive(Debug, Clone)]
struct NoVms;

impl Vms for NoVms {
    async fn list(&self) -> Result<List> {
        Ok(List::default())
    }
}

/// `Keeper` is a keeper in a runtime of its own.
pub(crate) struct Keeper {
    runtime: Option<Runtime>,
    pub(crate) replica: Replica<memory::Log, Http>,
    pub(crate) api: SocketAddr,
    pool: Pool,
}

/// Returns the pace of placement in tests.
fn pace() -> PlaceOptions {
    let mut options = PlaceOptions {
        interval: Duration::from_millis(50),
        repeat: Duration::from_millis(200),
        report: Duration::from_millis(500),
        silence: Duration::from_millis(800),
        ..PlaceOptions::default()
    };
    options.planner.loads_per_s = 1_000;
    options.planner.loads_in_flight = 8;
    options
}

impl Keeper {
    /// Starts a keeper and waits until it has a lease.
    pub(crate) async fn start(log: &memory::Log, vm: &str) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .unwrap();
        let log = log.handle(vm);
        let member = Member {
            vm: Vm::try_new(format!("{vm}/keeper")).unwrap(),
            incarnation: Incarnation(rand::random()),
        };
        let domain = Domain::try_new("a").unwrap();
        let options = replica::Options {
            secret: "a secret of the tests".to_owned(),
            lease: Duration::from_secs(2),
            exchange_interval: Duration::from_millis(50),
            suspicion: Duration::from_millis(500),
            ..replica::Options::new(member, Role::Keeper, domain, "127.0.0.1:0")
        };
        let start = async move {
            let replica = Replica::try_start(log, options, Silent).await.unwrap();
            let server = Server::try_bind("127.0.0.1:0", Options::default())
                .await
                .unwrap();
            let api = server.address();
            let tokens = [("ada".to_owned(), TOKEN.to_owned())];
            let handler = Api::new(Executor::new(replica.clone()), &tokens);
            tokio::spawn(server.run(handler, CancellationToken::new()));
            let meter = Metrics::try_new().unwrap().meter("keeper");
            let client = engine::Client::new(Pool::default(), Timeouts::default());
            tokio::spawn(Leader::new(replica.clone(), client, NoVms, pace(), &meter).run());
            (replica, api)
        };
        let (replica, api) = runtime.spawn(start).await.unwrap();
        let keeper = Self {
            runtime: Some(runtime),
            replica,
            api,
            pool: Pool::default(),
        };
        keeper.until_ready().await;
        keeper
    }

    /// Waits until the keeper may act.
    async fn until_ready(&self) {
        let deadline = tokio::time::Instant::now() + PATIENCE;
        while !(self.replica.is_loaded() && self.replica.is_leased()) {
            assert!(tokio::time::Instant::now() < deadline, "never ready");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Waits until the keeper's view meets a condition.
    pub(crate) async fn until(&self, what: &str, met: impl Fn(&State) -> bool) {
        let deadline = tokio::time::Instant::now() + PATIENCE;
        while !self.replica.read(|state| met(state)) {
            let ledger = self.replica.read(|state| format!("{:?}", state.ledger()));
            assert!(
                tokio::time::Instant::now() < deadline,
                "never {what}: {ledger}"
            );
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Ends the process without warning.
    pub(crate) fn kill(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Posts a body and returns status and answer.
    pub(crate) async fn post(&self, token: &str, body: impl Into<String>) -> (u16, String) {
        let request = http::Request::post("/v1/operator")
            .header("authorization", format!("Bearer {token}"))
            .body(Full::new(Bytes::from(body.into())))
            .unwrap();
        let timeouts = Timeouts {
            head: PATIENCE,
            ..Timeouts::default()
        };
        let response = self
            .pool
            .send(&self.api.to_string(), request, timeouts)
            .await
            .unwrap();
        let (head, mut body) = response.into_parts();
        let bytes = body.collect_up_to(1 << 24).await.unwrap();
        (
            head.status.as_u16(),
            String::from_utf8_lossy(&bytes).into_owned(),
        )
    }

    /// Sends a line under a command id and returns the reply.
    pub(crate) async fn line(&self, text: &str, command: Command) -> Reply {
        let request = Request {
            text: text.to_owned(),
            command: Some(command.to_string()),
        };
        let (_, body) = self
            .post(TOKEN, serde_json::to_string(&request).unwrap())
            .await;
        serde_json::from_str(&body).unwrap_or_else(|error| panic!("{error}: {body}"))
    }

    /// Sends lines that must all be accepted.
    pub(crate) async fn accept(&self, lines: &[String]) {
        for line in lines {
            let reply = self.line(line, self.replica.draw_command()).await;
            assert!(matches!(reply, Reply::Accepted { .. }), "{line}: {reply:?}");
        }
    }
}

impl Drop for Keeper {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Starts an engine of 1,000 MB.
pub(crate) async fn start_engine(fencing: bool) -> engines::Server {
    let options = engines::Options {
        memory_mb: 1_000,
        fencing,
        load: Duration::from_millis(50),
        ..engines::Options::default()
    };
    engines::Server::try_start(options).await.unwrap()
}

/// Returns the line that creates an engine.
pub(crate) fn create_engine(name: &str, engine: &engines::Server, fencing: bool) -> String {
    let checks = if fencing { "yes" } else { "no" };
    let address = engine.address();
    format!("create engine {name} at {address} domain a memory 1000 fencing {checks}")
}
