//! Refusals that an endpoint writes once more on a kept connection.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use quetzalpick_core::id::Service;
use quetzalpick_core::record::EndpointKind;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::client::Answer;
use crate::deployment::{Deployment, LAGOS, quick_gate};

/// Time between the copy of a refusal and the answer that follows it.
const PAUSE: Duration = Duration::from_millis(50);

/// `Stub` is an order service that refuses its first bookings, and writes each refusal once more before the next answer on its connection.
#[derive(Debug, Clone, Default)]
struct Stub {
    /// Bookings that are still to be refused.
    refusals: Arc<AtomicUsize>,
    /// Ids of the bookings that ran.
    runs: Arc<Mutex<Vec<String>>>,
}

impl Stub {
    /// Starts an order service that refuses this many bookings.
    async fn start(refusals: usize) -> (Self, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let stub = Self::default();
        stub.refusals.store(refusals, Ordering::SeqCst);
        let server = stub.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(server.clone().serve(stream));
            }
        });
        (stub, address)
    }

    /// Serves a connection until the gate closes it.
    async fn serve(self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut copy: Option<String> = None;
        loop {
            let Some((id, order)) = read_booking(&mut stream).await? else {
                return Ok(());
            };
            let refuse = |left: usize| left.checked_sub(1);
            let (set, fetch) = (Ordering::SeqCst, Ordering::SeqCst);
            if self.refusals.fetch_update(set, fetch, refuse).is_ok() {
                let refusal = answer(&id, "429 X\r\nx-not-run: overloaded", "{}");
                stream.write_all(refusal.as_bytes()).await?;
                copy = Some(refusal);
                continue;
            }
            self.runs.lock().unwrap().push(id.clone());
            if let Some(copy) = copy.take() {
                stream.write_all(copy.as_bytes()).await?;
                tokio::time::sleep(PAUSE).await;
            }
            let body = format!(r#"{{"order":"{order}","confirmation":"c","executions":1}}"#);
            let answer = answer(&id, "201 X", &body);
            stream.write_all(answer.as_bytes()).await?;
        }
    }

    fn run_count(&self) -> usize {
        self.runs.lock().unwrap().len()
    }
}

/// Builds an answer to the request with an id.
fn answer(id: &str, status: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\nx-request-id: {id}\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

/// Reads a booking, and returns its id and order; `None` at the end of the connection.
async fn read_booking(stream: &mut TcpStream) -> std::io::Result<Option<(String, String)>> {
    let mut text = String::new();
    let mut buffer = [0; 4_096];
    // A booking ends with its body, the only object in it.
    while !text.ends_with('}') {
        let length = stream.read(&mut buffer).await?;
        if length == 0 {
            return Ok(None);
        }
        text.push_str(&String::from_utf8_lossy(&buffer[..length]));
    }
    let lines = text.lines();
    let id = lines
        .clone()
        .find_map(|line| line.strip_prefix("x-request-id: "));
    let order = text.rsplit('"').nth(1);
    Ok(id.zip(order).map(|(id, order)| (id.into(), order.into())))
}

/// Books an order at a gate before a stub that refuses `refusals` bookings; the gate makes at most `attempts` attempts.
async fn book(refusals: usize, attempts: u32) -> (Stub, Answer) {
    let deployment = Deployment::start().await;
    let (stub, address) = Stub::start(refusals).await;
    let service = Service::try_new("orders").unwrap();
    let kind = EndpointKind::Service { service };
    deployment.set_endpoint("orders-1", address, kind).await;
    let mut options = quick_gate();
    options.attempts_max = attempts;
    let gate = deployment.gate_with("vm-1", options).await;
    let answer = gate.client.book(LAGOS, "1", "1").await.unwrap();
    (stub, answer)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_copy_of_a_refusal_does_not_let_a_booking_run_twice() {
    let (stub, answer) = book(1, 4).await;
    assert_eq!((answer.status, stub.run_count()), (201, 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_copy_of_a_refusal_does_not_say_that_a_booking_has_not_run() {
    let (stub, answer) = book(1, 2).await;
    assert_eq!((answer.status, stub.run_count()), (201, 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_booking_that_is_refused_each_time_has_not_run() {
    let (stub, answer) = book(usize::MAX, 2).await;
    assert_eq!((answer.verdict(), stub.run_count()), ("not-run", 0));
}
