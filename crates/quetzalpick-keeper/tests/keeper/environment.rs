//! Test environment: an in-memory log, stand-in engines, and keepers that can be killed.

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

/// Token of the only configured operator.
pub(crate) const TOKEN: &str = "a token of the tests";
/// Timeout of a wait, far longer than any awaited event takes.
const TIMEOUT: Duration = Duration::from_secs(40);

/// `NoCalls` answers no application calls.
#[derive(Debug, Clone)]
struct NoCalls;

impl Application for NoCalls {
    async fn call(&self, _: &Member, _: &str, _: Bytes) -> Option<Bytes> {
        None
    }
}

/// `EmptyVmList` serves a VM list without rows.
#[derive(Debug, Clone)]
struct EmptyVmList;

impl Vms for EmptyVmList {
    async fn list(&self) -> Result<List> {
        Ok(List::default())
    }
}

/// `Keeper` runs a keeper in a runtime of its own, so that it can be killed like a process.
pub(crate) struct Keeper {
    runtime: Option<Runtime>,
    pub(crate) replica: Replica<memory::Log, Http>,
    pub(crate) api_address: SocketAddr,
    pool: Pool,
}

/// Returns placement options with short intervals and timeouts.
fn placement_options() -> PlaceOptions {
    let mut options = PlaceOptions {
        round_interval: Duration::from_millis(50),
        resend_interval: Duration::from_millis(200),
        report_timeout: Duration::from_millis(500),
        silence_timeout: Duration::from_millis(800),
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
            let replica = Replica::try_start(log, options, NoCalls).await.unwrap();
            let server = Server::try_bind("127.0.0.1:0", Options::default())
                .await
                .unwrap();
            let api_address = server.address();
            let tokens = [("ada".to_owned(), TOKEN.to_owned())];
            let handler = Api::new(Executor::new(replica.clone()), &tokens);
            tokio::spawn(server.run(handler, CancellationToken::new()));
            let meter = Metrics::try_new().unwrap().meter("keeper");
            let client = engine::Client::new(Pool::default(), Timeouts::default());
            tokio::spawn(
                Leader::new(
                    replica.clone(),
                    client,
                    EmptyVmList,
                    placement_options(),
                    &meter,
                )
                .run(),
            );
            (replica, api_address)
        };
        let (replica, api_address) = runtime.spawn(start).await.unwrap();
        let keeper = Self {
            runtime: Some(runtime),
            replica,
            api_address,
            pool: Pool::default(),
        };
        keeper.wait_until_ready().await;
        keeper
    }

    /// Waits until the keeper has loaded the state and has a lease.
    async fn wait_until_ready(&self) {
        let deadline = tokio::time::Instant::now() + TIMEOUT;
        while !(self.replica.is_loaded() && self.replica.is_leased()) {
            assert!(tokio::time::Instant::now() < deadline, "never ready");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Waits until the state on the keeper's VM meets a condition.
    pub(crate) async fn wait_until(&self, condition: &str, is_met: impl Fn(&State) -> bool) {
        let deadline = tokio::time::Instant::now() + TIMEOUT;
        while !self.replica.read(|state| is_met(state)) {
            let ledger = self.replica.read(|state| format!("{:?}", state.ledger()));
            assert!(
                tokio::time::Instant::now() < deadline,
                "never {condition}: {ledger}"
            );
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Stops all tasks at once, as if the process was killed.
    pub(crate) fn kill(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Posts a body to the operator API and returns the status and the answer's body.
    pub(crate) async fn post(&self, token: &str, body: impl Into<String>) -> (u16, String) {
        let request = http::Request::post("/v1/operator")
            .header("authorization", format!("Bearer {token}"))
            .body(Full::new(Bytes::from(body.into())))
            .unwrap();
        let timeouts = Timeouts {
            head: TIMEOUT,
            ..Timeouts::default()
        };
        let response = self
            .pool
            .send(&self.api_address.to_string(), request, timeouts)
            .await
            .unwrap();
        let (head, mut body) = response.into_parts();
        let bytes = body.collect_up_to(1 << 24).await.unwrap();
        (
            head.status.as_u16(),
            String::from_utf8_lossy(&bytes).into_owned(),
        )
    }

    /// Sends a line with a command id and returns the reply.
    pub(crate) async fn send_line(&self, text: &str, command: Command) -> Reply {
        let request = Request {
            text: text.to_owned(),
            command: Some(command.to_string()),
        };
        let (_, body) = self
            .post(TOKEN, serde_json::to_string(&request).unwrap())
            .await;
        serde_json::from_str(&body).unwrap_or_else(|error| panic!("{error}: {body}"))
    }

    /// Sends lines, each of which must be accepted.
    pub(crate) async fn send_accepted(&self, lines: &[String]) {
        for line in lines {
            let reply = self.send_line(line, self.replica.draw_command()).await;
            assert!(matches!(reply, Reply::Accepted { .. }), "{line}: {reply:?}");
        }
    }
}

impl Drop for Keeper {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Starts a stand-in engine with a memory of 1,000 MB.
pub(crate) async fn start_engine(fencing: bool) -> engines::Server {
    let options = engines::Options {
        memory_mb: 1_000,
        fencing,
        load: Duration::from_millis(50),
        ..engines::Options::default()
    };
    engines::Server::try_start(options).await.unwrap()
}

/// Returns the operator's line that creates an engine.
pub(crate) fn create_engine(name: &str, engine: &engines::Server, fencing: bool) -> String {
    let checks_fencing = if fencing { "yes" } else { "no" };
    let address = engine.address();
    format!("create engine {name} at {address} domain a memory 1000 fencing {checks_fencing}")
}
