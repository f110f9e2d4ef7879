//! VMs, endpoints and a leader in virtual time: requests with a bad part crash the endpoints that begin to answer them.

use quetzalpick_core::id::Endpoint;
use quetzalpick_core::quarantine::{Answered, Crash, Feature, Options, Witness};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::leader::Leader;
use crate::scenario::{Kind, Protocol, Scenario, WARM_UP_MS, first_part, second_part};

/// Length of a step, in ms.
const STEP_MS: u64 = 5;

/// Duration of a run, in ms.
pub(crate) const RUN_MS: u64 = 36_000;

/// Time for which an endpoint is down after a crash, in ms.
const DOWN_MS: u64 = 3_500;

/// Time after the fifth crash at which requests with the part are counted, in ms.
const STABLE_MS: u64 = 3_000;

/// Crashes before the requests with a part are counted.
const CRASHES: usize = 5;

/// Crashes before the repeats of a request are counted.
const CRASHES_OF_REQUEST: usize = 3;

/// Longest time for which an answer lasts after its first event, in ms.
const ANSWER_MAX_MS: u64 = 1_200;

/// Number of different requests that many callers send alike; together they are a quarter of all requests.
const ALIKE: u64 = 5;

/// Sound requests a second.
const SOUND_PER_S: f64 = 300.0;

/// Number of shared first parts.
const FIRST_PARTS: u64 = 3;

/// Number of shared second parts.
const SECOND_PARTS: u64 = 216;

/// `Vm` is one entry VM.
struct Vm {
    witness: Witness,
    suspects: Vec<Feature>,
    quarantined: Vec<Feature>,
    status_ms: u64,
}

/// `Flight` is a request at an endpoint.
struct Flight {
    /// When its first event is due, in ms.
    begins_ms: u64,
    /// When its answer ends, in ms.
    ends_ms: u64,
    has_begun: bool,
    vm: usize,
    endpoint: usize,
    features: Vec<Feature>,
}

/// `Message` is on its way to a VM or the leader.
enum Message {
    Answered(usize, Vec<Feature>),
    Broken(usize, usize, u64, Vec<Feature>),
    Status(usize, Vec<Crash>, Vec<Answered>),
    Reply(usize, Vec<Feature>, Vec<Feature>),
}

/// `Outcome` is what a run showed.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(crate) struct Outcome {
    /// Crashes by bad parts.
    pub(crate) crashes: usize,
    /// Most requests with one bad part that reached endpoints later than 3 s after the fifth crash.
    pub(crate) late: usize,
    /// Sound parts that were quarantined.
    pub(crate) wrong: Vec<Feature>,
    /// Bad parts that were quarantined.
    pub(crate) right: Vec<Feature>,
    /// Statuses that VMs sent.
    pub(crate) statuses: usize,
}

/// `World` plays a scenario.
pub(crate) struct World<L> {
    scenario: Scenario,
    leader: L,
    random: Pcg64Mcg,
    /// Random numbers for what concerns whole requests, so that the draws for parts do not depend on it.
    request_random: Pcg64Mcg,
    now_ms: u64,
    vms: Vec<Vm>,
    /// When each endpoint was last started, in ms; in the future if it is down.
    started_ms: Vec<u64>,
    flights: Vec<Flight>,
    messages: Vec<(u64, Message)>,
    bad_features: Vec<Feature>,
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
        let bad_features = scenario.bad_features();
        Self {
            restart_ms: WARM_UP_MS + random.random_range(0..800) * STEP_MS,
            vms,
            started_ms: vec![0; scenario.endpoints()],
            flights: Vec::new(),
            messages: Vec::new(),
            crashed_ms: vec![Vec::new(); bad_features.len()],
            sent_ms: vec![Vec::new(); bad_features.len()],
            bad_features,
            now_ms: 0,
            request_random: Pcg64Mcg::seed_from_u64(u64::MAX - scenario.seed),
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
        let times = self.crashed_ms.iter().zip(&self.sent_ms);
        let late = self.bad_features.iter().zip(times);
        let late = late.map(|(feature, (crashed_ms, sent_ms))| {
            let crashes = if feature.is_request() {
                CRASHES_OF_REQUEST
            } else {
                CRASHES
            };
            crashed_ms.get(crashes - 1).map_or(0, |crashed_ms| {
                let from_ms = crashed_ms + STABLE_MS;
                sent_ms.iter().filter(|sent_ms| **sent_ms > from_ms).count()
            })
        });
        late.max().unwrap_or_default()
    }

    fn step(&mut self) {
        self.restart_vms();
        self.crash_for_other_reasons();
        self.begin_answers();
        self.end_answers();
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
        for flight in broken {
            let is_known = |feature: &Feature| feature.is_request() || !flight.has_begun;
            let features = flight.features.iter().copied().filter(is_known).collect();
            let message = Message::Broken(flight.vm, endpoint, started_ms, features);
            if flight.has_begun {
                self.post_with(message, |world| &mut world.request_random);
            } else {
                self.post(message);
            }
        }
    }

    fn is_bad(&self, feature: Feature) -> bool {
        self.now_ms >= WARM_UP_MS && self.bad_features.contains(&feature)
    }

    /// Lets endpoints begin the answers that are due, which crashes them if the request has a bad feature.
    fn begin_answers(&mut self) {
        let now_ms = self.now_ms;
        let is_due = |flight: &Flight| !flight.has_begun && flight.begins_ms <= now_ms;
        while let Some(index) = self.flights.iter().position(is_due) {
            if self.crash_with(index, self.scenario.seed % 2 == 1) {
                continue;
            }
            let flight = &mut self.flights[index];
            flight.has_begun = true;
            let parts = flight.features.iter().filter(|f| !f.is_request());
            let message = Message::Answered(flight.vm, parts.copied().collect());
            self.post(message);
        }
    }

    /// Lets endpoints end the answers that are due, or crash on their requests.
    fn end_answers(&mut self) {
        let now_ms = self.now_ms;
        let is_due = |flight: &Flight| flight.has_begun && flight.ends_ms <= now_ms;
        while let Some(index) = self.flights.iter().position(is_due) {
            if self.crash_with(index, false) {
                continue;
            }
            let Flight { vm, features, .. } = self.flights.swap_remove(index);
            let request = features.into_iter().filter(|feature| feature.is_request());
            let message = Message::Answered(vm, request.collect());
            self.post_with(message, |world| &mut world.request_random);
        }
    }

    /// Lets an endpoint crash if a flight there has a bad feature, unless that is a request and these are spared; returns whether it
    /// did.
    fn crash_with(&mut self, flight: usize, spares_requests: bool) -> bool {
        let Flight {
            endpoint, features, ..
        } = &self.flights[flight];
        let endpoint = *endpoint;
        let is_bad = |f: &&Feature| self.is_bad(**f) && !(spares_requests && f.is_request());
        let Some(bad) = features.iter().find(is_bad) else {
            return false;
        };
        let index = self.bad_features.iter().position(|feature| feature == bad);
        self.crashed_ms[index.expect("the feature is bad")].push(self.now_ms);
        self.crash(endpoint);
        true
    }

    /// Sends a message that arrives after up to 15 ms.
    fn post(&mut self, message: Message) {
        self.post_with(message, |world| &mut world.random);
    }

    fn post_with(&mut self, message: Message, random: impl Fn(&mut Self) -> &mut Pcg64Mcg) {
        let delay_ms = random(self).random_range(1..=3) * STEP_MS;
        self.messages.push((self.now_ms + delay_ms, message));
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let due: Vec<_> = self
            .messages
            .extract_if(.., |(at_ms, _)| *at_ms <= now_ms)
            .collect();
        for (_, message) in due {
            match message {
                Message::Answered(vm, features) => {
                    let witness = &mut self.vms[vm].witness;
                    witness.record_answer(now_ms, features.into_iter());
                }
                Message::Broken(vm, endpoint, started_ms, features) => {
                    self.receive_broken(vm, endpoint, started_ms, features);
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

    fn receive_broken(
        &mut self,
        vm: usize,
        endpoint: usize,
        started_ms: u64,
        features: Vec<Feature>,
    ) {
        let name = Endpoint::try_new(format!("e{endpoint}")).expect("the name is valid");
        let vm = &mut self.vms[vm];
        vm.witness
            .record_crash(self.now_ms, &name, Some(started_ms), features);
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

    /// Notes which features are quarantined, without the part that only the bad request has.
    fn note(&mut self, quarantined: &[Feature]) {
        let own = second_part(SECOND_PARTS);
        for feature in quarantined.iter().filter(|feature| **feature != own) {
            let is_bad = self.is_bad(*feature);
            let Outcome { right, wrong, .. } = &mut self.outcome;
            let features = if is_bad { right } else { wrong };
            if !features.contains(feature) {
                features.push(*feature);
            }
        }
    }

    fn receive_reply(&mut self, vm: usize, suspects: Vec<Feature>, quarantined: Vec<Feature>) {
        let vm = &mut self.vms[vm];
        let has_news = suspects.iter().any(|feature| {
            !vm.suspects.contains(feature) && vm.witness.answered_ms(*feature).is_some()
        });
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
                let features = self.sound_features();
                if !features.iter().any(|feature| self.is_bad(*feature)) {
                    self.send(features);
                }
            }
        }
        if self.now_ms < WARM_UP_MS {
            return;
        }
        for index in 0..self.bad_features.len() {
            if self
                .random
                .random_bool(probability(self.scenario.bad_per_s))
            {
                let features = self.features_with(self.bad_features[index]);
                if self.send(features) {
                    self.sent_ms[index].push(self.now_ms);
                }
            }
        }
    }

    /// Returns the features of a sound request. Some requests are alike.
    fn sound_features(&mut self) -> Vec<Feature> {
        let number = self.request_random.random_range(0..4 * ALIKE);
        let request = if number < ALIKE {
            number
        } else {
            self.request_random.random::<u32>().into()
        };
        vec![
            first_part(self.random.random_range(0..FIRST_PARTS)),
            second_part(self.random.random_range(0..SECOND_PARTS)),
            Feature::Request(request),
        ]
    }

    /// Returns the features of a bad request. With odd seeds all of them have the same first part, which is sound.
    fn features_with(&mut self, bad: Feature) -> Vec<Feature> {
        let mut features = self.sound_features();
        if self.scenario.seed % 2 == 1 {
            features[0] = first_part(1);
        }
        match bad {
            // Its second part is its own.
            Feature::Request(_) => {
                features[1] = second_part(SECOND_PARTS);
                features[2] = bad;
            }
            Feature::Part(_) if self.scenario.kind == Kind::Turned => features[0] = bad,
            Feature::Part(_) => features.insert(1, bad),
        }
        features
    }

    /// Sends a request to any endpoint that is up, from a VM that has not quarantined its parts; returns whether it was sent.
    fn send(&mut self, features: Vec<Feature>) -> bool {
        let vm = self.random.random_range(0..self.vms.len());
        let is_up = |endpoint: &usize| self.started_ms[*endpoint] <= self.now_ms;
        let up: Vec<usize> = (0..self.started_ms.len()).filter(is_up).collect();
        let quarantined = &self.vms[vm].quarantined;
        if up.is_empty() || features.iter().any(|feature| quarantined.contains(feature)) {
            return false;
        }
        let endpoint = up[self.random.random_range(0..up.len())];
        let begins_ms = self.now_ms + self.random.random_range(32..=156);
        self.flights.push(Flight {
            begins_ms,
            ends_ms: begins_ms + self.request_random.random_range(32..=ANSWER_MAX_MS),
            has_begun: false,
            vm,
            endpoint,
            features,
        });
        true
    }
}
