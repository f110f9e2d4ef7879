//! A VM's draws of permits for one endpoint.

use crate::room::{Report, own_share};

/// Time without a leader in which a VM only replaces requests that it had in flight, in ms: those of all VMs may fill the slots.
const REPLACE_MS: u64 = 5_000;

/// Interval at which a VM that had more in flight than its share gives up one of these requests then, in ms.
const GIVE_UP_MS: u64 = 500;

/// Time over which the other VMs begin to use their shares, in ms.
const SPREAD_MS: u64 = 10_000;

/// `Draws` tracks the draws whose outcome is open, and the requests that the endpoint declined.
#[derive(Debug, Clone, Default)]
pub struct Draws {
    /// Numbers of the open draws; sorted.
    open: Vec<u64>,
    declined: u64,
    /// Set since the last leader was lost.
    leaderless: Option<Leaderless>,
}

/// `Leaderless` holds what a VM had in flight when it lost the leader.
#[derive(Debug, Clone, Copy)]
struct Leaderless {
    since_ms: u64,
    in_flight: u32,
}

impl Draws {
    /// Begins a draw with a number higher than all before, and returns the report that it carries.
    pub fn begin(&mut self, incarnation: u64, number: u64, in_flight: u32) -> Report {
        let report = self.report(incarnation, number, in_flight);
        self.open.push(number);
        report
    }

    /// Ends a draw: its request counts as in flight from now on, or will not be sent.
    pub fn end(&mut self, number: u64) {
        self.open.retain(|open| *open != number);
    }

    /// Records that a leader decided on a draw.
    pub fn record_leader(&mut self) {
        self.leaderless = None;
    }

    /// Returns the requests that this VM may have in flight while no leader decides. `had_leader` tells whether any leader has answered
    /// this VM since it started, and `random` is the same for as long as the endpoint runs.
    pub fn own_room(
        &mut self,
        now_ms: u64,
        in_flight: u32,
        had_leader: bool,
        share: (u32, u64),
        random: u64,
    ) -> u32 {
        let (slots, members) = share;
        let share = own_share(slots, members, random);
        if !had_leader {
            return share;
        }
        let lost = self.leaderless.get_or_insert(Leaderless {
            since_ms: now_ms,
            in_flight,
        });
        let past_ms = now_ms.saturating_sub(lost.since_ms + REPLACE_MS);
        if share <= lost.in_flight {
            let given_up = u32::try_from(past_ms / GIVE_UP_MS).unwrap_or(u32::MAX);
            lost.in_flight.saturating_sub(given_up).max(share)
        } else if past_ms > random / u64::from(u32::MAX) % SPREAD_MS {
            share
        } else {
            lost.in_flight
        }
    }

    /// Records that the endpoint declined a request.
    pub fn record_decline(&mut self) {
        self.declined += 1;
    }

    /// Returns a report with a number higher than all before.
    pub fn report(&self, incarnation: u64, number: u64, in_flight: u32) -> Report {
        let first_open = self.open.first().copied().unwrap_or(number);
        Report {
            incarnation,
            number,
            settled: first_open.saturating_sub(1),
            in_flight,
            declined: self.declined,
        }
    }
}
