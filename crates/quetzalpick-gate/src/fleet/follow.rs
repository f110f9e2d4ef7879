//! Keeping the index of copies up to date with the agreed state.

use quetzalpick_client::traits::Log;
use quetzalpick_node::replica::Replica;

use crate::fleet::Fleet;

/// Takes in each change of the agreed state, for ever.
pub(crate) async fn follow<L: Log>(fleet: &Fleet, replica: Replica<L>) {
    let mut changed = replica.changed();
    loop {
        changed.borrow_and_update();
        replica.read(|state| fleet.refresh(state));
        if changed.changed().await.is_err() {
            return;
        }
    }
}
