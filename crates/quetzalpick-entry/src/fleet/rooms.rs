//! Requests at endpoints that fall over if they have to decline too many: what is in flight there, and draws of room for more.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use quetzalpick_core::id::Endpoint;
use quetzalpick_core::room::{Key, Report, Tolerance};

use crate::fleet::row::Row;
use crate::fleet::{Fleet, Notice, Pick};

/// `Draw` is an open draw of room; it ends when it is dropped.
#[derive(Debug)]
pub(crate) struct Draw {
    pub(crate) report: Report,
    endpoint: Endpoint,
    fleet: Arc<Fleet>,
}

/// `RoomSlots` tells how many requests may be in flight at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RoomSlots {
    /// Any number.
    Any,
    /// As many as it runs at once, since it may fall over.
    Counted(u32),
}

impl Drop for Draw {
    fn drop(&mut self) {
        if let Some(row) = self.fleet.rows().get_mut(&self.endpoint) {
            row.draws.end(self.report.number);
        }
    }
}

impl Fleet {
    fn next_report_number(&self) -> u64 {
        self.report_number.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Begins a draw of room for a picked request; `None` if its endpoint does not say that it may fall over.
    pub(crate) fn begin_draw(self: &Arc<Self>, pick: &Pick) -> Option<Draw> {
        let mut rows = self.rows();
        let row = rows.get_mut(&pick.endpoint)?;
        row.limited.tolerance()?;
        let (number, sent) = (self.next_report_number(), row.sent());
        Some(Draw {
            report: row.draws.begin(self.incarnation, number, sent),
            endpoint: pick.endpoint.clone(),
            fleet: Arc::clone(self),
        })
    }

    /// Counts a picked request as in flight, now that it has its permit.
    pub(crate) fn confirm(&self, pick: &mut Pick) {
        if !std::mem::take(&mut pick.awaits_permit) {
            return;
        }
        if let Some(row) = self.rows().get_mut(&pick.endpoint) {
            row.awaiting = row.awaiting.saturating_sub(1);
        }
    }

    /// Records that a leader decided on a draw of room.
    pub(crate) fn record_room_leader(&self, endpoint: &Endpoint) {
        if let Some(row) = self.rows().get_mut(endpoint) {
            row.draws.record_leader();
        }
    }

    /// Returns whether this VM may send a request to an endpoint that may fall over while no leader decides.
    pub(crate) fn has_own_room(&self, now_ms: u64, endpoint: &Endpoint, members: u64) -> bool {
        let had_leader = self.had_leader();
        let mut rows = self.rows();
        let Some(row) = rows.get_mut(endpoint) else {
            return false;
        };
        if row.limited.tolerance().is_none() {
            return true;
        }
        let (sent, random) = (row.sent(), row.share_random);
        let share = (row.spec.slots, members);
        let room = row.draws.own_room(now_ms, sent, had_leader, share, random);
        sent < room
    }

    /// Records that an endpoint declined a request; one that may fall over gets none for a while.
    pub(crate) fn record_decline(&self, now_ms: u64, endpoint: &Endpoint) {
        if let Some(row) = self.rows().get_mut(endpoint) {
            row.draws.record_decline();
            row.limited.pause_declined(now_ms);
        }
    }

    /// Removes a picked request from those in flight at its endpoint.
    pub(crate) fn release(&self, pick: &Pick) {
        let mut rows = self.rows();
        let Some(row) = rows.get_mut(&pick.endpoint) else {
            return;
        };
        row.in_flight = row.in_flight.saturating_sub(1);
        if pick.awaits_permit {
            row.awaiting = row.awaiting.saturating_sub(1);
        } else if row.limited.tolerance().is_some() {
            row.limited.resume();
            self.room_changed.notify_one();
        }
    }

    /// Returns what this VM has in flight at the endpoints that may fall over, sorted.
    pub(crate) fn room_reports(&self) -> Vec<(Key, Report)> {
        let rows = self.rows();
        let brittle = rows
            .iter()
            .filter(|(_, row)| row.limited.tolerance().is_some());
        let report = |row: &Row| {
            let number = self.next_report_number();
            row.draws.report(self.incarnation, number, row.sent())
        };
        brittle
            .map(|(name, row)| ((name.clone(), row.spec.started_ms), report(row)))
            .collect()
    }

    /// Returns the slots of the incarnation of an endpoint that a notice concerns; `None` if it is not known here.
    pub(crate) fn room_slots(&self, notice: &Notice) -> Option<RoomSlots> {
        let rows = self.rows();
        let row = rows.get(&notice.endpoint);
        let row = row.filter(|row| row.spec.started_ms == notice.started_ms)?;
        Some(match row.limited.tolerance() {
            Some(_) => RoomSlots::Counted(row.spec.slots),
            None => RoomSlots::Any,
        })
    }

    /// Returns how many requests an incarnation of an endpoint can decline in a second, if it says that it may fall over.
    pub(crate) fn tolerance(&self, key: &Key) -> Option<Tolerance> {
        let rows = self.rows();
        let row = rows.get(&key.0)?;
        let row = (row.spec.started_ms == key.1).then_some(row)?;
        row.limited.tolerance()
    }
}
