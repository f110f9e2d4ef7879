//! Orders to load and unload copies.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, StatusCode};
use quetzalpick_client::http::Timeouts;
use quetzalpick_client::wire::engine::{Fenced, Order};
use serde_json::json as value;
use tokio::time::sleep;

use super::memory::{Effect, Refusal};
use super::server::App;
use crate::fault::Fault;
use crate::platform::weights::Fetch;
use crate::server::{Call, Reply, error, json};

/// Interval between two attempts to fetch from the weight store.
const FETCH_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Timeout of one attempt to fetch from the weight store.
const FETCH_TIMEOUT: Duration = Duration::from_secs(60);

/// Receives an order and applies it, subject to the enabled faults.
pub(crate) fn receive(app: &Arc<App>, call: &Call) -> Reply {
    let order: Order = match call.json() {
        Ok(order) => order,
        Err(reply) => return reply,
    };
    let path = call.path();
    let accepted = || json(StatusCode::ACCEPTED, &value!({"accepted": order.fencing}));
    if app.faults.take_exact(path, Fault::OrderLost) {
        return accepted();
    }
    // Delay of the deferred execution, and whether the order is also executed immediately.
    let deferred = app.faults.take(path, |fault| match fault {
        Fault::OrderDelayed { ms } => Some((ms, false)),
        Fault::OrderDoubled { ms } => Some((ms, true)),
        _ => None,
    });
    if let Some((ms, _)) = deferred {
        let (app, order) = (Arc::clone(app), order.clone());
        tokio::spawn(async move {
            sleep(Duration::from_millis(ms)).await;
            // The caller has already been answered, so the result is dropped.
            drop(apply(&app, &order));
        });
    }
    if let Some((_, false)) = deferred {
        return accepted();
    }
    match apply(app, &order) {
        Ok(()) => accepted(),
        Err(Refusal::Fenced { newest }) => json(StatusCode::CONFLICT, &Fenced { newest }),
        Err(Refusal::Impossible { reason }) => {
            error(StatusCode::UNPROCESSABLE_ENTITY, "refused", reason)
        }
    }
}

/// Applies an order and starts the load that it requires.
fn apply(app: &Arc<App>, order: &Order) -> Result<(), Refusal> {
    let mut state = app.lock();
    state.tally.record_order(order);
    let effect = state.memory.apply(order)?;
    if let Effect::Load(overcommit) = effect {
        if let Some(overcommit) = overcommit {
            state.tally.record_overcommit(overcommit);
        }
        let incarnation = state.memory.incarnation;
        tokio::spawn(load(Arc::clone(app), incarnation, order.clone()));
    }
    Ok(())
}

/// Loads weights, then marks the copy as ready to serve.
async fn load(app: Arc<App>, incarnation: u64, order: Order) {
    match app.options.platform {
        Some(platform) => fetch(&app, incarnation, &platform.to_string(), &order).await,
        None if order.base.is_some() => sleep(app.options.adapter_load).await,
        None => sleep(app.options.load).await,
    }
    let mut state = app.lock();
    if state.memory.incarnation == incarnation {
        state.memory.finish_load(&order.copy);
    }
}

/// Fetches weights from the weight store, retrying until it succeeds or the engine restarts.
async fn fetch(app: &Arc<App>, incarnation: u64, platform: &str, order: &Order) {
    while app.lock().memory.incarnation == incarnation {
        if try_fetch(app, platform, order).await {
            return;
        }
        sleep(FETCH_RETRY_INTERVAL).await;
    }
}

/// Attempts once to fetch weights; returns whether it succeeded.
async fn try_fetch(app: &Arc<App>, platform: &str, order: &Order) -> bool {
    let path = match order.base {
        Some(_) => "/weights/adapter",
        None => "/weights/fetch",
    };
    let fetch = Fetch {
        artifact: order.copy.artifact.clone(),
        version: order.copy.version,
    };
    let body = serde_json::to_vec(&fetch).unwrap_or_default();
    let request = hyper::Request::builder()
        .method(Method::POST)
        .uri(path)
        .body(Full::new(Bytes::from(body)))
        .expect("method and path are constants");
    let timeouts = Timeouts {
        head: FETCH_TIMEOUT,
        ..Timeouts::default()
    };
    let sent = app.pool.send(platform, request, timeouts).await;
    sent.is_ok_and(|response| response.status().is_success())
}
