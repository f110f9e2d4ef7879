//! VMs, endpoints and a leader in virtual time: requests with a bad part crash the endpoints that begin to answer them.

use quetzalpick_core::id::Endpoint;
use quetzalpick_core::quarantine::{Answered, Crash, Options, Part, Witness};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::leader::Leader;

/// Length of a step, in ms.
const STEP_MS: u64 = 5;

/// Time without bad requests at the beginning, in ms.
pub(crate) const WARM_UP_MS: u64 = 12_000;

/// Duration of a run, in ms.
pub(crate) const RUN_MS: u64 = 36_000;

/// Time for which an endpoint is down after a crash, in ms.
const DOWN_MS: u64 = 3_500;

/// Time after the fifth crash at which requests with the part are counted, in ms.
const STABLE_MS: u64 = 3_000;

/// Crashes before the requests with a part are counted.
const CRASHES: usize = 5;

/// Sound requests a second.
const SOUND_PER_S: f64 = 300.0;

/// Number of shared first parts.
const FIRST_PARTS: u64 = 3;

/// Number of shared second parts.
const SECOND_PARTS: u64 = 216;

/// `Kind` determines which parts crash endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    /// A middle part that no sound request has.
    Extra,
    /// A first part that was sound before.
    Turned,
    /// Two middle parts.
    Two,
    /// A middle part, while a third of the endpoints crash at once for another reason.
    Mixed,
    /// None; endpoints crash for other reasons, one by one and a third of them at once.
    Ordinary,
}

/// `Protocol` determines when VMs send a status.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Protocol {
    /// At intervals.
    Periodic,
    /// Also at once after a crash, and after a reply that names a new suspect that the VM has seen answered.
    Prompt,
}

/// `Scenario` holds the settings of a run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Scenario {
    pub(crate) kind: Kind,
    pub(crate) protocol: Protocol,
    pub(crate) vms: usize,
    /// Requests a second with each bad part.
    pub(crate) bad_per_s: f64,
    pub(crate) seed: u64,
}

impl Scenario {
    fn endpoints(&self) -> usize {
        if self.vms < 20 { 16 } else { 48 }
    }

    fn interval_ms(&self) -> u64 {
        (5 * self.vms as u64).max(250)
    }

    fn bad_parts(&self) -> Vec<Part> {
        match self.kind {
            Kind::Extra | Kind::Mixed => vec![Part(0xbad)],
            Kind::Turned => vec![first_part(0)],
            Kind::Two => vec![Part(0xbad), Part(0xbadd)],
            Kind::Ordinary => Vec::new(),
        }
    }

    /// Returns whether a third of the endpoints crash at this time for another reason.
    fn has_outage(&self, now_ms: u64) -> bool {
        match self.kind {
            Kind::Ordinary => now_ms >= WARM_UP_MS && now_ms.is_multiple_of(6_000),
            Kind::Mixed => now_ms == WARM_UP_MS + 500,
            _ => false,
        }
    }
}

fn first_part(number: u64) -> Part {
    Part(0xf0 + number)
}

fn second_part(number: u64) -> Part {
    Part(0x5000 + number)
}

/// `Vm` is one entry VM.
struct Vm {
    witness: Witness,
    suspects: Vec<Part>,
    quarantined: Vec<Part>,
    status_ms: u64,
}

/// `Flight` is a request without an event.
struct Flight {
    begins_ms: u64,
    vm: usize,
    endpoint: usize,
    parts: Vec<Part>,
}

/// `Message` is on its way to a VM or the leader.
enum Message {
    FirstEvent(usize, Vec<Part>),
    Broken(usize, usize, u64, Vec<Part>),
    Status(usize, Vec<Crash>, Vec<Answered>),
    Reply(usize, Vec<Part>, Vec<Part>),
}

/// `Outcome` is what a run showed.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(crate) struct Outcome {
    /// Crashes by bad parts.
    pub(crate) crashes: usize,
    /// Most requests with one bad part that reached endpoints later than 3 s after the fifth crash.
    pub(crate) late: usize,
    /// Sound parts that were quarantined.
    pub(crate) wrong: Vec<Part>,
    /// Bad parts that were quarantined.
    pub(crate) right: Vec<Part>,
    /// Statuses that VMs sent.
    pub(crate) statuses: usize,
}

/// `World` plays a scenario.
pub(crate) struct World<L> {
    scenario: Scenario,
    leader: L,
    random: Pcg64Mcg,
    now_ms: u64,
    vms: Vec<Vm>,
    /// When each endpoint was last started, in ms; in the future if it is down.
    started_ms: Vec<u64>,
    flights: Vec<Flight>,
    messages: Vec<(u64, Message)>,
    bad_parts: Vec<Part>,
    /// Crashes by each bad part, in ms.
    crashed_ms: Vec<Vec<u64>>,
    /// Times at which requests with each bad part were sent, in ms.
    sent_ms: Vec<Vec<u64>>,
    restart_ms: u64,
    outcome: Outcome,
}

impl<L: Leader> World<L> {
    pub(crate) fn new(scenario: Scenario, leader: L) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(scenario.seed);
        let vms = (0..scenario.vms).map(|_| Vm {
            witness: Witness::new(Options::default()),
            suspects: Vec::new(),
            quarantined: Vec::new(),
            status_ms: random.random_range(0..scenario.interval_ms()),
        });
        let vms = vms.collect();
        let bad_parts = scenario.bad_parts();
        Self {
            restart_ms: WARM_UP_MS + random.random_range(0..800) * STEP_MS,
            vms,
            started_ms: vec![0; scenario.endpoints()],
            flights: Vec::new(),
            messages: Vec::new(),
            crashed_ms: vec![Vec::new(); bad_parts.len()],
            sent_ms: vec![Vec::new(); bad_parts.len()],
            bad_parts,
            now_ms: 0,
            scenario,
            leader,
            random,
            outcome: Outcome::default(),
        }
    }

    /// Plays the scenario.
    pub(crate) fn run(mut self) -> Outcome {
        while self.now_ms < RUN_MS {
            self.step();
            self.now_ms += STEP_MS;
        }
        self.outcome.crashes = self.crashed_ms.iter().map(Vec::len).sum();
        self.outcome.late = self.late();
        self.outcome
    }

    fn late(&self) -> usize {
        let parts = self.crashed_ms.iter().zip(&self.sent_ms);
        let late = parts.map(|(crashed_ms, sent_ms)| {
            let fifth_ms = crashed_ms.get(CRASHES - 1);
            fifth_ms.map_or(0, |fifth_ms| {
                let from_ms = fifth_ms + STABLE_MS;
                sent_ms.iter().filter(|sent_ms| **sent_ms > from_ms).count()
            })
        });
        late.max().unwrap_or_default()
    }

    fn step(&mut self) {
        self.restart_vms();
        self.crash_for_other_reasons();
        self.begin_answers();
        self.deliver();
        self.send_statuses();
        self.send_requests();
    }

    /// Restarts a quarter of the VMs.
    fn restart_vms(&mut self) {
        if self.now_ms != self.restart_ms {
            return;
        }
        for vm in self.vms.iter_mut().step_by(4) {
            vm.witness = Witness::new(Options::default());
            vm.suspects.clear();
            vm.quarantined.clear();
            vm.status_ms = self.now_ms;
        }
    }

    fn crash_for_other_reasons(&mut self) {
        if self.scenario.has_outage(self.now_ms) {
            let start = self.random.random_range(0..3);
            for endpoint in (start..self.started_ms.len()).step_by(3) {
                self.crash(endpoint);
            }
        }
        let is_ordinary = self.scenario.kind == Kind::Ordinary;
        if is_ordinary && self.random.random_bool(STEP_MS as f64 / 1_000.0) {
            let endpoint = self.random.random_range(0..self.started_ms.len());
            self.crash(endpoint);
        }
    }

    /// Ends an endpoint and breaks off its requests.
    fn crash(&mut self, endpoint: usize) {
        let started_ms = self.started_ms[endpoint];
        if started_ms > self.now_ms {
            return;
        }
        self.started_ms[endpoint] = self.now_ms + DOWN_MS;
        let is_broken = |flight: &mut Flight| flight.endpoint == endpoint;
        let broken: Vec<Flight> = self.flights.extract_if(.., is_broken).collect();
        for Flight { vm, parts, .. } in broken {
            let message = Message::Broken(vm, endpoint, started_ms, parts);
            self.post(message);
        }
    }

    fn is_bad(&self, part: Part) -> bool {
        self.now_ms >= WARM_UP_MS && self.bad_parts.contains(&part)
    }

    /// Lets endpoints begin the answers that are due, which crashes them if the request has a bad part.
    fn begin_answers(&mut self) {
        let now_ms = self.now_ms;
        while let Some(index) = self.flights.iter().position(|f| f.begins_ms <= now_ms) {
            let Flight {
                endpoint,
                vm,
                parts,
                begins_ms,
            } = self.flights.swap_remove(index);
            let bad = parts.iter().copied().find(|part| self.is_bad(*part));
            let Some(bad) = bad else {
                self.post(Message::FirstEvent(vm, parts));
                continue;
            };
            let index = self.bad_parts.iter().position(|part| *part == bad);
            self.crashed_ms[index.expect("the part is bad")].push(now_ms);
            self.flights.push(Flight {
                endpoint,
                vm,
                parts,
                begins_ms,
            });
            self.crash(endpoint);
        }
    }

    /// Sends a message that arrives after up to 15 ms.
    fn post(&mut self, message: Message) {
        let at_ms = self.now_ms + self.random.random_range(1..=3) * STEP_MS;
        self.messages.push((at_ms, message));
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let due: Vec<_> = self
            .messages
            .extract_if(.., |(at_ms, _)| *at_ms <= now_ms)
            .collect();
        for (_, message) in due {
            match message {
                Message::FirstEvent(vm, parts) => {
                    let witness = &mut self.vms[vm].witness;
                    witness.record_answer(now_ms, parts.into_iter());
                }
                Message::Broken(vm, endpoint, started_ms, parts) => {
                    self.receive_broken(vm, endpoint, started_ms, parts);
                }
                Message::Status(vm, crashes, answers) => {
                    self.receive_status(vm, &crashes, &answers)
                }
                Message::Reply(vm, suspects, quarantined) => {
                    self.receive_reply(vm, suspects, quarantined);
                }
            }
        }
    }

    fn receive_broken(&mut self, vm: usize, endpoint: usize, started_ms: u64, parts: Vec<Part>) {
        let name = Endpoint::try_new(format!("e{endpoint}")).expect("the name is valid");
        let vm = &mut self.vms[vm];
        vm.witness
            .record_crash(self.now_ms, &name, Some(started_ms), parts);
        if self.scenario.protocol == Protocol::Prompt {
            vm.status_ms = self.now_ms;
        }
    }

    fn receive_status(&mut self, vm: usize, crashes: &[Crash], answers: &[Answered]) {
        let now_ms = self.now_ms;
        self.outcome.statuses += 1;
        for crash in crashes {
            self.leader.record_crash(now_ms, crash);
        }
        for answered in answers {
            self.leader.record_answer(now_ms, answered);
        }
        let suspects = self.leader.suspects(now_ms);
        self.leader.decide(now_ms);
        let quarantined = self.leader.quarantined().to_vec();
        self.note(&quarantined);
        self.post(Message::Reply(vm, suspects, quarantined));
    }

    /// Notes which parts are quarantined.
    fn note(&mut self, quarantined: &[Part]) {
        for part in quarantined {
            let is_bad = self.is_bad(*part);
            let Outcome { right, wrong, .. } = &mut self.outcome;
            let parts = if is_bad { right } else { wrong };
            if !parts.contains(part) {
                parts.push(*part);
            }
        }
    }

    fn receive_reply(&mut self, vm: usize, suspects: Vec<Part>, quarantined: Vec<Part>) {
        let vm = &mut self.vms[vm];
        let has_news = suspects
            .iter()
            .any(|part| !vm.suspects.contains(part) && vm.witness.answered_ms(*part).is_some());
        if has_news && self.scenario.protocol == Protocol::Prompt {
            vm.status_ms = self.now_ms;
        }
        vm.suspects = suspects;
        vm.quarantined = quarantined;
    }

    fn send_statuses(&mut self) {
        for index in 0..self.vms.len() {
            let vm = &mut self.vms[index];
            if vm.status_ms > self.now_ms {
                continue;
            }
            vm.status_ms = self.now_ms + self.scenario.interval_ms();
            let asked = [&vm.suspects[..], &vm.quarantined].concat();
            let answers = vm.witness.answers_to(self.now_ms, &asked);
            let crashes = vm.witness.crashes(self.now_ms);
            self.post(Message::Status(index, crashes, answers));
        }
    }

    fn send_requests(&mut self) {
        // At most one of each kind in a step.
        let probability = |per_s: f64| per_s * STEP_MS as f64 / 1_000.0;
        for _ in 0..2 {
            if self.random.random_bool(probability(SOUND_PER_S / 2.0)) {
                let parts = self.sound_parts();
                if !parts.iter().any(|part| self.is_bad(*part)) {
                    self.send(parts);
                }
            }
        }
        if self.now_ms < WARM_UP_MS {
            return;
        }
        for index in 0..self.bad_parts.len() {
            if self
                .random
                .random_bool(probability(self.scenario.bad_per_s))
            {
                let parts = self.parts_with(self.bad_parts[index]);
                if self.send(parts) {
                    self.sent_ms[index].push(self.now_ms);
                }
            }
        }
    }

    fn sound_parts(&mut self) -> Vec<Part> {
        vec![
            first_part(self.random.random_range(0..FIRST_PARTS)),
            second_part(self.random.random_range(0..SECOND_PARTS)),
        ]
    }

    /// Returns the parts of a bad request. With odd seeds all of them have the same first part, which is sound.
    fn parts_with(&mut self, bad: Part) -> Vec<Part> {
        let mut parts = self.sound_parts();
        if self.scenario.seed % 2 == 1 {
            parts[0] = first_part(1);
        }
        if self.scenario.kind == Kind::Turned {
            parts[0] = bad;
        } else {
            parts.insert(1, bad);
        }
        parts
    }

    /// Sends a request to any endpoint that is up, from a VM that has not quarantined its parts; returns whether it was sent.
    fn send(&mut self, parts: Vec<Part>) -> bool {
        let vm = self.random.random_range(0..self.vms.len());
        let is_up = |endpoint: &usize| self.started_ms[*endpoint] <= self.now_ms;
        let up: Vec<usize> = (0..self.started_ms.len()).filter(is_up).collect();
        let quarantined = &self.vms[vm].quarantined;
        if up.is_empty() || parts.iter().any(|part| quarantined.contains(part)) {
            return false;
        }
        let endpoint = up[self.random.random_range(0..up.len())];
        let begins_ms = self.now_ms + self.random.random_range(32..=156);
        self.flights.push(Flight {
            begins_ms,
            vm,
            endpoint,
            parts,
        });
        true
    }
}
