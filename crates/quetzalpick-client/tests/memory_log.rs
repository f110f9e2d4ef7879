//! The in-memory log service with each of its injected faults, on which tests of other crates rely.

use std::fmt::Write;
use std::time::Duration;

use bytes::Bytes;
use quetzalpick_client::memory;
use quetzalpick_client::traits::{Log, Stream};
use quetzalpick_core::id::Offset;

/// Appends one record and adds the result to the session's transcript.
async fn append(session: &mut String, log: &memory::Log, record: &'static str) {
    let records = vec![Bytes::from_static(record.as_bytes())];
    let result = log.append(Stream::Control, records).await;
    let result = result.map_or_else(|e| format!("{} {e}", e.verdict()), |o| format!("at {o}"));
    writeln!(session, "append {record}: {result}").unwrap();
}

/// Reads from an offset and adds the result to the session's transcript.
async fn read(session: &mut String, log: &memory::Log, from: u64) {
    let wait = Duration::from_secs(1);
    let result = log.read(Stream::Control, Offset(from), wait).await;
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

#[tokio::test(start_paused = true)]
async fn log_session_with_faults() {
    let mut session = String::new();
    let s = &mut session;
    let log = memory::Log::new();
    let (a, b) = (log.handle("a"), log.handle("b"));
    append(s, &a, "one").await;
    a.drop_answers(1);
    append(s, &a, "two, answer lost").await;
    b.hold_appends(1);
    append(s, &b, "three, held").await;
    append(s, &a, "four").await;
    b.release_appends();
    read(s, &b, 0).await;
    a.set_disconnected(true);
    append(s, &a, "five, cut").await;
    append(s, &b, "six").await;
    a.set_disconnected(false);
    log.set_outage(true);
    append(s, &b, "seven, outage").await;
    read(s, &a, 0).await;
    log.set_outage(false);
    log.limit_rate(Some(1));
    append(s, &a, "eight").await;
    append(s, &b, "nine, beyond the rate").await;
    tokio::time::advance(Duration::from_secs(1)).await;
    append(s, &b, "ten").await;
    log.set_retention(Stream::Control, 2);
    read(s, &a, 0).await;
    read(s, &a, 5).await;
    // A waiting read returns a record as soon as it is appended, and an empty page after its wait.
    log.limit_rate(None);
    let (_, ()) = tokio::join!(append(s, &b, "eleven"), async {
        let batch = a.read(Stream::Control, Offset(7), Duration::from_secs(60));
        assert_eq!(batch.await.unwrap().records.len(), 1);
    });
    read(s, &a, 8).await;
    insta::assert_snapshot!(session);
}
