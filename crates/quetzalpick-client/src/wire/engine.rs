//! Model engines.
//!
//! Callers' side: `POST /v1/chat/completions` and `POST /v1/completions` in the common form, with `x-request-id` echoed
//! in the answer's headers and as `id` in its body and in each chunk of a stream; `x-priority` (0 is most urgent); each
//! chunk's `quetzalpick_index` counts tokens from 0. `x-resume-from: N` continues the stream of that request id at
//! token N (404 with `x-not-run: resume` if it is not known any more); the body's field `quetzalpick_prefix` is text
//! already generated elsewhere, which is taken as generated and counted, and the answer goes on after it. `DELETE /v1/requests/{id}` cancels. A leaving engine
//! answers 503 with `x-not-run: leaving`; an overloaded one 429 with `x-not-run: overloaded`; an engine without the
//! model 404 with `x-not-run: model`.
//!
//! Administration: `GET /engine/report` answers `Report`; `POST /engine/orders` takes `Order` and answers 202, or 409
//! with `Fenced`, or 422 when it will never do it; `GET /engine/events?from=N` answers `Events`.

use serde::{Deserialize, Serialize};

/// `Copy` is one version of a model or adapter in the engine's memory.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Copy {
    /// Model or adapter.
    pub artifact: String,
    /// Its version.
    pub version: u32,
    /// Memory it takes, in MB.
    pub memory_mb: u64,
}

/// `Action` is what an order asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Action {
    /// Load the copy.
    Load,
    /// Unload the copy.
    Unload,
}

/// `Order` asks an engine to change what it holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number; grows with every order to this engine.
    pub fencing: u64,
    /// What to do.
    pub action: Action,
    /// With what.
    pub copy: Copy,
    /// Base model of an adapter; `None` for a model.
    pub base: Option<String>,
}

/// `Fenced` refuses an order with an old fencing number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fenced {
    /// Newest number seen.
    pub seen: u64,
}

/// `Report` is an engine's account of itself. What it holds is current; its load lags.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Drawn anew at each start.
    #[serde(rename = "boot")]
    pub incarnation: u64,
    /// Copies that serve, sorted.
    pub loaded: Vec<Copy>,
    /// Copies being loaded, sorted; they count as used memory.
    pub loading: Vec<Copy>,
    /// Memory for copies, in MB.
    pub memory_mb: u64,
    /// Fencing number of the newest order that took effect.
    pub fencing: u64,
    /// Fencing numbers of the newest orders that were refused for good, ascending.
    pub refused: Vec<u64>,
    /// Requests in the running batch.
    pub running: u32,
    /// Requests waiting for the batch.
    pub waiting: u32,
    /// Age of the load figures, in ms.
    pub load_age_ms: u64,
    /// Whether the engine is about to stop.
    pub leaving: bool,
}

/// `Event` tells that a prompt prefix entered or left the cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Number of the event.
    pub number: u64,
    /// Model or adapter.
    pub artifact: String,
    /// Hash of the prefix: see `prefix_hash`.
    pub prefix: u64,
    /// Whether it is now cached.
    pub cached: bool,
}

/// `Events` is a run of cache events.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Events {
    /// Drawn anew at each start; numbers begin again.
    #[serde(rename = "boot")]
    pub incarnation: u64,
    /// Number to ask from next time.
    pub next: u64,
    /// The events; numbers may be missing.
    pub events: Vec<Event>,
}

/// Bytes of prompt text in one cached block.
pub const PREFIX_BLOCK_BYTES: usize = 256;

/// Hashes the first `blocks` blocks of a prompt with FNV-1a, 64 bits.
pub fn prefix_hash(prompt: &[u8], blocks: usize) -> u64 {
    const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
    let end = prompt.len().min(blocks * PREFIX_BLOCK_BYTES);
    prompt[..end].iter().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    })
}
