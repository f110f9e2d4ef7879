//! Checks that malformed and oversized requests, sent as raw bytes, are refused and have no effect.

use std::fmt::Write;

use bytes::Bytes;
use http_body_util::Full;
use quetzalpick_client::http::{Pool, Timeouts};
use quetzalpick_standin::service::{Options, Server};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Sends raw bytes and returns the status line of the answer, or `closed`.
async fn status_of(server: &Server, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(server.address()).await.unwrap();
    // The server may answer and close before it has read all bytes.
    let _ = stream.write_all(bytes).await;
    let mut answer = vec![0; 64];
    let count = stream.read(&mut answer).await.unwrap_or(0);
    let text = String::from_utf8_lossy(&answer[..count]).into_owned();
    text.lines().next().unwrap_or("closed").to_owned()
}

#[tokio::test]
async fn raw_session() {
    let server = Server::try_start(Options::default()).await.unwrap();
    let long_path = format!("GET /{} HTTP/1.1\r\n\r\n", "x".repeat(70_000));
    let many_headers = format!("GET / HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(200));
    let mut session = String::new();
    for (name, bytes) in [
        ("noise", "\0\u{1}\u{2} noise\r\n\r\n"),
        ("no version", "GET /availability\r\n\r\n"),
        ("long path", &long_path),
        ("many headers", &many_headers),
        (
            "large body",
            "POST /bookings HTTP/1.1\r\ncontent-length: 999999999\r\n\r\n{",
        ),
        (
            "two lengths",
            "POST /bookings HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n{",
        ),
        ("good", "GET /availability HTTP/1.1\r\nhost: x\r\n\r\n"),
    ] {
        writeln!(
            session,
            "{name}: {}",
            status_of(&server, bytes.as_bytes()).await
        )
        .unwrap();
    }
    insta::assert_snapshot!(session);
    assert_eq!(server.record().executions, []);
}

#[tokio::test(flavor = "multi_thread")]
async fn large_body_is_read_before_it_is_refused() {
    let server = Server::try_start(Options::default()).await.unwrap();
    let address = server.address().to_string();
    let pool = Pool::default();
    for _ in 0..10 {
        let body = Full::new(Bytes::from(vec![b' '; 17 * 1024 * 1024]));
        let request = hyper::Request::post("/bookings").body(body).unwrap();
        // If the server closed while the body is still being sent, the caller would not receive the answer.
        let sent = pool.send(&address, request, Timeouts::default());
        assert_eq!(sent.await.unwrap().status(), 413);
    }
}
