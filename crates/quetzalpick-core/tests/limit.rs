//! Tests of limits that endpoints name: which statement is in force, and that all VMs together keep to a limit.

use quetzalpick_core::limit::{Need, Permits, Rate, Share, Statement};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

/// Window in which the users count requests, in ms.
const WINDOW_MS: u64 = 4_000;

/// Longest wait that the leader names, in ms.
const WAIT_MAX_MS: u64 = 500;

fn rate(per_s: f64) -> Rate {
    Rate::try_from_per_s(per_s).unwrap()
}

fn statement(per_s: Option<f64>, sent_ms: u64, received_ms: u64) -> Statement<Rate> {
    Statement {
        value: per_s.map(rate),
        sent_ms,
        received_ms,
    }
}

#[test]
fn a_rate_is_a_finite_number_that_is_not_negative() {
    assert_eq!(Rate::try_from_per_s(-0.1), None);
    assert_eq!(Rate::try_from_per_s(f64::NAN), None);
    assert_eq!(Rate::try_from_per_s(f64::INFINITY), None);
    assert_eq!(rate(3.1).per_1000_s(), 3_100);
    assert_eq!(rate(3.1).to_string(), "3.1");
}

#[test]
fn a_limit_ends_with_the_answer_to_a_request_that_was_sent_after_it_was_named() {
    let named = statement(Some(3.0), 100, 200);
    let supersedes =
        |per_s, sent_ms, received_ms| statement(per_s, sent_ms, received_ms).supersedes(&named);
    assert!(supersedes(None, 201, 300));
    // These may have been written before the limit was named.
    assert!(!supersedes(None, 200, 300));
    assert!(!supersedes(None, 50, 400));
    assert!(!supersedes(Some(5.0), 150, 250));
    // A lower limit counts unless it is certainly older.
    assert!(supersedes(Some(2.0), 50, 150));
    assert!(!supersedes(Some(2.0), 50, 99));
    assert!(supersedes(Some(3.0), 150, 250));
    assert!(!supersedes(Some(3.0), 50, 150));
    let none = statement(None, 100, 200);
    assert!(named.supersedes(&none));
    assert!(!none.supersedes(&none));
}

#[test]
fn permits_come_at_the_limit_and_are_saved_for_a_second() {
    let limit = rate(4.0);
    let mut permits = Permits::new(0, limit);
    assert_eq!(
        permits.draw(0, limit, Need::Required, WAIT_MAX_MS),
        Err(250)
    );
    assert_eq!(
        permits.draw(250, limit, Need::Required, WAIT_MAX_MS),
        Ok(())
    );
    assert_eq!(
        permits.draw(250, limit, Need::Required, WAIT_MAX_MS),
        Err(250)
    );
    let at_once = (0..10).filter(|_| {
        permits
            .draw(60_000, limit, Need::Required, WAIT_MAX_MS)
            .is_ok()
    });
    assert_eq!(at_once.count(), 4);
    // A lower limit holds from the call that names it.
    let lower = rate(1.0);
    assert_eq!(
        permits.draw(60_500, lower, Need::Required, WAIT_MAX_MS),
        Ok(())
    );
    assert_eq!(
        permits.draw(60_500, lower, Need::Required, WAIT_MAX_MS),
        Err(500)
    );
}

#[test]
fn half_of_the_permits_are_kept_for_requests_that_require_one() {
    let limit = rate(5.0);
    let mut permits = Permits::new(0, limit);
    let mut drawn = |now_ms, need| {
        let draws = (0..10).filter(|_| permits.draw(now_ms, limit, need, WAIT_MAX_MS).is_ok());
        draws.count()
    };
    assert_eq!(drawn(1_000, Need::Optional), 3);
    assert_eq!(drawn(1_000, Need::Required), 2);
    // While others require all permits, none is to spare.
    for now_ms in (1_200..5_000).step_by(200) {
        assert_eq!(drawn(now_ms, Need::Optional), 0);
        assert_eq!(drawn(now_ms, Need::Required), 1);
    }
    // Otherwise all of them are.
    let optional = (5_000..10_000)
        .step_by(100)
        .map(|ms| drawn(ms, Need::Optional));
    assert_eq!(optional.sum::<usize>(), 23);
}

#[test]
fn vms_that_wait_for_a_permit_come_back_one_after_the_other() {
    let limit = rate(10.0);
    let mut permits = Permits::new(0, limit);
    let waits: Vec<_> = (0..7)
        .map(|_| permits.draw(0, limit, Need::Required, WAIT_MAX_MS))
        .collect();
    assert_eq!(waits, [100, 200, 300, 400, 500, 500, 500].map(Err));
}

#[test]
fn calls_that_are_sent_in_any_case_delay_requests() {
    let limit = rate(2.0);
    let mut permits = Permits::new(0, limit);
    (0..3).for_each(|_| permits.charge(0, limit));
    // The debt is bounded by the permits of a second.
    assert!(
        permits
            .draw(1_499, limit, Need::Required, WAIT_MAX_MS)
            .is_err()
    );
    assert_eq!(
        permits.draw(1_500, limit, Need::Required, WAIT_MAX_MS),
        Ok(())
    );
}

#[test]
fn an_endpoint_that_takes_no_requests_is_asked_every_ten_seconds() {
    let limit = rate(0.0);
    let mut permits = Permits::new(0, limit);
    let drawn: Vec<u64> = (0..400)
        .map(|n| n * 100)
        .filter(|now_ms| {
            permits
                .draw(*now_ms, limit, Need::Required, WAIT_MAX_MS)
                .is_ok()
        })
        .collect();
    assert_eq!(drawn, [10_000, 20_000, 30_000]);
}

/// `Policy` determines how the VMs of a `World` keep to a limit.
#[derive(Clone, Copy, PartialEq)]
enum Policy {
    /// Permits of the leader, and shares without one.
    Divided,
    /// Each VM keeps to the limit on its own.
    EachAlone,
}

/// `World` plays VMs that want to send to one endpoint all the time, in steps of 10 ms.
struct World {
    policy: Policy,
    limit: Rate,
    random: Pcg64,
    /// Permits of the leader; `None` while no VM leads.
    leader: Option<Permits>,
    shares: Vec<Share>,
    own: Vec<Permits>,
    paused_until_ms: Vec<u64>,
    sent_ms: Vec<u64>,
}

const STEP_MS: u64 = 10;

impl World {
    fn new(policy: Policy, per_s: f64, vms: usize, seed: u64) -> Self {
        let limit = rate(per_s);
        Self {
            policy,
            limit,
            random: Pcg64::seed_from_u64(seed),
            leader: Some(Permits::new(0, limit)),
            shares: vec![Share::default(); vms],
            own: vec![Permits::new(0, limit); vms],
            paused_until_ms: vec![0; vms],
            sent_ms: Vec::new(),
        }
    }

    fn obtain(&mut self, now_ms: u64, vm: usize) -> Result<(), u64> {
        let (limit, members) = (self.limit, self.shares.len() as u64);
        match (&mut self.leader, self.policy) {
            (_, Policy::EachAlone) => self.own[vm].draw(now_ms, limit, Need::Required, WAIT_MAX_MS),
            (Some(permits), _) => permits.draw(now_ms, limit, Need::Required, WAIT_MAX_MS),
            (None, _) => self.shares[vm].take(now_ms, limit, members, self.random.random()),
        }
    }

    /// Plays from `from_ms` to `to_ms`; each VM has a request with this probability in each step.
    fn play(&mut self, from_ms: u64, to_ms: u64, probability: f64) {
        for now_ms in (from_ms..to_ms).step_by(STEP_MS as usize) {
            for vm in 0..self.shares.len() {
                if now_ms < self.paused_until_ms[vm] || !self.random.random_bool(probability) {
                    continue;
                }
                match self.obtain(now_ms, vm) {
                    Ok(()) => self.sent_ms.push(now_ms),
                    Err(wait_ms) => self.paused_until_ms[vm] = now_ms + wait_ms,
                }
            }
        }
    }

    /// Returns the most requests in any window.
    fn most(&self) -> usize {
        let windows = self.sent_ms.iter().enumerate().map(|(index, from)| {
            let end_ms = from + WINDOW_MS;
            self.sent_ms[index..].partition_point(|at| *at < end_ms)
        });
        windows.max().unwrap_or_default()
    }
}

/// Returns what the users allow in a window.
fn allowed(per_s: f64) -> usize {
    (1.5 * per_s * WINDOW_MS as f64 / 1_000.0) as usize + 5
}

#[test]
fn all_vms_together_keep_to_a_limit_however_many_there_are() {
    let sizes = [6, 8, 79, 370].into_iter();
    let cases = sizes.flat_map(|vms| [0.4, 3.0, 12.0, 150.0].map(|per_s| (vms, per_s)));
    for ((vms, per_s), seed) in cases.zip(0..) {
        let mut world = World::new(Policy::Divided, per_s, vms, seed);
        // Quiet, then a rush, no leader, a rush without one, and a new leader.
        world.play(0, 20_000, 0.002);
        world.play(20_000, 40_000, 0.5);
        world.leader = None;
        world.play(40_000, 60_000, 0.01);
        world.play(60_000, 80_000, 0.5);
        world.leader = Some(Permits::new(80_000, world.limit));
        world.play(80_000, 100_000, 0.5);
        let (most, allowed) = (world.most(), allowed(per_s));
        assert!(most <= allowed, "{vms} VMs, {per_s}/s: {most} of {allowed}");
        // The limit is used as well: all of it with a leader, half without.
        let rush = world
            .sent_ms
            .iter()
            .filter(|at| (20_000..40_000).contains(*at));
        let alone = world
            .sent_ms
            .iter()
            .filter(|at| (60_000..80_000).contains(*at));
        let (rush, alone) = (rush.count() as f64, alone.count() as f64);
        assert!(
            rush >= per_s * 20.0 * 0.9,
            "{vms} VMs, {per_s}/s: {rush} led"
        );
        assert!(
            alone >= per_s * 20.0 * 0.2,
            "{vms} VMs, {per_s}/s: {alone} leaderless"
        );
    }
}

#[test]
fn vms_that_keep_to_a_limit_each_on_its_own_exceed_it() {
    for vms in [6, 370] {
        let mut world = World::new(Policy::EachAlone, 3.0, vms, 1);
        world.play(0, 20_000, 0.5);
        assert!(world.most() > allowed(3.0), "{vms} VMs: {}", world.most());
    }
}
