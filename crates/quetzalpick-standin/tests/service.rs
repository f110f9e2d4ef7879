//! Checks the service's answers over HTTP, and that each fault executes an order as often as documented.

mod caller;

use caller::Caller;
use quetzalpick_standin::fault::Fault;
use quetzalpick_standin::service::{Options, Server};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

#[tokio::test]
async fn service_session() {
    let server = Server::try_start(Options::default()).await.unwrap();
    let mut caller = Caller::new(server.address());
    let c = &mut caller;
    c.send(
        "POST /bookings?table=4 x-request-id=r1 x-note=fish",
        r#"{"order":7}"#,
    )
    .await;
    c.send("GET /bookings/7 x-request-id=r2", "").await;
    c.send("GET /bookings/8", "").await;
    c.send("GET /availability x-request-id=r3", "").await;
    // Malformed input is refused and the service continues to run.
    c.send("POST /bookings", "{").await;
    c.send("POST /bookings", r#"{"order":{}}"#).await;
    c.send("PUT /bookings", "").await;
    c.send("POST /admin/fault", r#"{"fault":"earthquake"}"#)
        .await;
    c.send(
        "POST /admin/fault",
        r#"{"fault":"stream-crash","tokens":1}"#,
    )
    .await;
    c.send("POST /admin/nothing", "{}").await;
    // Each fault applies to one call.
    for (fault, order) in [
        (r#"{"fault":"answer-lost","count":1}"#, 20),
        (r#"{"fault":"order-lost","count":1}"#, 21),
        (r#"{"fault":"order-delayed","ms":0,"count":1}"#, 22),
        (r#"{"fault":"outage","count":1}"#, 23),
        (r#"{"fault":"refuse","count":1,"path":"/bookings"}"#, 24),
        (r#"{"fault":"close-at","bytes":30,"count":1}"#, 25),
        (r#"{"fault":"crossed","count":1}"#, 26),
    ] {
        c.send("POST /admin/fault", fault).await;
        let booking = format!(r#"{{"order":{order}}}"#);
        c.send("POST /bookings x-request-id=r4", &booking).await;
    }
    c.send("POST /admin/leaving", r#"{"leaving":true}"#).await;
    c.send("GET /availability", "").await;
    // The record is complete once the delayed order has run.
    while server.record().executions_of("22") == 0 {
        tokio::task::yield_now().await;
    }
    c.send("GET /admin/record", "").await;
    insta::assert_snapshot!(
        caller
            .session
            .replace(&server.address().to_string(), "ADDRESS")
    );
    let record = server.record();
    let executions = [7, 20, 21, 22, 23, 24, 25, 26].map(|o| record.executions_of(&o.to_string()));
    assert_eq!(executions, [1, 1, 0, 1, 0, 0, 1, 1]);
}

#[tokio::test]
async fn booking_runs_once_when_connection_closes_after_any_byte() {
    let server = Server::try_start(Options::default()).await.unwrap();
    let mut caller = Caller::new(server.address());
    for bytes in 0..200 {
        server.faults().set(Fault::CloseAt { bytes }, Some(1));
        let booking = format!(r#"{{"order":{bytes}}}"#);
        caller.send("POST /bookings", &booking).await;
        assert_eq!(server.record().executions_of(&bytes.to_string()), 1);
    }
    assert!(!caller.session.contains("not-run"));
    assert!(caller.session.contains("may-have-run"));
}

#[tokio::test]
async fn a_refusal_is_written_twice_on_its_connection() {
    let server = Server::try_start(Options::default()).await.unwrap();
    server.faults().set(Fault::RefuseTwice, Some(1));
    let mut stream = TcpStream::connect(server.address()).await.unwrap();
    let mut text = String::new();
    for (id, answers) in [("r1", 1), ("r2", 3)] {
        let request = format!(
            "POST /bookings HTTP/1.1\r\nhost: a\r\nx-request-id: {id}\r\ncontent-length: 11\r\n\r\n{{\"order\":1}}"
        );
        stream.write_all(request.as_bytes()).await.unwrap();
        while text.matches("\r\n\r\n").count() < answers {
            let mut bytes = [0; 1_024];
            let length = stream.read(&mut bytes).await.unwrap();
            assert!(length > 0, "closed after: {text}");
            text.push_str(std::str::from_utf8(&bytes[..length]).unwrap());
        }
    }
    let answers = text.split("HTTP/1.1 ").skip(1);
    let answers = answers.map(|answer| (&answer[..3], answer.contains("x-request-id: r1")));
    let answers: Vec<(&str, bool)> = answers.collect();
    assert_eq!(answers, [("429", true), ("429", true), ("201", false)]);
    assert_eq!(server.record().executions_of("1"), 1);
}
