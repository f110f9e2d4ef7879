//! Models for which requests find no room.

use quetzalpick_core::id::Artifact;
use quetzalpick_core::route::Offers;
use quetzalpick_core::table::Table;

/// Time for which a model counts as short of room after a request found none, in ms.
const SHORT_MS: u64 = 1_000;

/// `Shortage` counts the requests for models that are short of room.
///
/// A copy that is new is unknown to the reports of other VMs, and all that found no room before would be sent there at once. What
/// this VM sees of them tells how many there are.
#[derive(Debug, Default)]
pub(crate) struct Shortage {
    /// The models, with the requests of this VM and the time of the newest that found no room, in ms.
    rows: Table<Artifact, (Offers, u64)>,
}

impl Shortage {
    /// Notes a request for a model; returns how many there are a second at this VM if it is short of room.
    pub(crate) fn ask(&mut self, model: &Artifact) -> Option<u32> {
        let (offers, _) = self.rows.get_mut(model)?;
        offers.note();
        Some(offers.per_s())
    }

    /// Notes that a request for a model found no room.
    pub(crate) fn refuse(&mut self, now_ms: u64, model: &Artifact) {
        let begin = || (Offers::since(now_ms), now_ms);
        let row = self.rows.get_or_insert_with(model.clone(), begin);
        row.1 = now_ms;
    }

    /// Takes in the requests since the last turn, and forgets the models that have room again.
    pub(crate) fn turn(&mut self, now_ms: u64) {
        self.rows.retain(|_, (_, at)| now_ms < *at + SHORT_MS);
        for (_, (offers, _)) in self.rows.iter_mut() {
            offers.turn(now_ms);
        }
    }
}
