//! Checks verdicts against executions while random faults drop, delay, truncate, cross and refuse bookings.

use bytes::Bytes;
use futures::stream::{self, StreamExt};
use http_body_util::Full;
use quetzalpick_client::errors::Result;
use quetzalpick_client::http::{Pool, Request, Timeouts};
use quetzalpick_core::verdict::Verdict;
use quetzalpick_standin::fault::Fault;
use quetzalpick_standin::service::{Options, Server};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// Number of bookings per run.
const ORDERS: u32 = 300;

/// Number of concurrent bookings.
const CONCURRENT_BOOKINGS: usize = 8;

/// Maximum attempts per booking.
const ATTEMPTS: usize = 5;

/// Selects which failures a caller retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RetryPolicy {
    /// Failures with the verdict that nothing ran.
    NotRun,
    /// All failures, like a client that treats a closed connection as an unsent request.
    All,
}

/// Final verdict that a caller received for a booking.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Outcome {
    order: u32,
    verdict: Verdict,
}

/// Draws a random fault, or none.
fn draw(random: &mut Pcg64) -> Option<Fault> {
    let bytes = random.random_range(0..300);
    match random.random_range(0..10) {
        0 => Some(Fault::AnswerLost),
        1 => Some(Fault::OrderLost),
        2 => Some(Fault::CloseAt { bytes }),
        3 => Some(Fault::Crossed),
        4 => Some(Fault::Refuse),
        5 => Some(Fault::OrderDelayed { ms: 1 }),
        _ => None,
    }
}

/// Builds the request for a booking.
fn request(order: u32) -> Request {
    let body = format!(r#"{{"order":{order}}}"#);
    hyper::Request::post("/bookings")
        .header("x-request-id", order.to_string())
        .body(Full::new(Bytes::from(body)))
        .unwrap()
}

/// Sends a booking once and returns the verdict; an answer is accepted only if it carries the booking's own id.
async fn attempt(pool: &Pool, address: &str, order: u32) -> Result<Verdict> {
    let sent = pool.send(address, request(order), Timeouts::default());
    let response = sent.await?;
    let id = response.headers().get("x-request-id").cloned();
    let refused = response.headers().contains_key("x-not-run");
    let mut body = response.into_body();
    let text = body.collect_up_to(1_000).await?;
    if id.is_none_or(|id| id != order.to_string()) {
        body.discard();
        return Ok(Verdict::MayHaveRun);
    }
    if refused {
        return Ok(Verdict::NotRun);
    }
    let own = format!(r#""order":"{order}""#);
    assert!(
        String::from_utf8_lossy(&text).contains(&own),
        "answer to another booking"
    );
    Ok(Verdict::Ran)
}

/// Sends a booking until it ran, the retry policy stops it or the attempts are used up.
async fn book(pool: &Pool, address: &str, order: u32, retry_policy: RetryPolicy) -> Outcome {
    let mut may_have_run = false;
    for _ in 0..ATTEMPTS {
        let result = attempt(pool, address, order).await;
        let verdict = result.unwrap_or_else(|failure| failure.verdict());
        may_have_run |= verdict == Verdict::MayHaveRun;
        let retry = verdict == Verdict::NotRun || retry_policy == RetryPolicy::All;
        if verdict == Verdict::Ran || !retry {
            return Outcome { order, verdict };
        }
    }
    let verdict = match may_have_run {
        true => Verdict::MayHaveRun,
        false => Verdict::NotRun,
    };
    Outcome { order, verdict }
}

/// Runs all bookings and returns the outcomes that contradict the recorded executions.
async fn violations(seed: u64, retry_policy: RetryPolicy) -> Vec<(Outcome, u32)> {
    let mut random = Pcg64::seed_from_u64(seed);
    let server = Server::try_start(Options::default()).await.unwrap();
    let address = server.address().to_string();
    let pool = Pool::default();
    let (server, pool, address) = (&server, &pool, &address);
    let bookings = stream::iter(0..ORDERS).map(|order| {
        if let Some(fault) = draw(&mut random) {
            server.faults().set(fault, Some(1));
        }
        book(pool, address, order, retry_policy)
    });
    let outcomes: Vec<Outcome> = bookings
        .buffer_unordered(CONCURRENT_BOOKINGS)
        .collect()
        .await;
    // Let delayed bookings run before the record is read.
    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    let record = server.record();
    let counted = outcomes.into_iter().map(|outcome| {
        let executions = record.executions_of(&outcome.order.to_string());
        (outcome, executions)
    });
    let contradicts = |(outcome, executions): &(Outcome, u32)| match outcome.verdict {
        Verdict::NotRun => *executions != 0,
        Verdict::MayHaveRun => *executions > 1,
        Verdict::Ran => *executions != 1,
    };
    counted.filter(contradicts).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn verdicts_agree_with_the_executions() {
    for seed in 1..=4 {
        assert_eq!(
            violations(seed, RetryPolicy::NotRun).await,
            [],
            "seed {seed}"
        );
    }
    // The same check detects a caller that repeats a booking whenever its connection was closed.
    assert_ne!(violations(1, RetryPolicy::All).await, [], "seed 1");
}
