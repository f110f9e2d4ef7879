//! An outage of the log service.

use std::time::{Duration, Instant};

use crate::harness::{Settings, System, VMS, until};

/// Longer than a lease, which is 5 s.
const OUTAGE: Duration = Duration::from_secs(8);

/// Longest wait for a refusal of a booking.
const AT_ONCE: Duration = Duration::from_secs(5);

/// Longest time until everything works again.
const BACK: Duration = Duration::from_secs(15);

#[tokio::test(flavor = "multi_thread")]
async fn completions_go_on_and_nothing_accepted_reverts() {
    let system = System::start(Settings::default()).await;
    system
        .change("create workspace abuja rate 10 burst 20")
        .await;
    system.change("set workspace abuja rate 30").await;
    let tables = ["show workspaces", "show keys", "show models", "show places"];
    let before = tables.map(|line| system.rows(line));
    system.log_outage(true).await;
    let begin = Instant::now();
    let mut asked = 0;
    while begin.elapsed() < OUTAGE {
        for gate in &system.gates {
            let answer = system.lagos.chat(&gate.address, "Outage", false).await;
            let answer = answer.expect("an answer");
            assert_eq!(
                answer.status,
                200,
                "after {:?}: {}",
                begin.elapsed(),
                answer.body
            );
            asked += 1;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(asked > VMS);
    let sent = Instant::now();
    let refused = system.lagos.book(&system.gates[0].address, "order").await;
    let refused = refused.unwrap();
    assert_eq!((refused.status, refused.verdict()), (503, "not-run"));
    assert!(refused.headers.contains_key("retry-after"));
    assert!(sent.elapsed() < AT_ONCE);
    let change = system.ctl(None, &[], "set workspace abuja rate 50");
    assert_eq!(change.code, 3, "{change:?}");
    assert!(system.orders().await.is_empty());
    system.log_outage(false).await;
    until("bookings work", BACK, async || {
        let booked = system.lagos.book(&system.gates[0].address, "order").await;
        booked.is_some_and(|answer| answer.status == 201)
    })
    .await;
    assert_eq!(system.orders().await, [("order".to_owned(), 1)]);
    // What was refused as not sent has no effect, and what was accepted before is as it was at each keeper.
    for keeper in 0..VMS {
        for (line, before) in tables.iter().zip(&before) {
            let ctl = system.ctl(Some(keeper), &[], line);
            let rows = ctl.reply["table"]["rows"].as_array();
            assert_eq!(rows, Some(before), "{line}");
        }
    }
    system.change("set workspace abuja rate 60").await;
}
