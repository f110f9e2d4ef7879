//! Stand-in for a runner: registers itself in the store, runs requests and carries out orders.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Request, Response, Server};
use crate::json::field;
use crate::record::Record;
use crate::store::Store;

/// Time between two pings.
const PING: Duration = Duration::from_millis(1_200);

/// Most adapters that a runner holds.
const ADAPTER_SLOTS: usize = 8;

/// Time that a request runs.
const WORK: Duration = Duration::from_millis(15);

/// Events of a long stream, and the pause before each.
pub const STREAM_EVENTS: u64 = 90;
const EVENT_PAUSE: Duration = Duration::from_millis(100);

pub struct Spec {
    pub id: String,
    pub service: &'static str,
    pub version: &'static str,
    /// Models that it holds from the start.
    pub models: &'static [&'static str],
    /// Path of the requests that crash it as soon as it begins to run them, once that has begun.
    pub crashes_on: Option<(&'static str, Arc<AtomicBool>)>,
    /// Prefix of the attempts whose requests it turns away, as it wants nothing from their machine for some seconds.
    pub rests_from: Option<(&'static str, u64)>,
}

/// `Run` is a request that a runner began to run.
#[derive(Clone)]
pub struct Run {
    pub at: Instant,
    pub attempt: String,
    pub path: String,
}

/// `Order` is an order that reached a runner.
#[derive(Clone)]
pub struct Order {
    pub at: Instant,
    pub machine: String,
    pub fence: u64,
    pub status: u16,
}

#[derive(Default)]
struct Engine {
    adapters: Vec<String>,
    accepted: u64,
    highest_fence: u64,
}

#[derive(Clone)]
pub struct Runner {
    pub spec: Arc<Spec>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub orders: Arc<Mutex<Vec<Order>>>,
    pub server: Server,
    pub crashed: Arc<Mutex<Option<Instant>>>,
    born: u128,
    engine: Arc<Mutex<Engine>>,
    store: Store,
    record: Record,
}

impl Runner {
    /// Starts a runner, which registers itself.
    pub fn start(spec: Spec, store: &Store, record: &Record) -> Self {
        let own: Arc<Mutex<Option<Runner>>> = Arc::default();
        let handled = Arc::clone(&own);
        let server = Server::start(Arc::new(move |request| {
            let runner = handled.lock().unwrap().clone()?;
            runner.answer(&request)
        }));
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time");
        let runner = Self {
            spec: Arc::new(spec),
            runs: Arc::default(),
            orders: Arc::default(),
            server,
            crashed: Arc::default(),
            born: born.as_millis(),
            engine: Arc::default(),
            store: store.clone(),
            record: record.clone(),
        };
        *own.lock().unwrap() = Some(runner.clone());
        let pinging = runner.clone();
        thread::spawn(move || pinging.ping());
        runner
    }

    pub fn id(&self) -> &str {
        &self.spec.id
    }

    /// Returns the entry of this runner.
    pub fn entry(&self, seq: u64) -> String {
        let Spec {
            service, version, ..
        } = &*self.spec;
        let (address, models, born) = (self.server.address, self.models(), self.born);
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"a\",\"version\":\"{version}\",\"slots\":64,\
             \"state\":\"ready\",\"cold_left_ms\":0,\"stage\":\"both\",\"models\":{models},\"seq\":{seq},\"born\":{born}}}"
        )
    }

    fn ping(&self) {
        for seq in 1.. {
            if self.crashed.lock().unwrap().is_some() {
                return;
            }
            self.store.put_until_taken("keyed.servers", self.id(), &self.entry(seq));
            thread::sleep(PING);
        }
    }

    fn models(&self) -> String {
        let engine = self.engine.lock().unwrap();
        let model = |(index, name): (usize, &&str)| {
            // All adapters belong to the first model.
            let adapters = engine.adapters.iter().filter(|_| index == 0);
            let adapters: Vec<String> = adapters.map(|name| format!("\"{name}\"")).collect();
            let adapters = adapters.join(",");
            format!("{{\"name\":\"{name}\",\"version\":1,\"adapters\":[{adapters}]}}")
        };
        let models: Vec<String> = self.spec.models.iter().enumerate().map(model).collect();
        format!("[{}]", models.join(","))
    }

    fn answer(&self, request: &Request) -> Option<Response> {
        let expected = request.header("x-quetzalpick-expect-instance");
        let attempt = request.header("x-quetzalpick-attempt-id").unwrap_or_default();
        let mut response = if expected.is_some_and(|expected| expected != self.id()) {
            Response::new(421, "").with("X-Quetzalpick-Instance-Id", self.id())
        } else {
            match request.path() {
                "/api/report" => self.report(),
                "/api/order" => self.order(request),
                "/healthz" => Response::new(200, "").with("X-Quetzalpick-Instance-Id", self.id()),
                _ => self.run(request, attempt)?,
            }
        };
        if !attempt.is_empty() {
            response = response.with("X-Quetzalpick-Attempt-Id", attempt);
        }
        Some(response)
    }

    fn report(&self) -> Response {
        let models = self.models();
        let seq = self.engine.lock().unwrap().accepted;
        Response::new(
            200,
            format!(
                "{{\"stage\":\"both\",\"models\":{models},\"busy\":false,\"seq\":{seq},\"waiting\":0,\"running\":0,\
                 \"kv_used\":0,\"kv_total\":148336,\"handles\":0,\"coming\":[],\"born\":{}}}",
                self.born
            ),
        )
        .with("Content-Type", "application/json")
    }

    /// Carries out an order for an adapter; others do not occur, as all runners hold all models.
    fn order(&self, request: &Request) -> Response {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let (holder, fence) = (field(&body, "holder"), field(&body, "fence"));
        let fence = fence.and_then(|fence| fence.parse::<u64>().ok());
        let (Some(holder), Some(fence)) = (holder, fence) else {
            return Response::new(400, "{}");
        };
        let status = self.carry_out(&body, fence);
        // A holder is one machine, whatever name it bears; the program appends its start to the machine's name.
        let machine = holder.split('.').next().unwrap_or_default().to_owned();
        self.record.line(&format!(
            "order runner={} holder={holder} fence={fence} status={status}",
            self.id()
        ));
        self.orders.lock().unwrap().push(Order {
            at: Instant::now(),
            machine,
            fence,
            status,
        });
        Response::new(status, "{}")
    }

    fn carry_out(&self, body: &str, fence: u64) -> u16 {
        let mut engine = self.engine.lock().unwrap();
        if fence < engine.highest_fence {
            return 412;
        }
        engine.highest_fence = fence;
        let Some(adapter) = field(body, "adapter") else {
            return 400;
        };
        let precondition = field(body, "precondition").and_then(|text| text.parse::<u64>().ok());
        if precondition.is_some_and(|seq| seq != engine.accepted) {
            return 409;
        }
        let held = engine.adapters.iter().position(|name| *name == adapter);
        match (field(body, "operation").as_deref(), held) {
            (Some("load"), Some(_)) => 200,
            (Some("load"), None) if engine.adapters.len() < ADAPTER_SLOTS => {
                engine.accepted += 1;
                engine.adapters.push(adapter);
                202
            }
            (Some("unload"), Some(index)) => {
                engine.accepted += 1;
                engine.adapters.remove(index);
                200
            }
            (Some("unload"), None) => 200,
            _ => 400,
        }
    }

    fn run(&self, request: &Request, attempt: &str) -> Option<Response> {
        if let Some(model) = request.header("x-quetzalpick-model") {
            let engine = self.engine.lock().unwrap();
            let holds = |adapter: &str| engine.adapters.iter().any(|name| name == adapter);
            if model.split_once('/').is_some_and(|(_, adapter)| !holds(adapter)) {
                return Some(Response::new(421, "").with("X-Quetzalpick-Not-Executed", "1"));
            }
        }
        let path = request.path().to_owned();
        self.record.line(&format!("run runner={} attempt={attempt} path={path}", self.id()));
        self.runs.lock().unwrap().push(Run {
            at: Instant::now(),
            attempt: attempt.to_owned(),
            path: path.clone(),
        });
        let crashes = |(bad, begun): &(&str, Arc<AtomicBool>)| *bad == path && begun.load(Ordering::SeqCst);
        if self.spec.crashes_on.as_ref().is_some_and(crashes) {
            self.crash();
            return None;
        }
        if let Some((prefix, seconds)) = self.spec.rests_from
            && attempt.starts_with(prefix)
        {
            self.runs.lock().unwrap().pop();
            self.record.line(&format!("runner={} turns attempt={attempt} away", self.id()));
            let response = Response::new(503, "").with("X-Quetzalpick-Not-Executed", "1");
            return Some(response.with("Retry-After", &seconds.to_string()));
        }
        if path.starts_with("/batch/") {
            return Some(self.stream(request, attempt));
        }
        thread::sleep(WORK);
        let is_stream = request.header("x-quetzalpick-model").is_some();
        let body = if is_stream {
            "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
        } else {
            "done"
        };
        let media_type = if is_stream { "text/event-stream" } else { "text/plain" };
        let seal = format!("seal.{attempt}");
        Some(
            Response::new(200, body)
                .with("Content-Type", media_type)
                .with("X-Quetzalpick-Response-Seal", &seal),
        )
    }

    /// Answers with a long stream, which goes on after the event that the request names.
    fn stream(&self, request: &Request, attempt: &str) -> Response {
        let after = request.header("last-event-id").and_then(|id| id.parse::<u64>().ok());
        let version = self.spec.version;
        let events = (after.unwrap_or(0) + 1..=STREAM_EVENTS).map(move |id| {
            thread::sleep(EVENT_PAUSE);
            format!("id: {id}\ndata: {version} piece {id}\n\n").into_bytes()
        });
        let mut response = Response::new(200, "")
            .with("Content-Type", "text/event-stream")
            .with("X-Quetzalpick-Response-Seal", &format!("seal.{attempt}"));
        response.stream = Some(Box::new(events));
        response
    }

    pub fn crash(&self) {
        let mut crashed = self.crashed.lock().unwrap();
        if crashed.is_none() {
            *crashed = Some(Instant::now());
            self.record.line(&format!("runner={} crashed", self.id()));
            self.server.end();
        }
    }
}
