//! A workspace's rate and burst across gates.

use std::time::{Duration, Instant};

use crate::world::{PASTO, World, set_workspace};

const CHAT: &str = "/v1/chat/completions";
/// Tokens that one request is charged: 4 of the prompt and 46 of the answer.
const CHARGE: u64 = 50;
const RATE: u64 = 100;
const BURST: u64 = 1_000;

/// Returns the body of a request whose answer is as long as what is charged.
fn body() -> String {
    // `user: 123456789` and a line feed are 16 bytes, 4 tokens.
    let message = r#"{"role":"user","content":"123456789"}"#;
    format!(r#"{{"model":"menu","messages":[{message}],"max_tokens":46}}"#)
}

/// Tells whether what was admitted exceeds what the workspace may spend in a time.
fn exceeds(admitted: u64, window: Duration) -> bool {
    let refilled = RATE as u128 * window.as_millis() / 1_000;
    u128::from(admitted) > u128::from(BURST) + refilled
}

#[tokio::test(flavor = "multi_thread")]
async fn gates_share_one_burst_and_one_rate() {
    let world = World::start().await;
    world
        .change(set_workspace("pasto", RATE, BURST, &["menu"]))
        .await;
    let gates = [
        world.gate("vm-1").await,
        world.gate("vm-2").await,
        world.gate("vm-3").await,
    ];
    for gate in &gates {
        gate.until(|state| state.revision().0 >= 9).await;
    }
    // Buckets may have been filled before the first request: the window begins before it.
    let begin = Instant::now();
    // All requests first arrive at a gate that holds nothing, then at all of them.
    let mut admitted = 0;
    let mut refused = 0;
    for at in 0..60 {
        let gate = &gates[if at < 20 { 2 } else { at % 3 }];
        let answer = gate.client.post(CHAT, PASTO, body()).await;
        match answer.status {
            200 => admitted += CHARGE,
            429 => {
                assert_eq!(answer.verdict(), "not-run");
                assert!(answer.headers.contains_key("retry-after"));
                refused += 1;
            }
            other => panic!("{other}: {}", answer.body),
        }
        assert!(!exceeds(admitted, begin.elapsed()), "{admitted} admitted");
    }
    // What one gate holds is to be had at another: less than one request remains out of reach at each gate.
    assert!(
        refused > 0 && admitted >= BURST - 4 * CHARGE,
        "{admitted} admitted"
    );
    // The naive version, a full bucket at each gate, is caught by the same comparison.
    assert!(exceeds(3 * BURST, Duration::from_secs(1)));
}
