//! Tests of killing the leading keeper.

use std::time::Duration;

use crate::harness::{Settings, System, wait_until};

/// Maximum time until another keeper leads and has placed the models.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(25);

/// Returns the member that is the leader.
fn leader(system: &System) -> Option<String> {
    let rows = system.rows("show leader");
    Some(rows.first()?[0].as_str()?.to_owned())
}

#[tokio::test(flavor = "multi_thread")]
async fn new_leader_places_models_without_overcommit() {
    let mut system = System::start(Settings::default()).await;
    let former = leader(&system).expect("a keeper leads");
    let is_former = |n: usize| former.starts_with(&format!("vm-{n}/"));
    let index = (0..system.keepers.len()).find(|n| is_former(*n)).unwrap();
    // Loads are in progress when the leader is killed.
    system
        .change("create model stock version 1 memory 6000")
        .await;
    system.change("place stock copies 2..2").await;
    // `kill` waits for the exit, because a command sent to a process that is exiting would have an unknown outcome.
    system.keepers[index].kill();
    // Two copies of this model fit only if no memory is counted twice.
    system
        .change("create model notes version 1 memory 7000")
        .await;
    system.change("place notes copies 2..2").await;
    wait_until("another keeper places", TAKEOVER_TIMEOUT, async || {
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
