//! Updates of the replica index when the agreed state changes.

use quetzalpick_client::traits::Log;
use quetzalpick_node::replica::Replica;

use crate::fleet::Fleet;

/// Updates the replica index after each change of the agreed state, until cancelled.
pub(crate) async fn refresh_on_change<L: Log>(fleet: &Fleet, replica: Replica<L>) {
    let mut changed = replica.changed();
    loop {
        changed.borrow_and_update();
        replica.read(|state| fleet.refresh_index(state));
        if changed.changed().await.is_err() {
            return;
        }
    }
}
