//! The leading keeper killed.

use std::time::Duration;

use crate::harness::{Settings, System, until};

/// Longest time until another keeper leads, and until it has placed a model.
const TAKEN_OVER: Duration = Duration::from_secs(25);

/// Returns the member that leads.
fn leader(system: &System) -> Option<String> {
    let rows = system.rows("show leader");
    Some(rows.first()?[0].as_str()?.to_owned())
}

#[tokio::test(flavor = "multi_thread")]
async fn another_keeper_leads_and_places_without_overcommit() {
    let mut system = System::start(Settings::default()).await;
    let former = leader(&system).expect("somebody leads");
    let is_former = |n: usize| former.starts_with(&format!("vm-{n}/"));
    let at = (0..system.keepers.len()).find(|n| is_former(*n)).unwrap();
    // Loads are under way when the leader dies.
    system
        .change("create model stock version 1 memory 6000")
        .await;
    system.change("place stock copies 2..2").await;
    // A command that reaches a process which is just dying has an unknown outcome, so its end is awaited.
    system.keepers[at].kill();
    // Two copies of this one fit only once nothing is counted twice.
    system
        .change("create model notes version 1 memory 7000")
        .await;
    system.change("place notes copies 2..2").await;
    until("another keeper places", TAKEN_OVER, async || {
        let copies = |model: &str| system.rows(&format!("show loaded of {model}")).len();
        copies("stock") == 2 && copies("notes") == 2
    })
    .await;
    assert_ne!(leader(&system), Some(former));
    for engine in &system.engines {
        let record = system.record(engine).await;
        assert_eq!(record["overcommit_count"], 0, "{record}");
    }
}
