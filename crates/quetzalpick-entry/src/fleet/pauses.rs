//! Endpoints that ask in an answer for a while without requests of this VM.

use std::time::Duration;

use http::Response;
use quetzalpick_core::id::Endpoint;

use crate::fleet::Fleet;
use crate::wire::HeadCodec;

impl Fleet {
    /// Applies the pause that the head of an answer asks for, if any. It counts whatever request the answer belongs to.
    pub(crate) fn observe_pause<B>(
        &self,
        now_ms: u64,
        codec: &impl HeadCodec,
        endpoint: &Endpoint,
        answer: &Response<B>,
    ) {
        if let Some(pause) = codec.pause(answer.status(), answer.headers()) {
            self.record_pause(now_ms, endpoint, pause);
        }
    }

    /// Records that an endpoint wants no requests of this VM for a while. That concerns its later incarnations too, and a shorter
    /// pause does not end a longer one.
    pub(crate) fn record_pause(&self, now_ms: u64, endpoint: &Endpoint, pause: Duration) {
        let pause_ms = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
        let mut rows = self.rows();
        let Some(row) = rows.get_mut(endpoint) else {
            return;
        };
        row.paused_until_ms = row.paused_until_ms.max(now_ms.saturating_add(pause_ms));
        let left_ms = row.pause_ms(now_ms);
        log::info!("entry: endpoint={endpoint} paused pause_ms={pause_ms} left_ms={left_ms}");
    }

    /// Returns the endpoints that want no requests of this VM now, sorted.
    pub(crate) fn paused(&self, now_ms: u64) -> Vec<Endpoint> {
        self.endpoints_where(|row| row.pause_ms(now_ms) > 0)
    }
}
