//! What a stand-in does with a call.

use std::future::Future;
use std::sync::Arc;

use bytes::Bytes;
use hyper::http::request::Parts;
use hyper::{Method, StatusCode};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use tokio::time::{Duration, sleep};

use super::reply::{Reply, confirm, error, invalid};
use super::socket::Limit;
use crate::fault::{Fault, Faults, Switch};
use crate::seen::Recorder;

/// Header with the caller's request id.
pub(crate) const REQUEST_ID: &str = "x-request-id";

/// Beginning of the paths of the administration.
const ADMIN: &str = "/admin/";

/// `Call` is a request with its whole body.
#[derive(Debug)]
pub(crate) struct Call {
    /// Method, path, query and headers.
    pub(crate) head: Parts,
    /// Body.
    pub(crate) body: Bytes,
}

/// `Application` is one kind of stand-in.
pub(crate) trait Application: Send + Sync + Sized + 'static {
    /// Whether a call goes on after its caller has gone away.
    const OUTLIVES_CALLER: bool;

    /// Tells whether this kind of stand-in can show a fault, besides those that all can show.
    fn shows(fault: Fault) -> bool;

    /// Returns the faults to show.
    fn faults(&self) -> &Faults;

    /// Returns where headers and queries are remembered.
    fn recorder(&self) -> &Recorder;

    /// Handles a call of the administration; `name` is the path after `/admin/`.
    fn admin(self: &Arc<Self>, name: &str, call: &Call) -> Option<Reply>;

    /// Handles every other call.
    fn handle(self: &Arc<Self>, call: Call) -> impl Future<Output = Reply> + Send;
}

impl Call {
    /// Returns the path.
    pub(crate) fn path(&self) -> &str {
        self.head.uri.path()
    }

    /// Returns a header's value, if it is text.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name)?.to_str().ok()
    }

    /// Returns a number from the query.
    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        let pairs = self.head.uri.query()?.split('&');
        let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.find(|(key, _)| *key == name)?;
        value.parse().ok()
    }

    /// Decodes the body as JSON, or makes the answer that says why not.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, Reply> {
        serde_json::from_slice(&self.body).map_err(|e| invalid(e.to_string()))
    }
}

/// Makes the answer to a path or method that nobody knows.
pub(crate) fn unknown(call: &Call) -> Reply {
    let message = format!("no {} {} here", call.head.method, call.path());
    error(StatusCode::NOT_FOUND, "not_found", message)
}

/// Adds the caller's request id to an answer, unless the answer carries another one.
fn echo(reply: Reply, id: Option<&str>) -> Reply {
    match (&reply, id) {
        (Reply::Answer(response), Some(id)) if !response.headers().contains_key(REQUEST_ID) => {
            reply.with_header(REQUEST_ID, id)
        }
        _ => reply,
    }
}

/// Answers a call, as the faults that are on let it be answered.
pub(crate) async fn answer<A: Application>(app: Arc<A>, call: Call, limit: Limit) -> Reply {
    let id = call.header(REQUEST_ID).map(str::to_owned);
    let id = id.as_deref();
    let path = call.path().to_owned();
    if let Some(name) = path.strip_prefix(ADMIN) {
        return echo(administer(&app, name, &call), id);
    }
    app.recorder().record(&call.head);
    let faults = app.faults();
    let slow = faults.take(&path, |fault| match fault {
        Fault::Slow { ms } => Some(ms),
        _ => None,
    });
    if let Some(ms) = slow {
        sleep(Duration::from_millis(ms)).await;
    }
    // What answers in place of a system that is out of service knows nothing of request ids.
    if faults.meets(&path, Fault::Outage) {
        return error(StatusCode::SERVICE_UNAVAILABLE, "outage", "out of service");
    }
    if faults.meets(&path, Fault::Refuse) {
        let reply = error(StatusCode::TOO_MANY_REQUESTS, "overloaded", "come back");
        let reply = reply.with_header("x-not-run", "overloaded");
        return echo(reply.with_header("retry-after", "1"), id);
    }
    let close_at = faults.take(&path, |fault| match fault {
        Fault::CloseAt { bytes } => Some(bytes),
        _ => None,
    });
    let lost = faults.meets(&path, Fault::AnswerLost);
    let reply = run(app, call).await;
    if lost {
        return Reply::Close;
    }
    if let Some(bytes) = close_at {
        limit.set(bytes);
    }
    echo(reply, id)
}

/// Handles a call, in a task of its own if it goes on without its caller.
async fn run<A: Application>(app: Arc<A>, call: Call) -> Reply {
    if !A::OUTLIVES_CALLER {
        return app.handle(call).await;
    }
    let task = tokio::spawn(async move { app.handle(call).await });
    task.await.unwrap_or(Reply::Close)
}

/// `Leaving` is the body of the call that makes an endpoint leave.
#[derive(Debug, Deserialize)]
pub(crate) struct Leaving {
    /// Whether new calls are refused.
    pub(crate) leaving: bool,
}

/// `Nothing` is the body of a call that needs none.
#[derive(Deserialize)]
struct Nothing {}

/// Turns a fault on, if this stand-in can show it.
fn turn_on<A: Application>(app: &Arc<A>, switch: Switch) -> Result<(), Reply> {
    if !switch.fault.is_common() && !A::shows(switch.fault) {
        let message = format!("{} cannot be shown here", switch.fault);
        return Err(invalid(message));
    }
    app.faults().add(switch);
    Ok(())
}

/// Handles a call of the administration.
fn administer<A: Application>(app: &Arc<A>, name: &str, call: &Call) -> Reply {
    match (&call.head.method, name) {
        (&Method::POST, "fault") => {
            let switch = call.json::<Switch>();
            confirm(switch.and_then(|switch| turn_on(app, switch)))
        }
        (&Method::POST, "clear") => {
            let nothing = call.json::<Nothing>();
            confirm(nothing.map(|_| app.faults().clear()))
        }
        _ => app.admin(name, call).unwrap_or_else(|| unknown(call)),
    }
}
