//! Orders to load and unload.

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

/// Time between two tries of the weight store.
const FETCH_RETRY: Duration = Duration::from_millis(200);

/// Longest time that one try of the weight store takes.
const FETCH_TIMEOUT: Duration = Duration::from_secs(60);

/// Takes an order as the faults say.
pub(crate) fn receive(app: &Arc<App>, call: &Call) -> Reply {
    let order: Order = match call.json() {
        Ok(order) => order,
        Err(reply) => return reply,
    };
    let path = call.path();
    let accepted = || json(StatusCode::ACCEPTED, &value!({"accepted": order.fencing}));
    if app.faults.meets(path, Fault::OrderLost) {
        return accepted();
    }
    let later = app.faults.take(path, |fault| match fault {
        Fault::OrderDelayed { ms } => Some((ms, false)),
        Fault::OrderDoubled { ms } => Some((ms, true)),
        _ => None,
    });
    if let Some((ms, _)) = later {
        let (app, order) = (Arc::clone(app), order.clone());
        tokio::spawn(async move {
            sleep(Duration::from_millis(ms)).await;
            // Nobody waits for the answer to this one.
            drop(obey(&app, &order));
        });
    }
    if let Some((_, false)) = later {
        return accepted();
    }
    match obey(app, &order) {
        Ok(()) => accepted(),
        Err(Refusal::Fenced { seen }) => json(StatusCode::CONFLICT, &Fenced { seen }),
        Err(Refusal::Never { reason }) => {
            error(StatusCode::UNPROCESSABLE_ENTITY, "refused", reason)
        }
    }
}

/// Lets an order take effect, and starts the load that it needs.
fn obey(app: &Arc<App>, order: &Order) -> Result<(), Refusal> {
    let mut state = app.lock();
    state.tally.order(order);
    let effect = state.memory.order(order)?;
    if let Effect::Load(overcommit) = effect {
        if let Some(overcommit) = overcommit {
            state.tally.overcommit(overcommit);
        }
        let boot = state.memory.boot;
        tokio::spawn(load(Arc::clone(app), boot, order.clone()));
    }
    Ok(())
}

/// Loads weights and lets the copy serve.
async fn load(app: Arc<App>, boot: u64, order: Order) {
    match app.options.platform {
        Some(platform) => fetch(&app, boot, &platform.to_string(), &order).await,
        None if order.base.is_some() => sleep(app.options.adapter_load).await,
        None => sleep(app.options.load).await,
    }
    let mut state = app.lock();
    if state.memory.boot == boot {
        state.memory.loaded(&order.copy);
    }
}

/// Fetches weights from the weight store, as often as it takes while this boot lasts.
async fn fetch(app: &Arc<App>, boot: u64, platform: &str, order: &Order) {
    while app.lock().memory.boot == boot {
        if fetched(app, platform, order).await {
            return;
        }
        sleep(FETCH_RETRY).await;
    }
}

/// Tries once to fetch weights.
async fn fetched(app: &Arc<App>, platform: &str, order: &Order) -> bool {
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
