//! Verdicts of the connection pool, with peers that close at every byte, never answer or misassign answers.
//!
//! A wrong verdict lets a caller repeat a request that has run; a connection reused too early returns the answer to
//! another request.

mod peer;

use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use http_body_util::Full;
use quetzalpick_client::errors::{Error, Result};
use quetzalpick_client::http::{Body, Options, Pool, Request, Timeouts};
use quetzalpick_core::verdict::Verdict;

use peer::{Peer, Script, answer};

const BODY: &str = r#"{"order":7}"#;

fn request(id: &str) -> Request {
    hyper::Request::post("/bookings")
        .header("x-request-id", id)
        .body(Full::new(Bytes::from_static(BODY.as_bytes())))
        .unwrap()
}

/// Sends a request and reads the complete answer; the caller drops or discards the body and so decides whether the
/// connection is reused.
async fn exchange(pool: &Pool, peer: &Peer, id: &str) -> Result<(String, Body)> {
    let sent = pool.send(&peer.address, request(id), Timeouts::default());
    let mut body = sent.await?.into_body();
    let bytes = body.collect_up_to(1_000).await?;
    Ok((String::from_utf8(bytes.to_vec()).unwrap(), body))
}

/// Returns the length of a request on the wire, in bytes.
async fn request_length() -> usize {
    let peer = Peer::start(Script::CloseInRequest(usize::MAX)).await;
    exchange(&Pool::default(), &peer, "a").await.unwrap();
    peer.bytes.load(std::sync::atomic::Ordering::SeqCst)
}

#[tokio::test]
async fn peer_closes_at_every_byte_of_the_request() {
    let length = request_length().await;
    for close_after in 0..=length {
        let peer = Peer::start(Script::CloseInRequest(close_after)).await;
        let failure = exchange(&Pool::default(), &peer, "a").await.unwrap_err();
        let verdict = failure.verdict();
        // After 0 bytes it is unknown whether anything was sent; once the peer has read a byte, the request was sent.
        assert!(
            verdict == Verdict::MayHaveRun || close_after == 0,
            "{verdict} after {close_after} bytes: {failure}"
        );
        // A request that may have run is never resent without the caller's knowledge.
        assert_eq!(peer.counts().0, 1, "after {close_after} bytes");
    }
}

#[tokio::test]
async fn peer_closes_at_every_byte_of_the_answer() {
    let chunked = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n";
    for complete in [answer("a"), chunked.to_vec()] {
        for close_after in 0..=complete.len() {
            let peer = Peer::start(Script::CloseInAnswer(complete.clone(), close_after)).await;
            let pool = Pool::default();
            let first = exchange(&pool, &peer, "a").await.map(|(text, _)| text);
            if close_after < complete.len() {
                // An answer whose text has arrived but whose end has not is incomplete too.
                let failure = first.unwrap_err();
                assert_eq!(
                    failure.verdict(),
                    Verdict::MayHaveRun,
                    "after {close_after} bytes"
                );
                assert_eq!(peer.counts(), (1, 1), "after {close_after} bytes");
            } else {
                assert_eq!(first.unwrap(), "a");
                exchange(&pool, &peer, "b").await.unwrap();
                assert_eq!(
                    peer.counts(),
                    (1, 2),
                    "a complete answer frees the connection"
                );
            }
        }
    }
}

#[tokio::test]
async fn idle_connection_closed_by_the_peer_is_replaced() {
    let peer = Peer::start(Script::CloseInLaterRequest(1, 0)).await;
    let pool = Pool::default();
    for round in 1..=3 {
        exchange(&pool, &peer, "a").await.unwrap();
        peer.settle(round).await;
        assert_eq!(peer.counts(), (round, round));
    }
}

#[tokio::test]
async fn request_is_not_resent_if_a_reused_connection_closes_within_it() {
    for close_after in 1..=request_length().await {
        let peer = Peer::start(Script::CloseInLaterRequest(1, close_after)).await;
        let pool = Pool::default();
        exchange(&pool, &peer, "a").await.unwrap();
        let failure = exchange(&pool, &peer, "b").await.unwrap_err();
        assert_eq!(
            failure.verdict(),
            Verdict::MayHaveRun,
            "after {close_after} bytes"
        );
        assert_eq!(peer.counts().0, 1, "after {close_after} bytes");
    }
}

#[tokio::test]
async fn refused_connection_and_invalid_address_yield_not_run() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let free = listener.local_addr().unwrap().to_string();
    drop(listener);
    for address in [free.as_str(), "localhost:80", ""] {
        let pool = Pool::default();
        let sent = pool.send(address, request("a"), Timeouts::default());
        assert_matches!(
            sent.await,
            Err(Error::Unanswered {
                verdict: Verdict::NotRun,
                ..
            })
        );
    }
}

#[tokio::test]
async fn head_timeout_yields_may_have_run_and_closes_the_connection() {
    let peer = Peer::start(Script::Silent).await;
    let timeouts = Timeouts {
        head: Duration::from_millis(20),
        ..Timeouts::default()
    };
    let pool = Pool::default();
    let sent = pool.send(&peer.address, request("a"), timeouts);
    assert_matches!(
        sent.await,
        Err(Error::Unanswered {
            verdict: Verdict::MayHaveRun,
            ..
        })
    );
    peer.settle(1).await;
}

/// Sends three requests to a peer that answers each with the previous request's id, and returns the ids received; with
/// `checked`, a connection that returned a wrong id is discarded.
async fn ids_of_three_answers(checked: bool) -> Vec<String> {
    let peer = Peer::start(Script::ShiftedByOne).await;
    let pool = Pool::default();
    let mut answers = Vec::new();
    for id in ["a", "b", "c"] {
        let (text, body) = exchange(&pool, &peer, id).await.unwrap();
        if checked && text != id {
            body.discard();
        }
        answers.push(text);
    }
    answers
}

#[tokio::test]
async fn discarding_connections_stops_misassigned_answers() {
    // If the connection is reused, each request receives the answer to the one before it.
    assert_eq!(ids_of_three_answers(false).await, ["nobody", "a", "b"]);
    assert_eq!(
        ids_of_three_answers(true).await,
        ["nobody", "nobody", "nobody"]
    );
}

#[tokio::test]
async fn unread_answer_closes_its_connection_and_idle_connections_are_limited() {
    let peer = Peer::start(Script::CloseInRequest(usize::MAX)).await;
    let options = Options {
        idle_per_address: 2,
        ..Options::default()
    };
    let pool = Pool::new(options);
    let unread = pool.send(&peer.address, request("a"), Timeouts::default());
    drop(unread.await.unwrap());
    peer.settle(1).await;
    let mut open = Vec::new();
    for id in ["b", "c", "d"] {
        open.push(exchange(&pool, &peer, id).await.unwrap());
    }
    assert_eq!(peer.counts(), (4, 4));
    drop(open);
    peer.settle(2).await;
    assert_eq!(peer.closed.load(std::sync::atomic::Ordering::SeqCst), 2);
}

#[tokio::test]
async fn answer_above_the_size_limit_is_malformed() {
    let peer = Peer::start(Script::CloseInRequest(usize::MAX)).await;
    let pool = Pool::default();
    let sent = pool.send(&peer.address, request("abcdef"), Timeouts::default());
    let mut body = sent.await.unwrap().into_body();
    assert_matches!(body.collect_up_to(5).await, Err(Error::Malformed { .. }));
    peer.settle(1).await;
}

#[tokio::test]
async fn a_request_that_is_given_up_does_not_arrive_after_a_link_is_restored() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let timeouts = Timeouts {
        head: Duration::from_millis(50),
        ..Timeouts::default()
    };
    let pool = Pool::default();
    let sent = pool.send(&address, request("late"), timeouts);
    assert_matches!(sent.await, Err(Error::Unanswered { .. }));
    // A reset discards what a link still holds; an orderly end would be delivered behind it.
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut bytes = Vec::new();
    let read = tokio::io::AsyncReadExt::read_to_end(&mut stream, &mut bytes).await;
    let kind = read.map_err(|error| error.kind());
    assert_eq!(kind, Err(std::io::ErrorKind::ConnectionReset));
}
