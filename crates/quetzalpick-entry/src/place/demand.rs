//! Demand for models and adapters, estimated as the number of requests in flight.

use quetzalpick_core::id::Artifact;
use quetzalpick_core::table::Table;

/// `Work` measures demand in thousandths of a request in flight.
pub type Work = u64;

/// Milliseconds in one second.
const MS_PER_S: u64 = 1_000;

/// Time constant of the smoothing by each VM, in ms; the leader averages further while demand does not change.
pub(super) const SMOOTHING_MS: u64 = 1_500;

/// Time after the start of a process in which its estimates become valid, in ms.
pub(crate) const SETTLE_MS: u64 = 2 * SMOOTHING_MS;

/// Estimated time of a request without its answer tokens, in ms.
const REQUEST_BASE_MS: u64 = 100;

/// Estimated time of one answer token, in microseconds.
const ANSWER_TOKEN_US: u64 = 6_000;

/// `Demand` tracks the smoothed demand of the requests that one VM receives.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    /// Smoothed work, and the time requested since the last update, in request-milliseconds.
    rows: Table<Artifact, (Work, u64)>,
    updated_ms: u64,
}

impl Demand {
    /// Records a request for an answer of up to `answer_tokens` tokens, whatever its outcome.
    pub fn record(&mut self, artifact: &Artifact, answer_tokens: u64) {
        let duration_ms = REQUEST_BASE_MS + answer_tokens * ANSWER_TOKEN_US / 1_000;
        let row = self.rows.get_or_insert_with(artifact.clone(), || (0, 0));
        row.1 = row.1.saturating_add(duration_ms);
    }

    /// Smooths in the requests since the last update, and returns the smoothed work of each artifact.
    pub fn update(&mut self, now_ms: u64) -> Vec<(Artifact, Work)> {
        let elapsed_ms = now_ms
            .saturating_sub(self.updated_ms)
            .clamp(1, SMOOTHING_MS);
        self.updated_ms = now_ms;
        for (_, (work, requested_ms)) in self.rows.iter_mut() {
            let observed = std::mem::take(requested_ms).saturating_mul(MS_PER_S) / elapsed_ms;
            *work = (*work * (SMOOTHING_MS - elapsed_ms) + observed * elapsed_ms) / SMOOTHING_MS;
        }
        self.rows.retain(|_, (work, _)| *work > 0);
        let rows = self.rows.iter();
        rows.map(|(artifact, (work, _))| (artifact.clone(), *work))
            .collect()
    }
}
