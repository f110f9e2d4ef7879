//! Answers that are read whole share the memory of their pool.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use assert_matches::assert_matches;
use bytes::Bytes;
use http_body_util::Full;
use quetzalpick_client::errors::{Error, Result};
use quetzalpick_client::http::memory::Memory;
use quetzalpick_client::http::{Options, Pool, Request, Timeouts};
use quetzalpick_core::memory::Kind;
use quetzalpick_core::verdict::Verdict;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const LIMIT_BYTES: u64 = 1 << 20;

/// Longest answer that is read.
const ANSWER_MAX_BYTES: usize = 1 << 20;

/// Answers that are read at once.
const CALLS: usize = 32;

/// Starts a peer that answers `/N` with N bytes, announced, and `/endless` without end; returns its address and the number of
/// endless answers that the other side has closed.
async fn start_peer() -> (String, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let closed = Arc::new(AtomicUsize::default());
    let count = Arc::clone(&closed);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let count = Arc::clone(&count);
            tokio::spawn(async move {
                if answer(stream).await.is_err() {
                    count.fetch_add(1, Ordering::SeqCst);
                }
            });
        }
    });
    (address, closed)
}

async fn answer(mut stream: TcpStream) -> std::io::Result<()> {
    let mut bytes = vec![0; 4096];
    let read = stream.read(&mut bytes).await?;
    let request = String::from_utf8_lossy(&bytes[..read]);
    let path = request.split(' ').nth(1).unwrap_or_default();
    if let Ok(length) = path[1..].parse() {
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
        stream.write_all(head.as_bytes()).await?;
        return stream.write_all(&vec![b'x'; length]).await;
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await?;
    loop {
        stream.write_all(&[b'x'; 8192]).await?;
    }
}

async fn call(pool: &Pool, address: &str, path: &str) -> Result<Bytes> {
    let request = Request::new(Full::default());
    let (mut head, body) = request.into_parts();
    head.uri = path.parse().unwrap();
    let request = Request::from_parts(head, body);
    let answer = pool.send(address, request, Timeouts::default()).await?;
    answer.into_body().collect_up_to(ANSWER_MAX_BYTES).await
}

#[tokio::test]
async fn endless_answers_at_once_do_not_exceed_the_memory_of_the_pool() {
    let (address, closed) = start_peer().await;
    let memory = Memory::new(LIMIT_BYTES);
    let pool = Pool::with_memory(Options::default(), memory.of_kind(Kind::Answer));
    let calls = (0..CALLS).map(|_| call(&pool, &address, "/endless"));
    let mut short = 0;
    for answer in futures::future::join_all(calls).await {
        let error = answer.unwrap_err();
        assert_eq!(error.verdict(), Verdict::MayHaveRun);
        short += usize::from(matches!(error, Error::MemoryShort { .. }));
    }
    assert!(short >= CALLS - 1, "{short} of {CALLS}");
    let usage = memory.usage();
    assert!(usage.peak_bytes <= LIMIT_BYTES && usage.held_bytes == 0);
    while closed.load(Ordering::SeqCst) < CALLS {
        tokio::task::yield_now().await;
    }
    assert_matches!(call(&pool, &address, "/65536").await, Ok(_));
}

#[tokio::test]
async fn an_answer_keeps_its_memory_until_its_last_reference_is_dropped() {
    let (address, _) = start_peer().await;
    let memory = Memory::new(LIMIT_BYTES);
    let pool = Pool::with_memory(Options::default(), memory.of_kind(Kind::Control));
    let bytes = call(&pool, &address, "/100000").await.unwrap();
    let part = bytes.slice(10..20);
    drop(bytes);
    // What is announced is not copied to make room.
    assert_eq!(memory.usage().held_bytes, 100_000);
    assert_eq!(memory.usage().peak_bytes, 100_000);
    drop(part);
    assert_eq!(memory.usage().held_bytes, 0);
    assert_matches!(call(&pool, &address, "/1000").await, Ok(_));
    assert_eq!(memory.usage().peak_bytes, 100_000);
}
