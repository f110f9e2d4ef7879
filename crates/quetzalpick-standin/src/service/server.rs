//! The service as a server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hyper::{Method, StatusCode};
use serde_json::{Value, json as value};
use tokio::time::sleep;

use super::bookings::{Bookings, Record};
use crate::command::LOOPBACK;
use crate::errors::Result;
use crate::fault::{Fault, Faults};
use crate::seen::Recorder;
use crate::server::{
    Application, Call, Leaving, Listener, REQUEST_ID, Reply, confirm, error, invalid, json, unknown,
};

/// Request id of an answer that belongs to nobody's request.
const NOBODY: &str = "nobody";

/// `Options` sets up a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Name that answers carry.
    pub name: String,
    /// Time that a call takes.
    pub work: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            listen: LOOPBACK,
            name: "service".to_owned(),
            work: Duration::from_millis(1),
        }
    }
}

/// `Server` is a running service; dropping it cuts its connections.
#[derive(Debug)]
pub struct Server {
    listener: Listener,
    app: Arc<App>,
}

/// `App` is what the service knows.
#[derive(Debug)]
struct App {
    options: Options,
    bookings: Bookings,
    faults: Faults,
    recorder: Recorder,
    leaving: AtomicBool,
}

impl Server {
    /// Starts a service.
    ///
    /// # Errors
    ///
    /// `Error::Listen` if the address is not free.
    pub async fn try_start(options: Options) -> Result<Self> {
        let listen = options.listen;
        let app = Arc::new(App {
            options,
            bookings: Bookings::default(),
            faults: Faults::default(),
            recorder: Recorder::default(),
            leaving: AtomicBool::new(false),
        });
        let listener = Listener::try_start(listen, Arc::clone(&app)).await?;
        Ok(Self { listener, app })
    }

    /// Returns the address listened on.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Returns the faults to show.
    pub fn faults(&self) -> &Faults {
        &self.app.faults
    }

    /// Returns what was recorded so far.
    pub fn record(&self) -> Record {
        self.app.record()
    }

    /// Refuses new calls from now on, or takes them again.
    pub fn set_leaving(&self, leaving: bool) {
        self.app.leaving.store(leaving, Ordering::SeqCst);
    }

    /// Cuts all connections and returns when the port is free.
    pub async fn stop(self) {
        self.listener.stop().await;
    }
}

impl App {
    /// Returns what was recorded so far.
    fn record(&self) -> Record {
        Record {
            executions: self.bookings.all(),
            seen: self.recorder.seen(),
        }
    }

    /// Books an order, at once or later as the faults say.
    async fn book(self: &Arc<Self>, call: &Call) -> Reply {
        let order = match call.json::<Value>() {
            Ok(body) => order_of(&body),
            Err(reply) => return reply,
        };
        let Some(order) = order else {
            let message = "field `order` must be a text or a number";
            return invalid(message);
        };
        let path = call.path();
        if self.faults.meets(path, Fault::OrderLost) {
            return Reply::Close;
        }
        if let Some(delay) = self.faults.delay(path) {
            let app = Arc::clone(self);
            tokio::spawn(async move {
                sleep(delay).await;
                app.bookings.execute(&order);
            });
            return Reply::Close;
        }
        sleep(self.options.work).await;
        let executions = self.bookings.execute(&order);
        let confirmation = format!("{}-{order}-{executions}", self.options.name);
        json(
            StatusCode::CREATED,
            &value!({"order": order, "confirmation": confirmation, "executions": executions}),
        )
    }

    /// Looks an order up.
    fn look_up(&self, order: &str) -> Reply {
        match self.bookings.count(order) {
            0 => error(StatusCode::NOT_FOUND, "not_found", "no such booking"),
            executions => json(
                StatusCode::OK,
                &value!({"order": order, "executions": executions}),
            ),
        }
    }
}

/// Returns the order that a booking is for.
fn order_of(body: &Value) -> Option<String> {
    match body.get("order")? {
        Value::String(text) if !text.is_empty() => Some(text.clone()),
        Value::Number(number) => Some(number.to_string()),
        _ => None,
    }
}

impl Application for App {
    const OUTLIVES_CALLER: bool = true;

    fn shows(fault: Fault) -> bool {
        use Fault::{Crossed, OrderDelayed, OrderLost};
        matches!(fault, OrderLost | OrderDelayed { .. } | Crossed)
    }

    fn faults(&self) -> &Faults {
        &self.faults
    }

    fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    fn admin(self: &Arc<Self>, name: &str, call: &Call) -> Option<Reply> {
        match (&call.head.method, name) {
            (&Method::GET, "record") => Some(json(StatusCode::OK, &self.record())),
            (&Method::POST, "leaving") => {
                let body = call.json::<Leaving>();
                Some(confirm(body.map(|body| {
                    self.leaving.store(body.leaving, Ordering::SeqCst);
                })))
            }
            _ => None,
        }
    }

    async fn handle(self: &Arc<Self>, call: Call) -> Reply {
        let crossed = self.faults.meets(call.path(), Fault::Crossed);
        let reply = if self.leaving.load(Ordering::SeqCst) {
            let reply = error(StatusCode::SERVICE_UNAVAILABLE, "leaving", "leaving");
            reply.with_header("x-not-run", "leaving")
        } else {
            match (&call.head.method, call.path()) {
                (&Method::POST, "/bookings") => self.book(&call).await,
                (&Method::GET, "/availability") => {
                    sleep(self.options.work).await;
                    json(StatusCode::OK, &value!({"slots": [9, 11, 14, 16]}))
                }
                (&Method::GET, path) if path.starts_with("/bookings/") => {
                    sleep(self.options.work).await;
                    self.look_up(&path["/bookings/".len()..])
                }
                _ => unknown(&call),
            }
        };
        if crossed {
            let other = value!({"order": NOBODY, "confirmation": NOBODY, "executions": 0});
            return json(StatusCode::CREATED, &other).with_header(REQUEST_ID, NOBODY);
        }
        reply
    }
}
