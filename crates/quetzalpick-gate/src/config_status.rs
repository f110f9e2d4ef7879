//! Notification of running streams about configuration changes and long lease losses.

use std::time::Duration;

use quetzalpick_client::traits::Log;
use quetzalpick_core::id::Revision;
use quetzalpick_node::replica::Replica;
use tokio::sync::watch;
use tokio::time::{Instant, MissedTickBehavior, interval};

/// Interval between checks of the lease.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// `ConfigStatus` reports which configuration is in force here and whether it may be outdated.
///
/// Running streams check their keys again when it changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct ConfigStatus {
    /// Revision of the configuration in force here.
    pub(crate) revision: Revision,
    /// Whether the lease has been lost for longer than its duration, so that keys may have been withdrawn without this
    /// gate having received the change.
    pub(crate) isolated: bool,
}

/// Updates the status until cancelled.
///
/// Records that do not change the configuration wake no stream.
pub(crate) async fn track<L: Log>(
    replica: Replica<L>,
    config_status: watch::Sender<ConfigStatus>,
    lease: Duration,
) {
    let mut changed = replica.changed();
    let mut tick = interval(LEASE_CHECK_INTERVAL);
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
        let status = ConfigStatus {
            revision: replica.read(|state| state.revision()),
            isolated: leased_at.elapsed() > lease,
        };
        config_status.send_if_modified(|last| std::mem::replace(last, status) != status);
    }
}
