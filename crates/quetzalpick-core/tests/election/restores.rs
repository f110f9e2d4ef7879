//! Claims beside a restore of the log from an older copy, and numbers that were refused.

use quetzalpick_core::election::{Claim, Election, Options, Step};
use quetzalpick_core::id::Era;

use crate::{Log, append, claim, start};

/// Starts a VM that leads an own log from 0 ms on, in which the first claim of another VM may be lost.
fn restored_log(copied_ms: u64) -> (Log, Election) {
    let mut log = Log::default();
    let mut leader = start(0, 1);
    claim(&mut leader, &mut log, 0);
    log.now_ms = copied_ms;
    (log, leader)
}

#[test]
fn a_leader_whose_claim_was_lost_goes_on_at_once_with_a_higher_number() {
    let (mut log, mut leader) = restored_log(1_000);
    let former = leader.fence(500).unwrap();
    log.restore(1_000);
    assert_eq!(log.records.len(), 1);
    log.restore(1_001);
    leader.record_restore(1_000, log.era);
    assert_eq!(leader.fence(1_000), None);
    claim(&mut leader, &mut log, 1_010);
    assert!(leader.fence(1_020) > Some(former));
}

#[test]
fn the_former_leader_does_not_lead_at_once_if_the_claim_of_its_successor_may_be_lost() {
    // The log holds only the claim of the former start of this VM; another VM may have led since.
    let (mut log, _) = restored_log(6_000);
    log.restore(0);
    let mut restarted = start(0, 2);
    restarted.record_read(6_000, 6_000, log.tail());
    let claims_ms = (6_000..12_000).find(|now_ms| {
        if let Step::Read(from) = restarted.step(*now_ms) {
            restarted.record_read(*now_ms, *now_ms, log.read(from).unwrap());
        }
        matches!(restarted.step(*now_ms), Step::Append(..))
    });
    let claims_ms = claims_ms.unwrap();
    let options = Options::default();
    assert!(claims_ms >= 6_000 + options.expiry_ms, "{claims_ms}");
    log.now_ms = claims_ms;
    append(&mut restarted, &mut log, claims_ms);
    let acts_from_ms = 6_000 + options.lease_ms + options.handover_ms;
    assert_eq!(restarted.fence(acts_from_ms - 1), None);
}

#[test]
fn a_refused_number_is_not_used_again() {
    let (mut log, mut leader) = restored_log(0);
    let refused = leader.fence(500).unwrap();
    leader.record_refusal(500, refused);
    claim(&mut leader, &mut log, 510);
    let options = Options::default();
    let handover_ms = options.lease_ms + options.handover_ms;
    assert_eq!(leader.fence(510 + options.lease_ms - 1), None);
    let next = (511..511 + handover_ms + 1_000).find_map(|now_ms| {
        if let Step::Append(..) = leader.step(now_ms) {
            append(&mut leader, &mut log, now_ms);
        }
        leader.fence(now_ms)
    });
    assert!(next > Some(refused + 1_000_000));
}

/// Guards against numbers of this version that VMs of the former one, which lead next, could not exceed.
#[test]
fn numbers_go_on_from_those_of_the_former_version_without_a_restore() {
    let (mut log, _) = restored_log(0);
    log.era = Era(1);
    let former = Claim {
        numbering: None,
        ..log.records[0].clone()
    };
    log.records[0] = former;
    let mut next = start(1, 2);
    // The last read finds no further record, and that the former leader has expired.
    let claims_ms = (0..10_000).find(|now_ms| match next.step(*now_ms) {
        Step::Wait(_) => false,
        Step::Read(from) => {
            next.record_read(*now_ms, *now_ms, log.read(from).unwrap());
            false
        }
        Step::Append(..) => true,
    });
    let claims_ms = claims_ms.unwrap();
    append(&mut next, &mut log, claims_ms);
    assert_eq!(next.leads(claims_ms), Some(2));
}
