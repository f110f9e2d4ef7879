//! The HTTP listener, the admin handler and the peer transport over real sockets.

use std::net::SocketAddr;
use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use opentelemetry::KeyValue;
use quetzalpick_client::errors::Error as CallError;
use quetzalpick_client::memory::Log;
use quetzalpick_core::id::{Domain, Incarnation, Member, Vm};
use quetzalpick_core::record::Role;
use quetzalpick_node::http::admin::{Admin, Readiness};
use quetzalpick_node::http::body;
use quetzalpick_node::http::server::{Handler, Options, Server};
use quetzalpick_node::lifecycle::{Lifecycle, Phase};
use quetzalpick_node::peer::{Application, Http, Service, Transport};
use quetzalpick_node::replica::{Answer, Options as ReplicaOptions, Replica};
use quetzalpick_node::telemetry::metrics::Metrics;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

/// Most bytes of a body in these tests.
const BODY_MAX: usize = 1024;

/// `Echo` answers with the body; `/wait` waits until the test lets it go.
#[derive(Debug, Clone)]
struct Echo {
    arrived: mpsc::UnboundedSender<()>,
    go: CancellationToken,
}

impl Handler for Echo {
    type Body = Full<Bytes>;

    async fn handle(&self, request: Request<Incoming>, _: SocketAddr) -> Response<Full<Bytes>> {
        if request.uri().path() == "/wait" {
            self.arrived.send(()).unwrap();
            self.go.cancelled().await;
        }
        let limit = Duration::from_millis(200);
        let (status, bytes) = match body::collect(request.into_body(), BODY_MAX, limit).await {
            Ok(bytes) => (hyper::StatusCode::OK, bytes),
            Err(error) => (error.status(), error.to_string().into()),
        };
        let mut answer = Response::new(Full::new(bytes));
        *answer.status_mut() = status;
        answer
    }
}

/// Sends raw bytes on a new connection and returns all that comes back until it is closed.
async fn raw(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = String::new();
    // The listener may close before it has read everything, which some systems report as an error.
    let _ = stream.read_to_string(&mut answer).await;
    answer
}

/// Returns the status line.
fn status(answer: &str) -> &str {
    answer.lines().next().unwrap_or("closed")
}

#[tokio::test]
async fn bad_requests_get_a_clear_answer_and_the_listener_stays_up() {
    let options = Options {
        head_bytes: 8 * 1024,
        head_timeout: Duration::from_millis(200),
        ..Options::default()
    };
    let server = Server::try_bind("127.0.0.1:0", options).await.unwrap();
    let address = server.address();
    let (arrived, _arrivals) = mpsc::unbounded_channel();
    let go = CancellationToken::new();
    let stop = CancellationToken::new();
    let work = tokio::spawn(server.run(Echo { arrived, go }, stop.clone()));
    let long = "x".repeat(10_000);
    let post = |length: usize, body: &str| {
        format!(
            "POST / HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}"
        )
    };
    let requests = [
        ("whole", post(5, "hello")),
        ("body too long", post(2_000, &long[..2_000])),
        ("slow body", post(50, "hello")),
        (
            "head too long",
            format!("GET / HTTP/1.1\r\nhost: {long}\r\n\r\n"),
        ),
        ("slow head", "GET / HTTP/1.1\r\nhost: x\r\n".to_owned()),
        ("not HTTP", "what?\r\n\r\n".to_owned()),
        ("nothing sent", String::new()),
        (
            "kept alive and idle",
            post(5, "hello").replace("connection: close\r\n", ""),
        ),
        ("still whole", post(5, "hello")),
    ];
    let mut session = String::new();
    for (name, request) in requests {
        let answer = raw(address, &request).await;
        session += &format!("{name}: {}\n", status(&answer));
    }
    insta::assert_snapshot!(session);
    stop.cancel();
    assert!(work.await.unwrap());
}

#[tokio::test]
async fn a_shutdown_finishes_what_is_under_way() {
    let server = Server::try_bind("127.0.0.1:0", Options::default())
        .await
        .unwrap();
    let address = server.address();
    let (arrived, mut arrivals) = mpsc::unbounded_channel();
    let go = CancellationToken::new();
    let stop = CancellationToken::new();
    let work = tokio::spawn(server.run(
        Echo {
            arrived,
            go: go.clone(),
        },
        stop.clone(),
    ));
    let idle = TcpStream::connect(address).await.unwrap();
    let call = tokio::spawn(async move {
        raw(
            address,
            "POST /wait HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\nhello",
        )
        .await
    });
    arrivals.recv().await.unwrap();
    stop.cancel();
    // New connections are refused while the old one is served to its end, although it could be kept.
    while TcpStream::connect(address).await.is_ok() {
        tokio::task::yield_now().await;
    }
    assert!(!work.is_finished());
    go.cancel();
    let answer = call.await.unwrap();
    assert!(
        answer.ends_with("hello") && answer.contains("200 OK"),
        "{answer}"
    );
    assert!(work.await.unwrap());
    drop(idle);
}

/// `Switch` is ready or not.
#[derive(Debug, Clone)]
struct Switch(Lifecycle);

impl Readiness for Switch {
    fn unready_reason(&self) -> Option<String> {
        let phase = self.0.phase();
        (phase != Phase::Serving).then(|| phase.to_string())
    }
}

#[tokio::test]
async fn the_admin_listener_tells_health_readiness_and_metrics() {
    let metrics = Metrics::try_new().unwrap();
    let requests = metrics
        .meter("test")
        .u64_counter("quetzalpick_requests")
        .build();
    requests.add(3, &[KeyValue::new("verdict", "ran")]);
    let lifecycle = Lifecycle::default();
    let admin = Admin::new(Switch(lifecycle.clone()), metrics);
    let server = Server::try_bind("127.0.0.1:0", Options::default())
        .await
        .unwrap();
    let address = server.address();
    let stop = CancellationToken::new();
    let work = tokio::spawn(server.run(admin, stop.clone()));
    let get = |path: &'static str| async move {
        let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
        let answer = raw(address, &request).await;
        let body = answer.split("\r\n\r\n").nth(1).unwrap_or_default();
        format!("{path}: {}\n{body}", status(&answer))
    };
    let mut session = String::new();
    for phase in [
        Phase::Starting,
        Phase::Serving,
        Phase::Unready,
        Phase::Serving,
    ] {
        lifecycle.advance(phase);
        session += &get("/readyz").await;
    }
    session += &get("/healthz").await;
    session += &get("/other").await;
    let text = get("/metrics").await;
    let counter = text
        .lines()
        .find(|line| line.starts_with("quetzalpick_requests"));
    session += counter.unwrap_or("no counter");
    insta::assert_snapshot!(session);
    stop.cancel();
    assert!(work.await.unwrap());
}

/// `Reverse` answers a peer's call with its bytes reversed.
#[derive(Debug, Clone)]
struct Reverse;

impl Service for Reverse {
    async fn answer(&self, path: &str, body: Bytes) -> Option<Bytes> {
        let reversed = || body.iter().rev().copied().collect();
        (path == "/reverse").then(reversed)
    }
}

#[tokio::test]
async fn only_peers_that_know_the_secret_are_answered() {
    let ours = Http::new("the shared secret");
    let (listener, address) = ours.bind("127.0.0.1:0").await.unwrap();
    let stop = CancellationToken::new();
    let serving = ours.clone();
    let token = stop.clone();
    let work = tokio::spawn(async move { serving.serve(listener, Reverse, token).await });
    let answer = ours.call(&address, "/reverse", "abc".into()).await;
    assert_eq!(answer.unwrap(), "cba");
    let unknown = ours.call(&address, "/other", "abc".into()).await;
    assert_matches!(unknown, Err(CallError::Refused { status: 404, .. }));
    for secret in ["another secret", "", "the shared secret2"] {
        let stranger = Http::new(secret);
        let answer = stranger.call(&address, "/reverse", "abc".into()).await;
        assert_matches!(
            answer,
            Err(CallError::Refused { status: 401, .. }),
            "{secret:?}"
        );
    }
    let large = vec![0; 5 * 1024 * 1024];
    let answer = ours.call(&address, "/reverse", large.into()).await;
    assert!(answer.is_err());
    let answer = ours.call(&address, "/reverse", "abc".into()).await;
    assert_eq!(answer.unwrap(), "cba");
    stop.cancel();
    work.await.unwrap();
}

/// `Silent` answers no calls of peers' applications.
#[derive(Debug, Clone)]
struct Silent;

impl Application for Silent {
    async fn call(&self, _: &Member, _: &str, _: Bytes) -> Option<Bytes> {
        None
    }
}

#[tokio::test]
async fn replicas_meet_over_http() {
    let log = Log::new();
    let mut replicas = Vec::new();
    for number in 0..3 {
        let member = Member {
            vm: Vm::try_new(format!("vm-{number}/gate")).unwrap(),
            incarnation: Incarnation(number),
        };
        let domain = Domain::try_new("a").unwrap();
        let mut options = ReplicaOptions::new(member, Role::Gate, domain, "127.0.0.1:0");
        options.secret = "the shared secret".to_owned();
        options.exchange_interval = Duration::from_millis(50);
        let log = log.handle(&number.to_string());
        replicas.push(Replica::try_start(log, options, Silent).await.unwrap());
    }
    let vote = |replica: &Replica<Log>| replica.read(|s| s.roster().voters().len()) == 3;
    while !replicas.iter().all(vote) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(replicas[0].check_lease().await.is_ok());
    let left = replicas[1].leave().await;
    assert_matches!(left, Answer::Accepted { .. });
    assert!(!replicas[1].is_leased());
}
