//! Elections on a log with conditional appends, under lost answers, late appends, outages, pauses, restarts and restores from older
//! copies of the log.
//!
//! The oracle checks that actions of leaders on different VMs are at least the handover time apart and that fencing numbers never
//! decrease. It must detect a naive leader that acts without a limit on the age of its renewal.

mod restores;

use quetzalpick_core::election::{Appended, Candidate, Claim, Election, Options, Step, Tail};
use quetzalpick_core::id::{Era, Incarnation, Offset, Position, Vm};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const VMS: usize = 4;
const STEP_MS: u64 = 20;

#[derive(Default)]
struct Log {
    era: Era,
    records: Vec<Claim>,
    /// Time of each append, in ms.
    appended_ms: Vec<u64>,
    now_ms: u64,
    /// Appends that arrive late: time of arrival in ms, claim and expected end of the log, whatever the era.
    delayed: Vec<(u64, Claim, Offset)>,
}

impl Log {
    fn end(&self) -> Position {
        Position {
            era: self.era,
            offset: Offset(self.records.len() as u64),
        }
    }

    fn append(&mut self, claim: Claim, expected: Offset) -> Option<Position> {
        let end = self.end();
        (expected == end.offset).then(|| {
            self.records.push(claim);
            self.appended_ms.push(self.now_ms);
            end
        })
    }

    fn deliver_delayed(&mut self) {
        let now_ms = self.now_ms;
        let due: Vec<_> = self
            .delayed
            .extract_if(.., |(arrival_ms, _, _)| *arrival_ms <= now_ms)
            .collect();
        for (_, claim, expected) in due {
            self.append(claim, expected);
        }
    }

    /// Comes back from a copy that was made `age_ms` ago.
    fn restore(&mut self, age_ms: u64) {
        let copied_ms = self.now_ms.saturating_sub(age_ms);
        let kept = self.appended_ms.partition_point(|at| *at <= copied_ms);
        self.records.truncate(kept);
        self.appended_ms.truncate(kept);
        self.era.0 += 1;
    }

    /// Returns what a read from a position on returns; `None` if the position is of a former era.
    fn read(&self, from: Option<Position>) -> Option<Tail> {
        if from.is_some_and(|from| from.era != self.era) {
            return None;
        }
        let from = from.map_or(0, |from| from.offset.0);
        let from = usize::try_from(from).unwrap_or(usize::MAX);
        let newest = self.records.iter().enumerate().skip(from).last();
        Some(Tail {
            end: self.end(),
            newest: newest.map(|(index, claim)| (Offset(index as u64), claim.clone())),
        })
    }

    fn tail(&self) -> Tail {
        self.read(None).unwrap()
    }
}

fn start(vm: usize, incarnation: u64) -> Election {
    let me = Candidate {
        vm: Vm::try_new(format!("vm-{vm}")).unwrap(),
        incarnation: Incarnation(incarnation),
        address: format!("10.0.0.{vm}:1"),
    };
    Election::new(me, Options::default())
}

/// Lets a VM read the log at `now_ms`, claim one millisecond later and receive the result at once.
fn claim(vm: &mut Election, log: &mut Log, now_ms: u64) {
    vm.record_read(now_ms, now_ms, log.tail());
    let sent_ms = now_ms + 1;
    append(vm, log, sent_ms);
}

/// Lets a VM append what is due at `now_ms`, and receive the result at once.
fn append(vm: &mut Election, log: &mut Log, now_ms: u64) {
    let Step::Append(claim, at) = vm.step(now_ms) else {
        panic!("no claim")
    };
    let position = log.append(claim.clone(), at.offset).unwrap();
    vm.record_append(&claim, now_ms, now_ms, Appended::At(position));
}

/// Observed actions: time in ms, VM, fencing number.
type Actions = Vec<(u64, usize, u64)>;

/// `Faults` determines what happens in a simulation.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Faults {
    None,
    Usual,
    /// Also restores of the log from older copies, often two in a row.
    Restores,
}

fn simulate(seed: u64, ms: u64, faults: Faults, naive: bool) -> Actions {
    let restores = faults == Faults::Restores;
    let faults = faults != Faults::None;
    let mut random = Pcg64::seed_from_u64(seed);
    let mut log = Log::default();
    let mut away_until = 0;
    let mut restore_age_ms = None;
    let mut vms: Vec<Election> = (0..VMS).map(|vm| start(vm, vm as u64)).collect();
    let mut paused_until = [0_u64; VMS];
    let mut disconnected_until = [0_u64; VMS];
    // The naive leader acts on its last fencing number, also after its lease has expired.
    let mut last_fence = [None; VMS];
    let mut actions = Actions::new();
    let mut now_ms = 0;
    while now_ms < ms {
        now_ms += STEP_MS;
        log.now_ms = now_ms;
        if restores && now_ms >= away_until && random.random_range(0..400) == 0 {
            away_until = now_ms + random.random_range(0..2_000);
            restore_age_ms = Some(random.random_range(0..8_000));
        }
        let is_away = now_ms < away_until;
        if !is_away {
            if let Some(age_ms) = restore_age_ms.take() {
                log.restore(age_ms);
            }
            log.deliver_delayed();
        }
        for vm in 0..VMS {
            if faults && random.random_range(0..2_000) == 0 {
                paused_until[vm] = now_ms + random.random_range(500..6_000);
            }
            if faults && random.random_range(0..2_000) == 0 {
                disconnected_until[vm] = now_ms + random.random_range(500..6_000);
            }
            if faults && random.random_range(0..4_000) == 0 {
                vms[vm] = start(vm, now_ms * 10 + vm as u64);
                last_fence[vm] = None;
                paused_until[vm] = now_ms + random.random_range(0..1_500);
            }
            if now_ms < paused_until[vm] {
                continue;
            }
            let leader = vms.iter().position(|vm| vm.leads(now_ms).is_some());
            let leader = leader.filter(|leader| now_ms >= paused_until[*leader]);
            let heartbeat = leader.map(|leader| vms[leader].heartbeat(now_ms));
            let disconnected = is_away || now_ms < disconnected_until[vm];
            let election = &mut vms[vm];
            if let Some(heartbeat) = heartbeat {
                election.record_heartbeat(now_ms, heartbeat, 1);
            }
            match election.step(now_ms) {
                Step::Wait(_) => {}
                Step::Read(_) if disconnected => election.record_read_failure(now_ms),
                Step::Read(from) => match log.read(from) {
                    Some(tail) => election.record_read(now_ms, now_ms, tail),
                    None => election.record_restore(now_ms, log.era),
                },
                Step::Append(claim, _) if disconnected => {
                    election.record_append(&claim, now_ms, now_ms, Appended::Failed)
                }
                Step::Append(claim, at) if at.era != log.era => {
                    // The append takes effect if the restored log happens to end there.
                    log.append(claim.clone(), at.offset);
                    election.record_append(&claim, now_ms, now_ms, Appended::Unknown);
                    election.record_restore(now_ms, log.era);
                }
                Step::Append(claim, at) => {
                    let outcome = if faults {
                        random.random_range(0..10)
                    } else {
                        9
                    };
                    let result = match outcome {
                        0 => {
                            log.append(claim.clone(), at.offset);
                            Appended::Unknown
                        }
                        1 => {
                            let arrival_ms = now_ms + random.random_range(500..6_000);
                            log.delayed.push((arrival_ms, claim.clone(), at.offset));
                            Appended::Unknown
                        }
                        _ => log
                            .append(claim.clone(), at.offset)
                            .map_or(Appended::Conflict, Appended::At),
                    };
                    election.record_append(&claim, now_ms, now_ms, result);
                }
            }
            let fence = election.fence(now_ms);
            last_fence[vm] = fence.or(last_fence[vm]);
            if let Some(fence) = if naive { last_fence[vm] } else { fence } {
                vms[vm].record_action(now_ms);
                actions.push((now_ms, vm, fence));
            }
        }
    }
    actions
}

/// Returns a violation of the handover time or of the order of fencing numbers, if there is one.
fn violation(actions: &Actions) -> Option<String> {
    let handover_ms = Options::default().handover_ms;
    let mut newest_fence = 0;
    for pair in actions.windows(2) {
        let ((former_ms, former_vm, _), (now_ms, vm, fence)) = (pair[0], pair[1]);
        if former_vm != vm && now_ms - former_ms < handover_ms {
            return Some(format!(
                "vm {vm} acts {} ms after vm {former_vm}",
                now_ms - former_ms
            ));
        }
        if fence < newest_fence || (fence == newest_fence && vm != former_vm) {
            return Some(format!(
                "fencing number {fence} of vm {vm} after {newest_fence}"
            ));
        }
        newest_fence = fence;
    }
    None
}

#[test]
fn one_leader_acts_from_the_start() {
    let actions = simulate(1, 5_000, Faults::None, false);
    assert_eq!(violation(&actions), None);
    assert!(actions.len() > 200, "actions: {}", actions.len());
}

#[test]
fn leaders_on_different_vms_keep_the_handover_time() {
    for seed in 0..60 {
        let actions = simulate(seed, 60_000, Faults::Usual, false);
        assert_eq!(violation(&actions), None, "seed {seed}");
        assert!(
            actions.len() > 300,
            "seed {seed}: actions: {}",
            actions.len()
        );
    }
}

#[test]
fn leaders_keep_the_handover_time_and_their_numbers_rise_if_the_log_is_restored() {
    for seed in 0..100 {
        let actions = simulate(seed, 60_000, Faults::Restores, false);
        assert_eq!(violation(&actions), None, "seed {seed}");
        assert!(
            actions.len() > 100,
            "seed {seed}: actions: {}",
            actions.len()
        );
    }
}

#[test]
fn the_oracle_detects_a_leader_that_ignores_its_lease() {
    let detected =
        (0..20).filter(|seed| violation(&simulate(*seed, 60_000, Faults::Usual, true)).is_some());
    assert!(detected.count() > 10);
}

#[test]
fn a_restarted_leader_resumes_at_once() {
    let mut log = Log::default();
    let mut first = start(0, 1);
    claim(&mut first, &mut log, 0);
    assert!(first.fence(2).is_some());
    let mut second = start(0, 2);
    claim(&mut second, &mut log, 3);
    assert!(second.fence(5) > first.fence(5));
}

#[test]
fn the_successor_of_a_resigned_leader_waits_for_the_handover_time() {
    let mut log = Log::default();
    let mut first = start(0, 1);
    claim(&mut first, &mut log, 0);
    first.record_action(10);
    let (resignation, at) = first.resignation(1_010).unwrap();
    log.append(resignation, at.offset).unwrap();
    let mut second = start(1, 2);
    claim(&mut second, &mut log, 1_009);
    let acts_from_ms = 10 + Options::default().handover_ms;
    assert_eq!(second.fence(acts_from_ms - 1), None);
    assert!(second.leads(1_011).is_some());
}

#[test]
fn a_vm_that_would_lead_badly_claims_after_the_others() {
    let mut log = Log::default();
    let mut first = start(0, 1);
    claim(&mut first, &mut log, 0);
    let (resignation, at) = first.resignation(1_000).unwrap();
    log.append(resignation, at.offset).unwrap();
    let claims_from_ms = |is_suited| {
        let mut vm = start(1, 2);
        vm.set_suited(is_suited);
        vm.record_read(1_000, 1_000, log.tail());
        (1_000..9_000).find(|now_ms| matches!(vm.step(*now_ms), Step::Append(..)))
    };
    assert_eq!(claims_from_ms(true), Some(1_000));
    let unsuited_ms = 1_000 + Options::default().unsuited_delay_ms;
    assert_eq!(claims_from_ms(false), Some(unsuited_ms));
}

fn delayed_candidate() -> Election {
    let options = Options {
        claim_delay_ms: 700,
        ..Options::default()
    };
    let me = Candidate {
        vm: Vm::try_new("vm-1").unwrap(),
        incarnation: Incarnation(0),
        address: "10.0.0.1:1".to_owned(),
    };
    Election::new(me, options)
}

#[test]
fn a_delayed_candidate_observes_the_next_leader_before_it_claims() {
    let mut log = Log::default();
    claim(&mut start(0, 1), &mut log, 0);
    let mut next_claim = log.records[0].clone();
    next_claim.candidate.vm = Vm::try_new("vm-2").unwrap();
    let expiry_ms = Options::default().expiry_ms;
    let mut other = delayed_candidate();
    let observed_ms = (1..1_000).map(|step| step * STEP_MS).find(|now_ms| {
        let now_ms = *now_ms;
        if now_ms == STEP_MS + expiry_ms + STEP_MS {
            log.append(next_claim.clone(), Offset(1)).unwrap();
        }
        match other.step(now_ms) {
            Step::Wait(_) => {}
            Step::Read(from) => other.record_read(now_ms, now_ms, log.read(from).unwrap()),
            Step::Append(..) => panic!("it claims although another VM leads"),
        }
        other
            .leader()
            .is_some_and(|leader| leader.vm == next_claim.candidate.vm)
    });
    let observed_ms = observed_ms.expect("it observes the next leader");
    // Its own claim is due 700 ms after the leader's expiry.
    assert!(observed_ms < expiry_ms + 500, "{observed_ms}");
}

#[test]
fn a_delayed_candidate_keeps_its_delay_after_an_outage() {
    let mut log = Log::default();
    claim(&mut start(0, 1), &mut log, 0);
    let mut other = delayed_candidate();
    let recovered_ms = 10_000;
    let claimed_ms = (1..1_000).map(|step| step * STEP_MS).find(|now_ms| {
        let now_ms = *now_ms;
        match other.step(now_ms) {
            Step::Wait(_) => {}
            Step::Read(_) if (1_000..recovered_ms).contains(&now_ms) => {
                other.record_read_failure(now_ms)
            }
            Step::Read(from) => other.record_read(now_ms, now_ms, log.read(from).unwrap()),
            Step::Append(..) => return true,
        }
        false
    });
    let claimed_ms = claimed_ms.expect("it claims eventually");
    let claims_within = recovered_ms + 700..recovered_ms + 2_000;
    assert!(claims_within.contains(&claimed_ms), "{claimed_ms}");
}

/// Simulates a leader that fails just after a renewal that only the second VM received; returns which of the two VMs claims first
/// and when, in ms.
fn first_claim_after_a_renewal_received_by_the_second(options: [Options; 2]) -> (usize, u64) {
    let mut log = Log::default();
    let mut leader = start(0, 1);
    claim(&mut leader, &mut log, 0);
    let mut vms: Vec<Election> = [(1, 100), (2, 0)]
        .into_iter()
        .zip(options)
        .map(|((vm, incarnation), options)| {
            let me = Candidate {
                vm: Vm::try_new(format!("vm-{vm}")).unwrap(),
                incarnation: Incarnation(incarnation),
                address: format!("10.0.0.{vm}:1"),
            };
            Election::new(me, options)
        })
        .collect();
    for now_ms in 2..=2_110 {
        if let Step::Append(..) = leader.step(now_ms) {
            append(&mut leader, &mut log, now_ms);
        }
        match now_ms {
            2_050 => vms[0].record_heartbeat(now_ms, leader.heartbeat(now_ms), 60),
            2_110 => vms[1].record_heartbeat(now_ms, leader.heartbeat(now_ms), 60),
            _ => {}
        }
    }
    for now_ms in 2_111..10_000 {
        for (index, vm) in vms.iter_mut().enumerate() {
            match vm.step(now_ms) {
                Step::Wait(_) => {}
                Step::Read(from) => vm.record_read(now_ms, now_ms, log.read(from).unwrap()),
                Step::Append(..) => return (index, now_ms),
            }
        }
    }
    panic!("nobody claims")
}

#[test]
fn a_large_vm_leads_next_if_only_a_small_one_received_the_last_renewal() {
    let options = [Options::for_large_vm(), Options::for_small_vm()];
    let (next, claimed_ms) = first_claim_after_a_renewal_received_by_the_second(options);
    assert_eq!(next, 0);
    assert!(claimed_ms < 2_110 + 2_600, "{claimed_ms}");
    // With the same `silence_ms` for both and a claim delay of 700 ms the small VM claims first.
    let small_vm = Options {
        claim_delay_ms: 700,
        ..Options::default()
    };
    let (next, _) =
        first_claim_after_a_renewal_received_by_the_second([Options::default(), small_vm]);
    assert_eq!(next, 1);
}

/// Simulates a VM that asks the leader each `interval_ms` from 0 to `ends_ms`, when the leader ends without a word; returns the times
/// of its reads of the log up to 30 s, in ms.
fn reads_of_a_follower(options: Options, interval_ms: u64, ends_ms: u64) -> Vec<u64> {
    let mut log = Log::default();
    let mut leader = start(0, 1);
    claim(&mut leader, &mut log, 0);
    let mut follower = Election::new(
        Candidate {
            vm: Vm::try_new("vm-1").unwrap(),
            incarnation: Incarnation(7),
            address: "10.0.0.1:1".to_owned(),
        },
        options,
    );
    let mut reads_ms = Vec::new();
    for now_ms in 1..30_000 {
        if now_ms < ends_ms {
            if let Step::Append(..) = leader.step(now_ms) {
                append(&mut leader, &mut log, now_ms);
            }
            if now_ms % interval_ms == 1 {
                follower.record_heartbeat(now_ms, leader.heartbeat(now_ms), interval_ms);
            }
        }
        match follower.step(now_ms) {
            Step::Wait(_) => {}
            Step::Read(from) => {
                reads_ms.push(now_ms);
                follower.record_read(now_ms, now_ms, log.read(from).unwrap());
            }
            Step::Append(..) => break,
        }
    }
    reads_ms
}

#[test]
fn a_follower_that_asks_the_leader_rarely_does_not_read_the_log_in_between() {
    for options in [Options::for_large_vm(), Options::for_small_vm()] {
        for interval_ms in [250, 975, 1_855] {
            let reads_ms = reads_of_a_follower(options.clone(), interval_ms, 20_000);
            let first_ms = reads_ms[0];
            assert!(first_ms > 20_000, "{interval_ms}: {first_ms}");
            let silence_ms = options.silence_ms.max(interval_ms * 3 / 2);
            assert!(first_ms <= 20_000 + silence_ms, "{interval_ms}: {first_ms}");
        }
    }
}
