//! The leader's count of what all VMs have in flight at one endpoint.

use crate::id::Vm;
use crate::room::Report;
use crate::room::share::reserve;
use crate::table::Table;

/// Time for which no permit is granted after the endpoint declined a request, in ms: others are on their way.
const DECLINE_PAUSE_MS: u64 = 300;

/// Interval at which the capacity is raised again, in ms.
const RAISE_MS: u64 = 1_000;

/// Part of the slots by which the capacity is raised at once, as a divisor.
const RAISE_DIVISOR: u32 = 32;

/// Time for which the requests of a VM that does not report any more are counted, in ms.
const SILENT_MS: u64 = 6_000;

/// `Room` counts the requests in flight at one incarnation of an endpoint, and grants permits for further ones.
#[derive(Debug, Clone)]
pub struct Room {
    /// Requests that the endpoint runs at once.
    slots: u32,
    /// Requests that may be in flight; fewer than the slots after the endpoint declined some.
    capacity: u32,
    /// When the capacity last changed, in ms.
    changed_ms: u64,
    /// No permit is granted before this time, in ms.
    held_until_ms: u64,
    holdings: Table<Vm, Holding>,
}

/// `Holding` counts the requests of one VM.
#[derive(Debug, Clone, Default)]
struct Holding {
    incarnation: u64,
    /// Number of its newest report or draw.
    number: u64,
    in_flight: u32,
    declined: u64,
    /// Granted draws that its newest report does not count; sorted.
    granted: Vec<u64>,
    /// When it was heard last, in ms.
    heard_ms: u64,
}

impl Holding {
    fn used(&self) -> u32 {
        let granted = u32::try_from(self.granted.len()).unwrap_or(u32::MAX);
        self.in_flight.saturating_add(granted)
    }
}

impl Room {
    /// Creates the count of an endpoint that runs `slots` requests at once.
    pub fn new(now_ms: u64, slots: u32) -> Self {
        Self {
            slots,
            capacity: slots,
            changed_ms: now_ms,
            held_until_ms: 0,
            holdings: Table::default(),
        }
    }

    /// Applies the report of a VM, unless it is older than another one of the same incarnation.
    pub fn apply(&mut self, now_ms: u64, vm: &Vm, report: &Report) {
        let holding = self
            .holdings
            .get_or_insert_with(vm.clone(), Holding::default);
        holding.heard_ms = now_ms;
        if holding.incarnation != report.incarnation {
            // The connections of the former incarnation are closed.
            *holding = Holding {
                incarnation: report.incarnation,
                heard_ms: now_ms,
                declined: report.declined,
                ..Holding::default()
            };
        }
        if report.number <= holding.number {
            return;
        }
        holding.number = report.number;
        holding.in_flight = report.in_flight;
        holding.granted.retain(|number| *number > report.settled);
        let declined = report.declined.saturating_sub(holding.declined);
        holding.declined = report.declined;
        if declined > 0 {
            self.shrink(now_ms, declined);
        }
    }

    /// Applies the requests in flight of a VM that has not reported, as it does not know yet that it needs permits.
    pub fn apply_load(&mut self, now_ms: u64, vm: &Vm, in_flight: u32) {
        let holding = self
            .holdings
            .get_or_insert_with(vm.clone(), Holding::default);
        if holding.number == 0 {
            holding.heard_ms = now_ms;
            holding.in_flight = in_flight;
        }
    }

    /// Returns whether a further request may be sent; `silent` of the `members` VMs do not report.
    pub fn is_free(&mut self, now_ms: u64, members: u64, silent: u64) -> bool {
        self.update(now_ms);
        let kept = reserve(self.slots, members, silent);
        now_ms >= self.held_until_ms && self.used().saturating_add(kept) < self.capacity
    }

    /// Grants the draw of a VM whose report was applied.
    pub fn grant(&mut self, vm: &Vm, number: u64) {
        if let Some(holding) = self.holdings.get_mut(vm) {
            let index = holding.granted.partition_point(|other| *other < number);
            holding.granted.insert(index, number);
        }
    }

    /// Returns the requests that may be in flight.
    pub fn used(&self) -> u32 {
        self.holdings.values().map(Holding::used).sum()
    }

    /// Drops VMs that do not report any more, and raises the capacity after a time without declined requests.
    fn update(&mut self, now_ms: u64) {
        self.holdings
            .retain(|_, holding| now_ms < holding.heard_ms + SILENT_MS);
        if self.capacity >= self.slots {
            self.changed_ms = now_ms;
        } else if now_ms >= self.changed_ms + RAISE_MS {
            self.changed_ms = now_ms;
            let raised = self.capacity + (self.slots / RAISE_DIVISOR).max(1);
            self.capacity = raised.min(self.slots);
        }
    }

    /// Lowers the capacity to what the endpoint has taken, but to no less than half of the slots: requests without permits, which end
    /// soon, may have taken the room.
    fn shrink(&mut self, now_ms: u64, declined: u64) {
        let declined = u32::try_from(declined).unwrap_or(u32::MAX);
        let taken = self.capacity.min(self.used().max(1));
        self.capacity = taken.saturating_sub(declined).max(self.slots / 2).max(1);
        self.changed_ms = now_ms;
        self.held_until_ms = now_ms + DECLINE_PAUSE_MS;
    }
}
