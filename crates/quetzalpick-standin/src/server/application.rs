//! Call handling common to all stand-ins: fault injection, recording and admin calls.

use std::future::Future;
use std::sync::Arc;

use bytes::Bytes;
use hyper::http::request::Parts;
use hyper::{Method, StatusCode};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use tokio::time::{Duration, sleep};

use super::reply::{Reply, confirm, error, invalid};
use super::socket::Outlet;
use crate::fault::{Fault, Faults, Switch};
use crate::recorded::Recorder;

/// Header that carries the caller's request id.
pub(crate) const REQUEST_ID: &str = "x-request-id";

/// Path prefix of admin calls.
const ADMIN: &str = "/admin/";

/// `Call` holds a request whose body has been read completely.
#[derive(Debug)]
pub(crate) struct Call {
    /// Method, path, query and headers.
    pub(crate) head: Parts,
    /// Complete body.
    pub(crate) body: Bytes,
}

/// `Application` implements one kind of stand-in on top of the shared server.
pub(crate) trait Application: Send + Sync + Sized + 'static {
    /// Whether a call runs to its end after its caller has disconnected.
    const CONTINUES_AFTER_DISCONNECT: bool;

    /// Returns true if this kind of stand-in supports a fault that is not common to all.
    fn supports(fault: Fault) -> bool;

    /// Returns the enabled faults.
    fn faults(&self) -> &Faults;

    /// Returns the recorder of headers and queries.
    fn recorder(&self) -> &Recorder;

    /// Handles an admin call; `name` is the path after `/admin/`.
    fn admin(self: &Arc<Self>, name: &str, call: &Call) -> Option<Reply>;

    /// Handles every other call.
    fn handle(self: &Arc<Self>, call: Call) -> impl Future<Output = Reply> + Send;
}

impl Call {
    /// Returns the path.
    pub(crate) fn path(&self) -> &str {
        self.head.uri.path()
    }

    /// Returns a header's value if it is visible ASCII.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.head.headers.get(name)?.to_str().ok()
    }

    /// Returns the numeric value of a query parameter.
    pub(crate) fn query_number(&self, name: &str) -> Option<u64> {
        let pairs = self.head.uri.query()?.split('&');
        let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.find(|(key, _)| *key == name)?;
        value.parse().ok()
    }

    /// Decodes the body as JSON; on failure returns the error answer.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, Reply> {
        serde_json::from_slice(&self.body).map_err(|e| invalid(e.to_string()))
    }
}

/// Builds the 404 answer for an unknown path or method.
pub(crate) fn no_such_route(call: &Call) -> Reply {
    let message = format!("no {} {} here", call.head.method, call.path());
    error(StatusCode::NOT_FOUND, "not_found", message)
}

/// Adds the caller's request id to an answer that does not carry one already.
fn echo_request_id(reply: Reply, id: Option<&str>) -> Reply {
    match (&reply, id) {
        (Reply::Answer(response), Some(id)) if !response.headers().contains_key(REQUEST_ID) => {
            reply.with_header(REQUEST_ID, id)
        }
        _ => reply,
    }
}

/// Records and handles a call, applying the enabled faults.
pub(crate) async fn answer<A: Application>(app: Arc<A>, call: Call, outlet: Outlet) -> Reply {
    let id = call.header(REQUEST_ID).map(str::to_owned);
    let id = id.as_deref();
    let path = call.path().to_owned();
    if let Some(name) = path.strip_prefix(ADMIN) {
        return echo_request_id(handle_admin(&app, name, &call), id);
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
    // A proxy that answers for an unavailable system does not echo request ids.
    if faults.take_exact(&path, Fault::Outage) {
        return error(StatusCode::SERVICE_UNAVAILABLE, "outage", "out of service");
    }
    let is_repeated = faults.take_exact(&path, Fault::RefuseTwice);
    if is_repeated {
        outlet.repeat_answer();
    }
    if is_repeated || faults.take_exact(&path, Fault::Refuse) {
        let reply = error(StatusCode::TOO_MANY_REQUESTS, "overloaded", "come back");
        let reply = reply.with_header("x-not-run", "overloaded");
        return echo_request_id(reply.with_header("retry-after", "1"), id);
    }
    let close_at = faults.take(&path, |fault| match fault {
        Fault::CloseAt { bytes } => Some(bytes),
        _ => None,
    });
    let drop_answer = faults.take_exact(&path, Fault::AnswerLost);
    let reply = run_handler(app, call).await;
    if drop_answer {
        return Reply::Close;
    }
    if let Some(bytes) = close_at {
        outlet.limit(bytes);
    }
    echo_request_id(reply, id)
}

/// Handles a call, in a separate task if it must run on after its caller disconnects.
async fn run_handler<A: Application>(app: Arc<A>, call: Call) -> Reply {
    if !A::CONTINUES_AFTER_DISCONNECT {
        return app.handle(call).await;
    }
    let task = tokio::spawn(async move { app.handle(call).await });
    task.await.unwrap_or(Reply::Close)
}

/// `Leaving` is the body of the admin call that makes an endpoint refuse new calls or accept them again.
#[derive(Debug, Deserialize)]
pub(crate) struct Leaving {
    /// Whether new calls are refused.
    pub(crate) leaving: bool,
}

/// `Nothing` accepts the empty JSON object.
#[derive(Deserialize)]
struct Nothing {}

/// Enables a fault if this stand-in supports it.
fn enable_fault<A: Application>(app: &Arc<A>, switch: Switch) -> Result<(), Reply> {
    if !switch.fault.is_common() && !A::supports(switch.fault) {
        let message = format!("{} cannot be shown here", switch.fault);
        return Err(invalid(message));
    }
    app.faults().add(switch);
    Ok(())
}

/// Handles an admin call.
fn handle_admin<A: Application>(app: &Arc<A>, name: &str, call: &Call) -> Reply {
    match (&call.head.method, name) {
        (&Method::POST, "fault") => {
            let switch = call.json::<Switch>();
            confirm(switch.and_then(|switch| enable_fault(app, switch)))
        }
        (&Method::POST, "clear") => {
            let body = call.json::<Nothing>();
            confirm(body.map(|_| app.faults().clear()))
        }
        _ => app.admin(name, call).unwrap_or_else(|| no_such_route(call)),
    }
}
