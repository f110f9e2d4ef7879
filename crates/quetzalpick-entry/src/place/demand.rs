//! Demand for models and adapters, as requests that would be under way.

use quetzalpick_core::id::Artifact;
use quetzalpick_core::table::Table;

/// `Work` is demand in thousandths of a request under way.
pub type Work = u64;

/// Milliseconds in one second.
const MS_PER_S: u64 = 1_000;

/// Time constant of the smoothing, in ms.
const SMOOTHING_MS: u64 = 1_500;

/// Time that a request takes beside its tokens, in ms.
const BASE_MS: u64 = 100;

/// Time that an answer's token takes, in microseconds.
const TOKEN_US: u64 = 6_000;

/// `Demand` is the demand that one VM sees, smoothed.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    /// Smoothed work, and what was asked for since the last turn, in request-milliseconds.
    rows: Table<Artifact, (Work, u64)>,
    turned_ms: u64,
}

impl Demand {
    /// Notes that an answer of up to so many tokens was asked for, whatever becomes of the request.
    pub fn note(&mut self, artifact: &Artifact, answer_tokens: u64) {
        let took_ms = BASE_MS + answer_tokens * TOKEN_US / 1_000;
        let row = self.rows.get_or_insert_with(artifact.clone(), || (0, 0));
        row.1 = row.1.saturating_add(took_ms);
    }

    /// Takes in what was asked for since the last turn, and returns the smoothed work of each artifact.
    pub fn turn(&mut self, now_ms: u64) -> Vec<(Artifact, Work)> {
        let elapsed_ms = now_ms.saturating_sub(self.turned_ms).clamp(1, SMOOTHING_MS);
        self.turned_ms = now_ms;
        for (_, (work, asked_ms)) in self.rows.iter_mut() {
            let seen = std::mem::take(asked_ms).saturating_mul(MS_PER_S) / elapsed_ms;
            *work = (*work * (SMOOTHING_MS - elapsed_ms) + seen * elapsed_ms) / SMOOTHING_MS;
        }
        self.rows.retain(|_, (work, _)| *work > 0);
        let rows = self.rows.iter();
        rows.map(|(artifact, (work, _))| (artifact.clone(), *work))
            .collect()
    }
}
