//! Checks the platform through the clients that the VMs use, and its admin calls over HTTP.

mod caller;

use std::fmt::Write;
use std::time::Duration;

use bytes::Bytes;
use caller::Caller;
use quetzalpick_client::http::{Pool, Timeouts};
use quetzalpick_client::traits::{Log, Stream, Vms};
use quetzalpick_client::{log, vms};
use quetzalpick_core::id::Offset;
use quetzalpick_standin::fault::{Fault, Switch};
use quetzalpick_standin::platform::{Options, Server};

/// Starts a platform with a limited append rate and without lag of the VM list.
async fn start(appends_per_second: u32) -> Server {
    let options = Options {
        appends_per_second,
        vms_lag: Duration::ZERO,
        ..Options::default()
    };
    Server::try_start(options).await.unwrap()
}

/// Appends records and writes the result to the session.
async fn append(session: &mut String, client: &log::Client, records: &[&str]) {
    let bytes = records
        .iter()
        .map(|r| Bytes::from(r.to_string().into_bytes()));
    let result = client.append(Stream::Control, bytes.collect()).await;
    let result = result.map_or_else(|e| format!("{}: {e}", e.verdict()), |o| format!("at {o}"));
    writeln!(session, "append {records:?}: {result}").unwrap();
}

/// Reads records and writes the result to the session.
async fn read(session: &mut String, client: &log::Client, from: u64) {
    let result = client
        .read(Stream::Control, Offset(from), Duration::ZERO)
        .await;
    let result = result.map_or_else(
        |e| e.to_string(),
        |batch| {
            let records = batch.records.iter().map(|r| String::from_utf8_lossy(r));
            let records: Vec<_> = records.collect();
            format!("{records:?}, kept {} to {}", batch.oldest, batch.head)
        },
    );
    writeln!(session, "read from {from}: {result}").unwrap();
}

#[tokio::test]
async fn log_session_over_http() {
    let server = start(1_000).await;
    let address = server.address().to_string();
    let client = log::Client::new(Pool::default(), &address, log::Options::default());
    let mut session = String::new();
    let (s, c) = (&mut session, &client);
    read(s, c, 0).await;
    append(s, c, &["one", "two"]).await;
    // Records appended together stay in sequence and are returned unchanged.
    append(s, c, &["three \u{fffd}\u{0}"]).await;
    read(s, c, 1).await;
    for fault in [
        Fault::AnswerLost,
        Fault::OrderLost,
        Fault::OrderDelayed { ms: 0 },
        Fault::Outage,
    ] {
        server.faults().set(fault, Some(1));
        append(s, c, &[&fault.to_string()]).await;
    }
    while server.record().control_head < 5 {
        tokio::task::yield_now().await;
    }
    server.faults().set(Fault::Outage, Some(1));
    read(s, c, 0).await;
    server.faults().set(Fault::CloseAt { bytes: 100 }, Some(1));
    read(s, c, 0).await;
    read(s, c, 0).await;
    server.log().set_retention(Stream::Control, 2);
    read(s, c, 0).await;
    read(s, c, 3).await;
    append(s, c, &["six"]).await;
    server.log().limit_rate(Some(0));
    append(s, c, &["seven, beyond the rate"]).await;
    append(s, c, &[]).await;
    insta::assert_snapshot!(session.replace(&address, "ADDRESS"));
}

#[tokio::test]
async fn long_poll_returns_with_the_next_record() {
    let server = start(1_000).await;
    let address = server.address().to_string();
    let client = log::Client::new(Pool::default(), address, log::Options::default());
    let waiting = client.read(Stream::Snapshots, Offset(0), Duration::from_secs(30));
    let records = vec![Bytes::from_static(b"snapshot")];
    let appending = client.append(Stream::Snapshots, records);
    let (batch, first) = tokio::join!(waiting, appending);
    assert_eq!(first.unwrap(), Offset(0));
    let batch = batch.unwrap();
    assert!(batch.reaches_head());
    assert_eq!(batch.records, [Bytes::from_static(b"snapshot")]);
}

#[tokio::test]
async fn administration_session() {
    let server = start(1_000).await;
    let mut caller = Caller::new(server.address());
    let c = &mut caller;
    let vm = r#"{"change":"add","name":"ng-1","domain":"a","address":"10.0.0.1","status":"live"}"#;
    c.send("POST /admin/vms", vm).await;
    c.send("GET /vms", "").await;
    c.send("POST /admin/vms", r#"{"change":"leaving","name":"ng-1"}"#)
        .await;
    c.send("GET /vms", "").await;
    c.send("POST /admin/vms", r#"{"change":"remove","name":"ng-1"}"#)
        .await;
    c.send("GET /vms", "").await;
    c.send(
        "POST /admin/retention",
        r#"{"stream":"control","records":1}"#,
    )
    .await;
    c.send("POST /admin/retention", r#"{"stream":"other","records":1}"#)
        .await;
    c.send(
        "POST /weights/adapter",
        r#"{"artifact":"kashrut","version":2}"#,
    )
    .await;
    c.send("POST /weights/adapter", "[]").await;
    c.send("GET /streams/other?from=0", "").await;
    c.send("GET /streams/control", "").await;
    c.send("POST /streams/control/append", "not MessagePack")
        .await;
    c.send("GET /admin/record", "").await;
    let session = caller
        .session
        .replace(&server.address().to_string(), "ADDRESS");
    insta::assert_snapshot!(session);
}

#[tokio::test]
async fn vm_list_lags_and_faults_apply_only_to_their_path() {
    let options = Options {
        vms_lag: Duration::from_secs(3_600),
        ..Options::default()
    };
    let server = Server::try_start(options).await.unwrap();
    let address = server.address().to_string();
    let client = vms::Client::new(Pool::default(), address, Timeouts::default());
    let change =
        r#"{"change":"add","name":"ng-1","domain":"a","address":"10.0.0.1","status":"live"}"#;
    server.change_vms(serde_json::from_str(change).unwrap());
    server.faults().add(Switch {
        fault: Fault::Outage,
        count: None,
        path: "/streams/".to_owned(),
    });
    assert_eq!(client.list().await.unwrap().vms, []);
}

#[tokio::test]
async fn another_server_shares_the_log_but_not_the_faults() {
    let server = start(1_000).await;
    let other = server.try_start_another().await.unwrap();
    server.faults().set(Fault::Outage, None);
    let client = |server: &Server| {
        let address = server.address().to_string();
        log::Client::new(Pool::default(), address, log::Options::default())
    };
    let records = vec![Bytes::from_static(b"one")];
    assert!(
        client(&server)
            .append(Stream::Control, records.clone())
            .await
            .is_err()
    );
    assert_eq!(
        client(&other)
            .append(Stream::Control, records)
            .await
            .unwrap(),
        Offset(0)
    );
    server.faults().clear();
    let batch = client(&server)
        .read(Stream::Control, Offset(0), Duration::ZERO)
        .await;
    assert_eq!(batch.unwrap().records.len(), 1);
}

#[tokio::test]
async fn peak_concurrent_loads_are_recorded() {
    let server = start(1_000).await;
    let load = async || {
        let mut caller = Caller::new(server.address());
        let fetch = r#"{"artifact":"kashrut","version":1}"#;
        caller.send("POST /weights/adapter", fetch).await;
    };
    futures::join!(load(), load(), load());
    let adapters = server.record().adapters;
    assert_eq!(adapters.loads, 3);
    assert!((1..=3).contains(&adapters.most_at_a_time));
}
