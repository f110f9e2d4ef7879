//! The leader's counts of all endpoints at which it grants room.

use strum::Display;

use crate::id::{Endpoint, Vm};
use crate::room::{Report, Room, Term};
use crate::table::Table;

/// `Key` identifies an incarnation of an endpoint by its name and the wall-clock time of its start, in ms since 1970.
pub type Key = (Endpoint, Option<u64>);

/// `Decision` is the leader's answer to a draw.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Decision {
    /// There is room for the request.
    Free,
    /// There is no room now.
    Full,
    /// The leader does not know yet what is in flight.
    Unsettled,
}

/// `Rooms` counts the requests in flight at endpoints that need permits.
#[derive(Debug, Clone, Default)]
pub struct Rooms {
    rooms: Table<Key, Room>,
}

impl Rooms {
    /// Applies the report that a draw carries, and decides on the draw. `loads` lists what the VMs have in flight at the endpoint
    /// according to their statuses, and is used if none of them has drawn there before.
    pub fn decide(
        &mut self,
        now_ms: u64,
        key: &Key,
        slots: u32,
        term: &Term,
        draw: (&Vm, &Report),
        loads: impl FnOnce() -> Vec<(Vm, u32)>,
    ) -> Decision {
        if !term.is_settled(now_ms) {
            return Decision::Unsettled;
        }
        let new_room = || {
            let mut room = Room::new(now_ms, slots);
            for (vm, load) in loads() {
                room.apply_load(now_ms, &vm, load);
            }
            room
        };
        let room = self.rooms.get_or_insert_with(key.clone(), new_room);
        let (vm, report) = draw;
        room.apply(now_ms, vm, report);
        if room.is_free(now_ms, term.members, term.silent()) {
            Decision::Free
        } else {
            Decision::Full
        }
    }

    /// Grants a draw for which there is room.
    pub fn grant(&mut self, key: &Key, vm: &Vm, number: u64) {
        if let Some(room) = self.rooms.get_mut(key) {
            room.grant(vm, number);
        }
    }

    /// Applies a VM's report.
    pub fn apply(&mut self, now_ms: u64, key: &Key, vm: &Vm, report: &Report) {
        if let Some(room) = self.rooms.get_mut(key) {
            room.apply(now_ms, vm, report);
        }
    }

    /// Applies a VM's status: its reports, sorted by endpoint, and its requests in flight at the other endpoints, sorted too.
    pub fn apply_status(
        &mut self,
        now_ms: u64,
        vm: &Vm,
        reports: &[(Key, Report)],
        loads: &[(Endpoint, u32)],
    ) {
        for (key, room) in self.rooms.iter_mut() {
            if let Ok(index) = reports.binary_search_by_key(&key, |(reported, _)| reported) {
                room.apply(now_ms, vm, &reports[index].1);
            } else {
                let index = loads.binary_search_by_key(&&key.0, |(endpoint, _)| endpoint);
                room.apply_load(now_ms, vm, index.map_or(0, |index| loads[index].1));
            }
        }
    }

    /// Drops the counts of endpoints that need no permits any more.
    pub fn retain(&mut self, needs_permits: impl Fn(&Key) -> bool) {
        self.rooms.retain(|key, _| needs_permits(key));
    }
}
