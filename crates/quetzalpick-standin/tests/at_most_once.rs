//! Bookings over the connection pool while the service loses, closes, crosses and refuses at random.

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

/// Bookings in one run.
const ORDERS: u32 = 300;

/// Bookings under way at a time.
const AT_A_TIME: usize = 8;

/// Tries of one booking.
const TRIES: usize = 5;

/// Which failures a caller retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Retries {
    /// Those whose verdict is that nothing ran.
    NotRun,
    /// All failures, as a client does that takes a closed connection for an unsent request.
    All,
}

/// What a caller was told of a booking.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Told {
    order: u32,
    verdict: Verdict,
}

/// Draws a fault, or none.
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

/// Makes a booking.
fn request(order: u32) -> Request {
    let body = format!(r#"{{"order":{order}}}"#);
    hyper::Request::post("/bookings")
        .header("x-request-id", order.to_string())
        .body(Full::new(Bytes::from(body)))
        .unwrap()
}

/// Sends a booking once and returns the verdict: an answer counts only if it carries the booking's own id.
async fn try_once(pool: &Pool, address: &str, order: u32) -> Result<Verdict> {
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
        "another's answer"
    );
    Ok(Verdict::Ran)
}

/// Sends a booking as often as the rule lets it.
async fn book(pool: &Pool, address: &str, order: u32, retries: Retries) -> Told {
    let mut may_have_run = false;
    for _ in 0..TRIES {
        let result = try_once(pool, address, order).await;
        let verdict = result.unwrap_or_else(|failure| failure.verdict());
        may_have_run |= verdict == Verdict::MayHaveRun;
        let again = verdict == Verdict::NotRun || retries == Retries::All;
        if verdict == Verdict::Ran || !again {
            return Told { order, verdict };
        }
    }
    let verdict = match may_have_run {
        true => Verdict::MayHaveRun,
        false => Verdict::NotRun,
    };
    Told { order, verdict }
}

/// Runs all bookings and returns the orders whose executions are not what the caller was told.
async fn violations(seed: u64, retries: Retries) -> Vec<(Told, u32)> {
    let mut random = Pcg64::seed_from_u64(seed);
    let server = Server::try_start(Options::default()).await.unwrap();
    let address = server.address().to_string();
    let pool = Pool::default();
    let (server, pool, address) = (&server, &pool, &address);
    let bookings = stream::iter(0..ORDERS).map(|order| {
        if let Some(fault) = draw(&mut random) {
            server.faults().set(fault, Some(1));
        }
        book(pool, address, order, retries)
    });
    let told: Vec<Told> = bookings.buffer_unordered(AT_A_TIME).collect().await;
    // Delayed bookings run before the record is read.
    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    let record = server.record();
    let counted = told.into_iter().map(|told| {
        let executions = record.executions_of(&told.order.to_string());
        (told, executions)
    });
    let wrong = |(told, executions): &(Told, u32)| match told.verdict {
        Verdict::NotRun => *executions != 0,
        Verdict::MayHaveRun => *executions > 1,
        Verdict::Ran => *executions != 1,
    };
    counted.filter(wrong).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn verdicts_agree_with_the_executions() {
    for seed in 1..=4 {
        assert_eq!(violations(seed, Retries::NotRun).await, [], "seed {seed}");
    }
    // The same oracle catches a caller that sends a booking again whenever its connection was closed.
    assert_ne!(violations(1, Retries::All).await, [], "seed 1");
}
