//! Tests that bytes without end from engines and services do not take the memory that the callers of a gate need.

use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::json;

use crate::crowd::{Crowd, Manner, Sending};
use crate::harness::{Settings, System, TOKENS, chat_body, wait_until};
use crate::valve::{Flood, Rule, Valve};

/// Memory of a VM, in kB: the bound for its gate.
const MEMORY_KB: u64 = 64 * 1024;

/// Longest body that a gate takes, in bytes.
const BODY_MAX_BYTES: usize = 4 << 20;

/// Callers at once.
const MEMBERS: usize = 200;

/// Most bytes of an answer: all take eight times the memory of the VM.
const ANSWER_BYTES: usize = (512 << 20) / MEMBERS;

/// Timeout of each wait, far longer than what is awaited takes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// `Kind` is what callers ask for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Booking,
    Chat,
    Stream,
}

/// Lets bytes without end come from all endpoints while callers ask the first gate, and checks it.
async fn check(kind: Kind, flood: Flood, refused: bool, manner: Manner) {
    let valve = Valve::default();
    let settings = Settings {
        callers: "buffer_mb = 16\nconnections_max = 256",
        ..Settings::default()
    };
    let mut system = System::start_behind(settings, Some(&valve)).await;
    let (path, target) = match kind {
        Kind::Booking => ("/services/bookings/bookings", "/bookings"),
        Kind::Chat | Kind::Stream => ("/v1/chat/completions", "completions"),
    };
    valve.set(Some(Rule {
        flood,
        refused,
        target,
        limit: ANSWER_BYTES,
        answers: 2 * MEMBERS,
    }));
    let gate = system.gates[0].address.clone();
    let key = system.lagos.key().to_owned();
    let crowd = Crowd::start(gate.parse().unwrap(), MEMBERS, &valve.sent, |n| {
        let body = match kind {
            Kind::Booking => json!({ "order": format!("flood-{n}") }),
            _ => chat_body(&format!("Flood {n}"), TOKENS, kind == Kind::Stream),
        };
        let body = body.to_string();
        let fields = format!("authorization: Bearer {key}\r\nidempotency-key: flood-{n}");
        let length = body.len();
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: a\r\n{fields}\r\ncontent-type: application/json\r\n"
        );
        let request = format!("{head}content-length: {length}\r\n\r\n{body}");
        Sending::whole(request.into_bytes(), manner)
    });
    let begun = || valve.begun.load(Ordering::SeqCst) > 0;
    wait_until("floods have begun", WAIT_TIMEOUT, async || begun()).await;
    crowd.settle().await;
    let peak_kb = system.gates[0].peak_kb();
    eprintln!("peak_kb={peak_kb}");
    assert!(peak_kb <= MEMORY_KB, "peak of {peak_kb} kB");
    drop(crowd);
    let is_over = || valve.open.load(Ordering::SeqCst) == 0;
    wait_until("floods are over", WAIT_TIMEOUT, async || is_over()).await;
    valve.set(None);
    // The longest body that is taken, with room for what is around the note.
    let note = "x".repeat(BODY_MAX_BYTES - 1024);
    let body = json!({ "order": "after", "note": note });
    wait_until("the longest body is answered", WAIT_TIMEOUT, async || {
        let answer = system
            .lagos
            .post(&gate, "/services/bookings/bookings", &body);
        answer.await.is_some_and(|answer| answer.status < 300)
    })
    .await;
    system
        .wait_until_served(&gate, &system.lagos, WAIT_TIMEOUT)
        .await;
    let peak_kb = system.gates[0].peak_kb();
    eprintln!("peak_kb={peak_kb} {valve:?}");
    assert!(peak_kb <= MEMORY_KB, "peak of {peak_kb} kB");
    let passes = manner == Manner::Reads && kind == Kind::Stream && flood == Flood::Comments;
    let unbounded = valve.unbounded.load(Ordering::SeqCst);
    assert!(passes || unbounded == 0, "{unbounded} answers taken whole");
}

macro_rules! cases {
    ($($name:ident: $kind:ident, $flood:ident, $refused:literal, $manner:ident;)*) => {
        $(
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                check(Kind::$kind, Flood::$flood, $refused, Manner::$manner).await;
            }
        )*
    };
}

cases! {
    an_event_without_end_leaves_memory_to_the_gate_if_read: Stream, Event, false, Reads;
    an_event_without_end_leaves_memory_to_the_gate_if_unread: Stream, Event, false, Ignores;
    a_long_event_that_stops_leaves_memory_to_the_gate: Stream, LongEvent, false, Reads;
    comments_without_end_leave_memory_to_the_gate_if_unread: Stream, Comments, false, Ignores;
    a_body_without_length_leaves_memory_to_the_gate: Chat, Unframed, false, Reads;
    a_body_in_chunks_leaves_memory_to_the_gate: Chat, Chunks, false, Reads;
    a_booking_in_chunks_leaves_memory_to_the_gate: Booking, Chunks, false, Reads;
    a_header_line_leaves_memory_to_the_gate: Booking, HeaderLine, false, Reads;
    a_refusal_in_chunks_leaves_memory_to_the_gate: Chat, Chunks, true, Reads;
}
