//! What one holder has of a budget, and whether it may lose it.

use crate::memory::account::Taken;

/// Bytes that must arrive until a transfer counts as going on.
const PROGRESS_BYTES: u64 = 4 * 1024;

/// Time without progress after which a transfer counts as stalled, in ms.
const STALL_MS: u64 = 1_000;

/// `Kind` states whose bytes a holding is for, which decides who gives way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// The body of a caller's request, or a long answer to one.
    Body,
    /// An answer of an endpoint. While it arrives it gives way to the other kinds if it is long.
    Answer,
    /// An event of an endpoint's stream, kept until it is complete and its caller takes it. Gives way as an answer does. Since callers may
    /// leave it unread, it takes bytes only while a part of the limit covers all that is held, and no body gives way to it.
    Event,
    /// An answer of the store or of another VM, without which the VM serves nobody. A part that long bodies and answers leave is for it.
    Control,
}

impl Kind {
    /// Returns whether an endpoint sends the bytes.
    pub(super) fn is_of_endpoint(self) -> bool {
        matches!(self, Self::Answer | Self::Event)
    }
}

/// `Holding` describes the bytes of one holder.
#[derive(Debug)]
pub(super) struct Holding {
    kind: Kind,
    pub(super) taken: Taken,
    /// Bytes that arrived since the last progress; `None` once the transfer is complete.
    pending: Option<u64>,
    /// Time of the last progress, in ms.
    progress_ms: u64,
}

impl Holding {
    /// Creates the holding of a transfer that begins.
    pub(super) fn new(now_ms: u64, kind: Kind, taken: Taken) -> Self {
        Self {
            kind,
            taken,
            pending: Some(0),
            progress_ms: now_ms,
        }
    }

    /// Records arrived bytes; single ones do not show that the transfer goes on.
    pub(super) fn record(&mut self, now_ms: u64, arrived: u64) {
        let Some(pending) = &mut self.pending else {
            return;
        };
        *pending += arrived;
        if *pending >= PROGRESS_BYTES {
            *pending = 0;
            self.progress_ms = now_ms;
        }
    }

    /// Marks the transfer as complete, so that it keeps its bytes to its end.
    pub(super) fn complete(&mut self) {
        self.pending = None;
    }

    /// Returns whose bytes it is for.
    pub(super) fn kind(&self) -> Kind {
        self.kind
    }

    /// Returns whether its transfer is not complete.
    pub(super) fn is_arriving(&self) -> bool {
        self.pending.is_some()
    }

    /// Returns the time since which it is stalled, in ms, if it is.
    pub(super) fn stalled_since_ms(&self, now_ms: u64) -> Option<u64> {
        self.pending?;
        let is_stalled = now_ms.saturating_sub(self.progress_ms) >= STALL_MS;
        is_stalled.then_some(self.progress_ms)
    }
}
