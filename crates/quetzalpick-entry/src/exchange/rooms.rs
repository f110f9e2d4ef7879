//! Tells the leader at once when room comes free at endpoints that may fall over.

use std::fmt::Debug;
use std::time::Duration;

use quetzalpick_node::peer::Transport;
use tokio::time::sleep;

use crate::exchange::Client;
use crate::exchange::message::{RoomUpdate, path};
use crate::place::EngineControl;

/// Pause between two updates, in which changes are collected.
const PAUSE: Duration = Duration::from_millis(20);

/// Longest time for the leader's answer; the next status reports the same.
const TIMEOUT: Duration = Duration::from_millis(60);

impl<N: EngineControl, P: Transport + Debug> Client<N, P> {
    /// Sends updates until cancelled.
    pub(crate) async fn report_rooms(&self) {
        loop {
            self.fleet.room_changed.notified().await;
            let update = RoomUpdate {
                vm: self.lead.vm().clone(),
                reports: self.fleet.room_reports(),
                limits: self.fleet.limits_to_tell(self.clock.now_ms()),
            };
            if !self.lead.apply_room_update(&update) {
                // Without an answer, the next draw or status tells the same.
                let _: Option<bool> = self.call_leader(path::ROOM, &update, TIMEOUT).await;
            }
            sleep(PAUSE).await;
        }
    }
}
