//! HTTP client of the administration API of model engines.

use hyper::{Method, StatusCode};
use quetzalpick_core::verdict::Verdict;

use crate::call::{Answer, Reuse, request, send_over};
use crate::errors::{Error, Result, unanswered};
use crate::http::{Pool, Timeouts};
use crate::wire::engine::{Events, Fenced, Order, Report};

/// Media type of JSON.
const JSON: &str = "application/json";

/// Largest answer body, in bytes.
const ANSWER_MAX_BYTES: usize = 4 * 1024 * 1024;

/// `Client` fetches reports and cache events from engines and sends them orders, over HTTP.
///
/// Their answers bear no id, so the answer to an order is the only one on its connection.
#[derive(Debug, Clone, Default)]
pub struct Client {
    pool: Pool,
    timeouts: Timeouts,
}

impl Client {
    /// Creates a client that sends over the pool's connections.
    pub fn new(pool: Pool, timeouts: Timeouts) -> Self {
        Self { pool, timeouts }
    }

    /// Sends a request over a connection that is shared as `reuse` says, and reads the complete answer.
    async fn send(
        &self,
        address: &str,
        method: Method,
        path: &str,
        body: Vec<u8>,
        reuse: Reuse,
    ) -> Result<Answer> {
        let request = request(address, method, path, JSON, body)?;
        send_over(
            &self.pool,
            address,
            request,
            self.timeouts,
            ANSWER_MAX_BYTES,
            reuse,
        )
        .await
    }
}

impl crate::traits::Engine for Client {
    async fn report(&self, address: &str) -> Result<Report> {
        let answer = self.send(
            address,
            Method::GET,
            "/engine/report",
            Vec::new(),
            Reuse::Always,
        );
        answer.await?.success()?.json()
    }

    async fn order(&self, address: &str, order: &Order) -> Result<()> {
        let body =
            serde_json::to_vec(order).map_err(|e| unanswered(address, Verdict::NotRun, e))?;
        let answer = self.send(address, Method::POST, "/engine/orders", body, Reuse::Never);
        let answer = answer.await?;
        if answer.status == StatusCode::CONFLICT {
            let Fenced { newest } = answer.json()?;
            let number = order.fencing;
            return Err(Error::Fenced { number, newest });
        }
        answer.success().map(drop)
    }

    async fn events(&self, address: &str, from: u64) -> Result<Events> {
        let path = format!("/engine/events?from={from}");
        let answer = self.send(address, Method::GET, &path, Vec::new(), Reuse::Always);
        answer.await?.success()?.json()
    }
}
