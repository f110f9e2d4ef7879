//! HTTP server of the service.

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
use crate::recorded::Recorder;
use crate::server::{
    Application, Call, Leaving, Listener, REQUEST_ID, Reply, confirm, error, invalid, json,
    no_such_route,
};

/// Request id of the answer that the `Crossed` fault sends; no caller uses it.
const UNRELATED_ID: &str = "nobody";

/// `Options` configures a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Prefix of the confirmations of bookings.
    pub name: String,
    /// Duration of a call.
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

/// `Server` runs a service until it is dropped, which closes its connections.
#[derive(Debug)]
pub struct Server {
    listener: Listener,
    app: Arc<App>,
}

/// `App` holds the state of a service.
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

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Returns the enabled faults.
    pub fn faults(&self) -> &Faults {
        &self.app.faults
    }

    /// Returns the record up to now.
    pub fn record(&self) -> Record {
        self.app.record()
    }

    /// Starts refusing new calls, or accepts them again.
    pub fn set_leaving(&self, leaving: bool) {
        self.app.leaving.store(leaving, Ordering::SeqCst);
    }

    /// Closes all connections and returns when the port is free.
    pub async fn stop(self) {
        self.listener.stop().await;
    }
}

impl App {
    /// Returns the record up to now.
    fn record(&self) -> Record {
        Record {
            executions: self.bookings.all(),
            requests: self.recorder.requests(),
        }
    }

    /// Books an order, immediately or delayed by a fault.
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
        if self.faults.take_exact(path, Fault::OrderLost) {
            return Reply::Close;
        }
        if let Some(delay) = self.faults.take_delay(path) {
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

    /// Returns the booking of an order.
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

/// Returns the field `order` of a booking if it is a non-empty string or a number.
fn order_of(body: &Value) -> Option<String> {
    match body.get("order")? {
        Value::String(text) if !text.is_empty() => Some(text.clone()),
        Value::Number(number) => Some(number.to_string()),
        _ => None,
    }
}

impl Application for App {
    const CONTINUES_AFTER_DISCONNECT: bool = true;

    fn supports(fault: Fault) -> bool {
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
        let crossed = self.faults.take_exact(call.path(), Fault::Crossed);
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
                _ => no_such_route(&call),
            }
        };
        if crossed {
            let other =
                value!({"order": UNRELATED_ID, "confirmation": UNRELATED_ID, "executions": 0});
            return json(StatusCode::CREATED, &other).with_header(REQUEST_ID, UNRELATED_ID);
        }
        reply
    }
}
