//! What running streams must know: changes of configuration, and a lease that was lost for long.

use std::time::Duration;

use quetzalpick_client::traits::Log;
use quetzalpick_core::id::Revision;
use quetzalpick_node::replica::Replica;
use tokio::sync::watch;
use tokio::time::{Instant, MissedTickBehavior, interval};

/// Interval at which the lease is looked at.
const LEASE_CHECK: Duration = Duration::from_millis(250);

/// `Standing` is what this gate may rely on for requests that already run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct Standing {
    /// Revision of the configuration in force here.
    pub(crate) revision: Revision,
    /// Whether the lease has been lost for longer than a lease lasts, so that keys may be withdrawn unknown to us.
    pub(crate) cut: bool,
}

/// Keeps the standing up to date for ever.
///
/// Other records than changes of configuration wake no stream.
pub(crate) async fn keep<L: Log>(
    replica: Replica<L>,
    standing: watch::Sender<Standing>,
    lease: Duration,
) {
    let mut changed = replica.changed();
    let mut tick = interval(LEASE_CHECK);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut leased_at = Instant::now();
    loop {
        tokio::select! {
            _ = tick.tick() => {}
            changed = changed.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
        changed.borrow_and_update();
        if replica.is_leased() {
            leased_at = Instant::now();
        }
        let now = Standing {
            revision: replica.read(|state| state.revision()),
            cut: leased_at.elapsed() > lease,
        };
        standing.send_if_modified(|last| std::mem::replace(last, now) != now);
    }
}
