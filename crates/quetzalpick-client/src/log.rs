//! HTTP client of the log service.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use quetzalpick_core::id::Offset;
use quetzalpick_core::verdict::Verdict;

use crate::call::{Answer, request, send};
use crate::errors::{Error, Result, malformed, unanswered};
use crate::http::{Pool, Request, Timeouts};
use crate::traits::{Batch, Stream};
use crate::wire::log::{Append, Appended, Gone, Page};

/// Media type of MessagePack.
const MESSAGE_PACK: &str = "application/msgpack";

/// `Options` sets the timeouts and size limits of a client's calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Options {
    /// Timeouts of one call, not counting the time that a read waits for records.
    pub timeouts: Timeouts,
    /// Most records returned by one read.
    pub page_max_records: usize,
    /// Largest answer body, in bytes.
    pub answer_max_bytes: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            timeouts: Timeouts::default(),
            page_max_records: 1_024,
            answer_max_bytes: 64 * 1024 * 1024,
        }
    }
}

/// `Client` appends to and reads from the log service over HTTP.
#[derive(Debug, Clone)]
pub struct Client {
    pool: Pool,
    address: Arc<str>,
    options: Options,
}

impl Client {
    /// Creates a client of the service at an IP address and port.
    pub fn new(pool: Pool, address: impl AsRef<str>, options: Options) -> Self {
        Self {
            pool,
            address: Arc::from(address.as_ref()),
            options,
        }
    }

    /// Sends a request; `wait` is added to the timeout for the head of the answer.
    async fn send(&self, request: Request, wait: Duration) -> Result<Answer> {
        let mut timeouts = self.options.timeouts;
        timeouts.head += wait;
        let max_bytes = self.options.answer_max_bytes;
        send(&self.pool, &self.address, request, timeouts, max_bytes).await
    }
}

impl crate::traits::Log for Client {
    async fn append(&self, stream: Stream, records: Vec<Bytes>) -> Result<Offset> {
        let path = format!("/streams/{stream}/append");
        let body = rmp_serde::to_vec_named(&Append { records })
            .map_err(|e| unanswered(&self.address, Verdict::NotRun, e))?;
        let request = request(&self.address, Method::POST, &path, MESSAGE_PACK, body)?;
        let answer = self.send(request, Duration::ZERO).await?.success()?;
        let appended: Appended = answer.message_pack()?;
        Ok(Offset(appended.first))
    }

    async fn read(&self, stream: Stream, from: Offset, wait: Duration) -> Result<Batch> {
        let (wait_ms, max) = (wait.as_millis(), self.options.page_max_records);
        let path = format!("/streams/{stream}?from={from}&wait_ms={wait_ms}&max={max}");
        let request = request(&self.address, Method::GET, &path, MESSAGE_PACK, Vec::new())?;
        let answer = self.send(request, wait).await?;
        if answer.status == StatusCode::GONE {
            let Gone { oldest, .. } = answer.message_pack()?;
            return Err(Error::Trimmed { oldest });
        }
        let page: Page = answer.success()?.message_pack()?;
        // Records from another offset than the one requested must never be applied.
        if page.first != from.0 {
            let reason = format!("records from {} instead of {from}", page.first);
            return Err(malformed(&self.address, reason));
        }
        Ok(Batch {
            first: Offset(page.first),
            records: page.records,
            head: Offset(page.head),
            oldest: Offset(page.oldest),
        })
    }
}
