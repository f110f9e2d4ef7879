//! Tests of an outage of the log service.

use std::time::{Duration, Instant};

use crate::harness::{Settings, System, VMS, wait_until};

/// Duration of the outage; it is longer than a lease, which is 5 s.
const OUTAGE: Duration = Duration::from_secs(8);

/// Maximum time until a booking is refused.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum time until bookings work again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);

#[tokio::test(flavor = "multi_thread")]
async fn completions_continue_and_accepted_changes_persist_during_log_outage() {
    let system = System::start(Settings::default()).await;
    system
        .change("create workspace abuja rate 10 burst 20")
        .await;
    system.change("set workspace abuja rate 30").await;
    let tables = ["show workspaces", "show keys", "show models", "show places"];
    let before = tables.map(|line| system.rows(line));
    system.set_log_outage(true).await;
    let start = Instant::now();
    let mut answered = 0;
    while start.elapsed() < OUTAGE {
        for gate in &system.gates {
            let answer = system.lagos.chat(&gate.address, "Outage", false).await;
            let answer = answer.expect("an answer");
            assert_eq!(
                answer.status,
                200,
                "after {:?}: {}",
                start.elapsed(),
                answer.body
            );
            answered += 1;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(answered > VMS);
    let sent = Instant::now();
    let refused = system.lagos.book(&system.gates[0].address, "order").await;
    let refused = refused.unwrap();
    assert_eq!((refused.status, refused.verdict()), (503, "not-run"));
    assert!(refused.headers.contains_key("retry-after"));
    assert!(sent.elapsed() < REFUSAL_TIMEOUT);
    let change = system.ctl(None, &[], "set workspace abuja rate 50");
    assert_eq!(change.code, 3, "{change:?}");
    assert!(system.orders().await.is_empty());
    system.set_log_outage(false).await;
    wait_until("bookings work", RECOVERY_TIMEOUT, async || {
        let booked = system.lagos.book(&system.gates[0].address, "order").await;
        booked.is_some_and(|answer| answer.status == 201)
    })
    .await;
    assert_eq!(system.orders().await, [("order".to_owned(), 1)]);
    // A change that was refused as not sent has no effect, and changes accepted before are unchanged at each keeper.
    for keeper in 0..VMS {
        for (line, before) in tables.iter().zip(&before) {
            let output = system.ctl(Some(keeper), &[], line);
            let rows = output.reply["table"]["rows"].as_array();
            assert_eq!(rows, Some(before), "{line}");
        }
    }
    system.change("set workspace abuja rate 60").await;
}
