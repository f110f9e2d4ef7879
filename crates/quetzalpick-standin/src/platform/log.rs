//! HTTP calls of the log service.

use std::time::Duration;

use hyper::StatusCode;
use quetzalpick_client::errors::Error;
use quetzalpick_client::memory;
use quetzalpick_client::traits::{Batch, Log, Stream};
use quetzalpick_client::wire::log::{Append, Appended, Gone, Page};
use quetzalpick_core::id::Offset;

use crate::server::{Call, Reply, error, invalid, message_pack};

/// Maximum time that a read waits for records.
const WAIT_MAX: Duration = Duration::from_secs(60);

/// Maximum number of records in one append.
const APPEND_MAX_RECORDS: usize = 4_096;

/// Decodes the records of an append; on failure returns the error answer.
pub(crate) fn decode(call: &Call) -> Result<Append, Reply> {
    let append: Append = rmp_serde::from_slice(&call.body).map_err(|e| invalid(e.to_string()))?;
    match append.records.len() {
        1..=APPEND_MAX_RECORDS => Ok(append),
        _ => Err(invalid(format!(
            "an append has 1 to {APPEND_MAX_RECORDS} records"
        ))),
    }
}

/// Appends records and builds the answer.
pub(crate) async fn append(log: &memory::Log, stream: Stream, append: Append) -> Reply {
    match log.append(stream, append.records).await {
        Ok(Offset(first)) => message_pack(StatusCode::OK, &Appended { first }),
        Err(Error::Busy { retry_after, .. }) => {
            let reply = error(StatusCode::TOO_MANY_REQUESTS, "busy", "too many appends");
            let ms = retry_after.as_millis().to_string();
            let seconds = retry_after.as_secs().max(1).to_string();
            reply
                .with_header("retry-after-ms", ms)
                .with_header("retry-after", seconds)
        }
        Err(failure) => error(
            StatusCode::SERVICE_UNAVAILABLE,
            "outage",
            failure.to_string(),
        ),
    }
}

/// Reads records, waiting up to `wait_ms` of the query for the first one.
pub(crate) async fn read(log: &memory::Log, stream: Stream, call: &Call) -> Reply {
    let Some(from) = call.query_number("from") else {
        let message = "the query needs `from`";
        return invalid(message);
    };
    let wait = Duration::from_millis(call.query_number("wait_ms").unwrap_or(0)).min(WAIT_MAX);
    let max = call.query_number("max").unwrap_or(u64::MAX).max(1);
    match log.read(stream, Offset(from), wait).await {
        Ok(batch) => message_pack(StatusCode::OK, &page(batch, max)),
        Err(Error::Trimmed { oldest }) => {
            let (first, records) = log.records(stream);
            let head = first.0 + records.len() as u64;
            message_pack(StatusCode::GONE, &Gone { oldest, head })
        }
        Err(failure) => error(
            StatusCode::SERVICE_UNAVAILABLE,
            "outage",
            failure.to_string(),
        ),
    }
}

/// Builds the page for a read of at most `max` records.
fn page(mut batch: Batch, max: u64) -> Page {
    batch
        .records
        .truncate(usize::try_from(max).unwrap_or(usize::MAX));
    Page {
        first: batch.first.0,
        records: batch.records,
        head: batch.head.0,
        oldest: batch.oldest.0,
    }
}
