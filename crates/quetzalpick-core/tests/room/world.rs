//! VMs, a leader and endpoints that fall over, played event by event.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use quetzalpick_core::id::{Endpoint, Vm};
use quetzalpick_core::room::{Decision, Draws, HEARD_MS, Key, Report, Rooms, Term};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// Requests that a brittle endpoint may decline in a second.
const DECLINES_MAX: usize = 4;

/// Requests that wait at an endpoint beyond its slots, before and after it has become brittle.
const QUEUE: [usize; 2] = [24, 0];

/// Time from the statement to the smaller queue, and until a fallen endpoint is back, in ms.
const STABLE_MS: u64 = 3_000;

/// Endpoints that a VM tries for one request.
const TRIES: usize = 8;

/// When the endpoints become brittle, the rush begins, a tenth of them crash, and the leader is lost and back, in ms.
const BRITTLE_MS: u64 = 2_000;
const RUSH_MS: u64 = 4_000;
const CRASH_MS: u64 = 16_000;
const LEADER_LOST_MS: u64 = 18_000;
const LEADER_BACK_MS: u64 = 32_000;
const END_MS: u64 = 44_000;

/// Times in which the use of the slots is measured: the rush with a leader, and under a new one.
const MEASURED_MS: [std::ops::Range<u64>; 2] = [8_000..CRASH_MS, 36_000..END_MS];

/// `Policy` determines when a VM sends a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Policy {
    /// With a permit of the leader, or within its own share.
    Permits,
    /// If its own requests and the last report of the others' leave a slot.
    Reports,
}

/// `Site` sets the sizes of a play.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Site {
    pub(crate) vms: usize,
    pub(crate) endpoints: usize,
    pub(crate) slots: u32,
    /// Mean time that a request runs, in ms.
    pub(crate) run_ms: u64,
}

/// `Request` is under way at a VM, after some tries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Request {
    vm: usize,
    tries: usize,
}

/// `Target` is an incarnation of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Target {
    endpoint: usize,
    incarnation: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Try(Request),
    Draw(Request, Target, u64, u64, u64, u32, u64),
    Reply(Request, Target, u64, Option<bool>),
    Sent(Request, Target),
    Done(Target, usize),
    Answer(Request, Target, bool),
    Status(usize),
    Release(usize),
    Back(usize),
    Crash,
}

#[derive(Debug, Clone)]
struct Row {
    incarnation: u64,
    draws: Draws,
    in_flight: u32,
    others: u32,
    paused_until_ms: u64,
    random: u64,
}

struct VmState {
    rows: Vec<Row>,
    number: u64,
    leaderless_until_ms: u64,
    releases: bool,
    released_ms: u64,
}

#[derive(Debug, Default)]
struct EndpointState {
    incarnation: u64,
    is_down: bool,
    running: usize,
    declined_ms: Vec<u64>,
}

struct Leader {
    since_ms: u64,
    rooms: Rooms,
    heard_ms: Vec<Option<u64>>,
}

pub(crate) struct World {
    policy: Policy,
    site: Site,
    random: Pcg64,
    now_ms: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    scheduled: u64,
    names: Vec<Vm>,
    keys: Vec<Endpoint>,
    vms: Vec<VmState>,
    endpoints: Vec<EndpointState>,
    leader: Option<Leader>,
    /// What each VM had in flight by endpoint, at its last status.
    statuses: Vec<Vec<u32>>,
    falls: usize,
    fallen_ms: Vec<u64>,
    served: usize,
    refused: usize,
    draws: usize,
    /// Sum of running requests over measured moments, and of the slots.
    running: u64,
    slots: u64,
    sampled_ms: u64,
}

impl World {
    pub(crate) fn new(policy: Policy, site: Site, seed: u64) -> Self {
        let mut random = Pcg64::seed_from_u64(seed);
        let mut row = || Row {
            incarnation: 0,
            draws: Draws::default(),
            in_flight: 0,
            others: 0,
            paused_until_ms: 0,
            random: random.random(),
        };
        let mut vm = || VmState {
            rows: (0..site.endpoints).map(|_| row()).collect(),
            number: 0,
            leaderless_until_ms: 0,
            releases: false,
            released_ms: 0,
        };
        let vms = (0..site.vms).map(|_| vm()).collect();
        let name = |n| Vm::try_new(format!("vm-{n}")).unwrap();
        let key = |n| Endpoint::try_new(format!("r-{n:03}")).unwrap();
        let mut world = Self {
            policy,
            site,
            now_ms: 0,
            events: BinaryHeap::new(),
            scheduled: 0,
            names: (0..site.vms).map(name).collect(),
            keys: (0..site.endpoints).map(key).collect(),
            vms,
            endpoints: (0..site.endpoints)
                .map(|_| EndpointState::default())
                .collect(),
            leader: None,
            statuses: vec![vec![0; site.endpoints]; site.vms],
            falls: 0,
            fallen_ms: Vec::new(),
            served: 0,
            refused: 0,
            draws: 0,
            running: 0,
            slots: 0,
            sampled_ms: 0,
            random,
        };
        world.leader = Some(world.new_leader(0));
        world.schedule(0, Event::Arrival);
        world.schedule(CRASH_MS, Event::Crash);
        for vm in 0..site.vms {
            let first_ms = world.random.random_range(0..world.status_interval_ms());
            world.schedule(first_ms, Event::Status(vm));
        }
        world
    }

    fn new_leader(&self, since_ms: u64) -> Leader {
        Leader {
            since_ms,
            rooms: Rooms::default(),
            heard_ms: vec![None; self.site.vms],
        }
    }

    fn status_interval_ms(&self) -> u64 {
        250.max(5 * self.site.vms as u64)
    }

    /// Returns the time of a message between two VMs or a VM and an endpoint, in ms.
    fn transit_ms(&mut self) -> u64 {
        self.random.random_range(1..4)
    }

    fn schedule(&mut self, after_ms: u64, event: Event) {
        self.scheduled += 1;
        self.events
            .push(Reverse((self.now_ms + after_ms, self.scheduled, event)));
    }

    fn is_brittle(&self) -> bool {
        self.now_ms >= BRITTLE_MS
    }

    pub(crate) fn falls(&self) -> usize {
        self.falls
    }

    /// Returns the share of the slots that were used under need.
    pub(crate) fn used(&self) -> f64 {
        self.running as f64 / self.slots.max(1) as f64
    }

    pub(crate) fn summary(&self) -> String {
        format!(
            "{} falls at {:?}, {:.3} of the slots used, {} served, {} refused, {:.2} draws a request",
            self.falls,
            self.fallen_ms,
            self.used(),
            self.served,
            self.refused,
            self.draws as f64 / (self.served + self.refused) as f64
        )
    }

    pub(crate) fn play(&mut self) {
        while let Some(Reverse((at_ms, _, event))) = self.events.pop() {
            if at_ms >= END_MS {
                return;
            }
            self.now_ms = at_ms;
            self.update_leader();
            self.sample();
            self.handle(event);
        }
    }

    fn update_leader(&mut self) {
        let is_lost = (LEADER_LOST_MS..LEADER_BACK_MS).contains(&self.now_ms);
        if is_lost {
            self.leader = None;
        } else if self.leader.is_none() {
            self.leader = Some(self.new_leader(self.now_ms));
        }
    }

    /// Samples the use of the slots every 20 ms.
    fn sample(&mut self) {
        let is_measured = MEASURED_MS.iter().any(|time| time.contains(&self.now_ms));
        if !is_measured || self.now_ms < self.sampled_ms + 20 {
            return;
        }
        self.sampled_ms = self.now_ms;
        for endpoint in self.endpoints.iter().filter(|endpoint| !endpoint.is_down) {
            self.running += endpoint.running as u64;
            self.slots += u64::from(self.site.slots);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::Try(request) => self.try_next(request),
            Event::Draw(request, target, number, settled, incarnation, in_flight, declined) => {
                let report = Report {
                    incarnation,
                    number,
                    settled,
                    in_flight,
                    declined,
                };
                self.decide(request, target, &report);
            }
            Event::Reply(request, target, number, granted) => {
                self.replied(request, target, number, granted);
            }
            Event::Sent(request, target) => self.receive(request, target),
            Event::Done(target, vm) => self.finish(target, vm),
            Event::Answer(request, target, declined) => self.answered(request, target, declined),
            Event::Status(vm) => self.report(vm),
            Event::Release(vm) => self.release(vm),
            Event::Back(endpoint) => self.endpoints[endpoint].is_down = false,
            Event::Crash => {
                let count = self.site.endpoints.div_ceil(10);
                (0..count).for_each(|endpoint| self.crash(endpoint));
            }
        }
    }

    /// A caller's request arrives at a random VM; the next one follows.
    fn arrive(&mut self) {
        let room = self.site.endpoints as f64 * f64::from(self.site.slots);
        let load = if self.now_ms < RUSH_MS { 0.6 } else { 3.0 };
        let mean_ms = self.site.run_ms as f64 / room / load;
        // Several at once, as times are whole milliseconds.
        let count = (1.0 / mean_ms).ceil().max(1.0);
        for _ in 0..count as usize {
            let vm = self.random.random_range(0..self.site.vms);
            self.schedule(0, Event::Try(Request { vm, tries: 0 }));
        }
        let pause_ms = mean_ms * count;
        let drawn = self.random.random_range(0.0..2.0) * pause_ms;
        self.schedule(drawn.round().max(1.0) as u64, Event::Arrival);
    }

    fn try_next(&mut self, request: Request) {
        let open: Vec<usize> = (0..self.site.endpoints)
            .filter(|n| self.vms[request.vm].rows[*n].paused_until_ms <= self.now_ms)
            .filter(|n| !self.endpoints[*n].is_down)
            .collect();
        if request.tries >= TRIES || open.is_empty() {
            return self.refuse(request.vm);
        }
        let mut draw = || open[self.random.random_range(0..open.len())];
        let (first, second) = (draw(), draw());
        let load = |n: usize| {
            let row = &self.vms[request.vm].rows[n];
            row.in_flight + row.others
        };
        let endpoint = if load(second) < load(first) {
            second
        } else {
            first
        };
        let load = load(endpoint);
        let request = Request {
            tries: request.tries + 1,
            ..request
        };
        let incarnation = self.endpoints[endpoint].incarnation;
        let target = Target {
            endpoint,
            incarnation,
        };
        let row = &mut self.vms[request.vm].rows[endpoint];
        if row.incarnation != incarnation {
            row.incarnation = incarnation;
            row.draws = Draws::default();
            row.in_flight = 0;
        }
        if !self.is_brittle() {
            return self.send(request, target);
        }
        match self.policy {
            Policy::Permits => self.draw(request, target),
            Policy::Reports if load < self.site.slots => self.send(request, target),
            Policy::Reports => self.pause_and_retry(request, endpoint, 100),
        }
    }

    fn draw(&mut self, request: Request, target: Target) {
        let vm = &mut self.vms[request.vm];
        vm.number += 1;
        if self.now_ms < vm.leaderless_until_ms {
            return self.take_own(request, target);
        }
        self.draws += 1;
        let row = &mut vm.rows[target.endpoint];
        let report = row.draws.begin(1, vm.number, row.in_flight);
        let transit_ms = self.transit_ms();
        self.schedule(
            transit_ms,
            Event::Draw(
                request,
                target,
                report.number,
                report.settled,
                report.incarnation,
                report.in_flight,
                report.declined,
            ),
        );
    }

    fn term(&self, leader: &Leader) -> Term {
        let is_heard = |at: &&Option<u64>| at.is_some_and(|at| self.now_ms < at + HEARD_MS);
        Term {
            since_ms: leader.since_ms,
            members: self.site.vms as u64,
            heard: leader.heard_ms.iter().filter(is_heard).count() as u64,
        }
    }

    fn key(&self, target: Target) -> Key {
        (self.keys[target.endpoint].clone(), Some(target.incarnation))
    }

    fn decide(&mut self, request: Request, target: Target, report: &Report) {
        let key = self.key(target);
        let transit_ms = self.transit_ms();
        let Some(mut leader) = self.leader.take() else {
            let reply = Event::Reply(request, target, report.number, None);
            return self.schedule(60, reply);
        };
        let term = self.term(&leader);
        let vm = &self.names[request.vm];
        let loads = || {
            let loads = self.names.iter().zip(&self.statuses);
            loads
                .map(|(name, loads)| (name.clone(), loads[target.endpoint]))
                .collect()
        };
        let decision = leader.rooms.decide(
            self.now_ms,
            &key,
            self.site.slots,
            &term,
            (vm, report),
            loads,
        );
        let granted = match decision {
            Decision::Free => {
                leader.rooms.grant(&key, vm, report.number);
                Some(true)
            }
            Decision::Full => Some(false),
            Decision::Unsettled => None,
        };
        self.leader = Some(leader);
        let reply = Event::Reply(request, target, report.number, granted);
        self.schedule(transit_ms, reply);
    }

    fn replied(&mut self, request: Request, target: Target, number: u64, granted: Option<bool>) {
        let vm = &mut self.vms[request.vm];
        let draws = &mut vm.rows[target.endpoint].draws;
        draws.end(number);
        if granted.is_some() {
            draws.record_leader();
        }
        match granted {
            Some(true) => self.send(request, target),
            Some(false) => {
                let wait_ms = 100.max(5 * self.site.vms as u64);
                self.pause_and_retry(request, target.endpoint, wait_ms);
            }
            None => {
                vm.leaderless_until_ms = self.now_ms + 200;
                self.take_own(request, target);
            }
        }
    }

    /// Sends a request within the VM's own share, or tries another endpoint.
    fn take_own(&mut self, request: Request, target: Target) {
        let row = &mut self.vms[request.vm].rows[target.endpoint];
        let share = (self.site.slots, self.site.vms as u64);
        let (in_flight, random) = (row.in_flight, row.random);
        let room = row
            .draws
            .own_room(self.now_ms, in_flight, true, share, random);
        if in_flight < room {
            self.send(request, target);
        } else {
            self.pause_and_retry(request, target.endpoint, 200);
        }
    }

    fn pause_and_retry(&mut self, request: Request, endpoint: usize, wait_ms: u64) {
        let row = &mut self.vms[request.vm].rows[endpoint];
        row.paused_until_ms = self.now_ms + wait_ms;
        self.schedule(0, Event::Try(request));
    }

    fn refuse(&mut self, vm: usize) {
        self.refused += 1;
        if self.random.random_bool(0.5) {
            let after_ms = self.random.random_range(125..1_750);
            self.schedule(after_ms, Event::Try(Request { vm, tries: 0 }));
        }
    }

    fn send(&mut self, request: Request, target: Target) {
        self.vms[request.vm].rows[target.endpoint].in_flight += 1;
        let transit_ms = self.transit_ms();
        self.schedule(transit_ms, Event::Sent(request, target));
    }

    fn receive(&mut self, request: Request, target: Target) {
        let transit_ms = self.transit_ms();
        let is_small = self.now_ms >= BRITTLE_MS + STABLE_MS;
        let queue = QUEUE[usize::from(is_small)];
        let endpoint = &mut self.endpoints[target.endpoint];
        let is_present = !endpoint.is_down && endpoint.incarnation == target.incarnation;
        let has_room = endpoint.running < self.site.slots as usize + queue;
        if is_present && has_room {
            endpoint.running += 1;
            let run_ms = self.site.run_ms;
            let run_ms = self.random.random_range(run_ms / 2..run_ms * 3 / 2);
            return self.schedule(run_ms, Event::Done(target, request.vm));
        }
        self.schedule(transit_ms, Event::Answer(request, target, is_present));
        if !is_present || !is_small {
            return;
        }
        let endpoint = &mut self.endpoints[target.endpoint];
        endpoint.declined_ms.push(self.now_ms);
        endpoint.declined_ms.retain(|at| self.now_ms < at + 1_000);
        if endpoint.declined_ms.len() > DECLINES_MAX {
            self.falls += 1;
            self.fallen_ms.push(self.now_ms);
            self.crash(target.endpoint);
        }
    }

    fn crash(&mut self, endpoint: usize) {
        let state = &mut self.endpoints[endpoint];
        *state = EndpointState {
            incarnation: state.incarnation + 1,
            is_down: true,
            ..EndpointState::default()
        };
        self.schedule(STABLE_MS, Event::Back(endpoint));
    }

    fn finish(&mut self, target: Target, vm: usize) {
        let endpoint = &mut self.endpoints[target.endpoint];
        if endpoint.incarnation != target.incarnation {
            return;
        }
        endpoint.running -= 1;
        self.served += 1;
        let transit_ms = self.transit_ms();
        let request = Request { vm, tries: TRIES };
        self.schedule(transit_ms, Event::Answer(request, target, false));
    }

    /// A VM has the end of an answer, or a refusal.
    fn answered(&mut self, request: Request, target: Target, declined: bool) {
        let vm = &mut self.vms[request.vm];
        let row = &mut vm.rows[target.endpoint];
        if row.incarnation == target.incarnation {
            row.in_flight = row.in_flight.saturating_sub(1);
            if declined {
                row.draws.record_decline();
                row.paused_until_ms = self.now_ms + 1_000;
            } else {
                row.paused_until_ms = self.now_ms;
            }
        }
        if self.policy == Policy::Permits && !vm.releases {
            vm.releases = true;
            let earliest_ms = (vm.released_ms + 20).max(self.now_ms + 1);
            vm.released_ms = earliest_ms;
            let transit_ms = self.transit_ms();
            let after_ms = earliest_ms - self.now_ms + transit_ms;
            self.schedule(after_ms, Event::Release(request.vm));
        }
        if declined {
            self.schedule(0, Event::Try(request));
        }
    }

    /// Tells the leader what a VM has in flight.
    fn release(&mut self, vm: usize) {
        let reports = self.reports(vm);
        if let Some(leader) = &mut self.leader {
            for (key, report) in &reports {
                leader
                    .rooms
                    .apply(self.now_ms, key, &self.names[vm], report);
            }
        }
    }

    fn reports(&mut self, vm: usize) -> Vec<(Key, Report)> {
        let state = &mut self.vms[vm];
        state.releases = false;
        state.number += 1;
        let number = state.number;
        let rows = state.rows.iter().zip(&self.keys);
        rows.map(|(row, key)| {
            let key = (key.clone(), Some(row.incarnation));
            (key, row.draws.report(1, number, row.in_flight))
        })
        .collect()
    }

    /// Sends a VM's status; the reply holds the loads of the others.
    fn report(&mut self, vm: usize) {
        self.schedule(self.status_interval_ms(), Event::Status(vm));
        let reports = self.reports(vm);
        let loads = self.vms[vm].rows.iter().map(|row| row.in_flight);
        self.statuses[vm] = loads.collect();
        let Some(leader) = &mut self.leader else {
            return;
        };
        leader.heard_ms[vm] = Some(self.now_ms);
        let is_brittle = self.now_ms >= BRITTLE_MS;
        let reports = if is_brittle { reports } else { Vec::new() };
        leader
            .rooms
            .apply_status(self.now_ms, &self.names[vm], &reports, &[]);
        for n in 0..self.site.endpoints {
            let total: u32 = self.statuses.iter().map(|loads| loads[n]).sum();
            let row = &mut self.vms[vm].rows[n];
            row.others = total - self.statuses[vm][n];
        }
    }
}
