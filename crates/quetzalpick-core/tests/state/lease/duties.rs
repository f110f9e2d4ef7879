//! The actions of each simulated VM: it reads the log, queries its peers and proposes records about the roster.

use quetzalpick_core::id::{Member, Offset};
use quetzalpick_core::lease::Options;
use quetzalpick_core::record::{Record, Retire, VoterChange};
use rand::RngExt;

use super::{Event, Policy, Vm, World};

const SUSPICION_MS: u64 = 3_000;

impl World {
    /// Runs one step of a VM's periodic work.
    pub(super) fn act(&mut self, at: usize) {
        let sent = self.clock(at);
        if self.one_in(10) && self.can_reach_log(at) {
            self.schedule(900, Event::Read { vm: at, sent });
        }
        if self.one_in(10) {
            for to in (0..self.vms.len()).filter(|to| *to != at) {
                if self.vms[to].running && self.can_reach(at, to) {
                    self.schedule(700, Event::Query { from: at, to, sent });
                }
            }
        }
        self.declare_complete(at);
        let member = &self.vms[at].member;
        let was_active = self.vms[at].state.next() > Offset(0) && self.retired.contains(member);
        if was_active && !self.vms[at].state.roster().is_active(member) {
            // A retired VM that has applied its retirement restarts.
            self.vms[at].running = false;
            self.start();
            return;
        }
        let may_write = sent.saturating_sub(self.vms[at].last_write) > 400;
        if !may_write || !self.can_reach_log(at) || !self.one_in(4) {
            return;
        }
        if let Some(record) = self.next_record(at, sent) {
            self.vms[at].last_write = sent;
            let member = self.vms[at].member.clone();
            self.write(&member, record);
        }
    }

    /// Marks the changes that the VM has confirmed to be in force everywhere.
    fn declare_complete(&mut self, at: usize) {
        let now = self.clock(at);
        let vm = &self.vms[at];
        for (offset, complete) in self.changes.iter_mut().rev().take(8) {
            let applied = Offset(offset.0 + 1);
            if *complete || vm.state.next() < applied {
                continue;
            }
            let confirmed_by = confirmed_by(self.policy, now, vm, applied, &self.options);
            *complete = confirmed_by.is_some();
            self.counts.complete += usize::from(*complete);
        }
    }

    /// Returns the next record about the roster that a VM proposes.
    fn next_record(&mut self, at: usize, now: u64) -> Option<Record> {
        let choice = self.random.random_range(0..4_usize);
        let vm = &self.vms[at];
        let roster = vm.state.roster();
        let own = roster.members().get(&vm.member)?;
        if own.suspected.is_some() {
            return Some(Record::Refute(vm.member.clone()));
        }
        let voters_changed = roster.voters_changed();
        for (member, membership) in roster.members().iter() {
            let suspected = membership.suspected;
            let Some(suspected) = suspected.filter(|_| *member != vm.member) else {
                continue;
            };
            let applied = Offset(suspected.0 + 1);
            if let Some(confirmed_by) = confirmed_by(self.policy, now, vm, applied, &self.options) {
                let retire = Retire {
                    member: member.clone(),
                    suspected,
                    voters_changed,
                    confirmed_by,
                };
                return Some(Record::Retire(retire));
            }
        }
        let nonvoters = roster.members().keys().filter(|m| !roster.is_voter(m));
        let departed = roster.voters().iter().filter(|m| !roster.is_active(m));
        let mut candidates = nonvoters.chain(departed).cloned();
        let confirmed_by = match self.policy {
            Policy::ChangeVotersAtOnce => Some(roster.voters().to_vec()),
            _ => vm
                .quorum
                .majority(&vm.state, voters_changed)
                .map(|m| m.members),
        };
        if let (Some(member), Some(confirmed_by)) = (candidates.next(), confirmed_by) {
            return Some(Record::ChangeVoters(VoterChange {
                member,
                voters_changed,
                confirmed_by,
            }));
        }
        let silent = |member: &&Member| {
            let last_contact = vm.last_contacts.iter().find(|(peer, _)| peer == *member);
            // A peer without any contact counts as last contacted 4 s after the start of the run.
            let last_contact = last_contact.map_or(vm.clock.0 + 4_000, |(_, at)| *at);
            now.saturating_sub(last_contact) > SUSPICION_MS
        };
        let others = roster.members().keys().filter(|m| **m != vm.member);
        let silent: Vec<&Member> = others.filter(silent).collect();
        let suspect = silent.get(choice % silent.len().max(1))?;
        let membership = roster.members().get(*suspect)?;
        membership
            .suspected
            .is_none()
            .then(|| Record::Suspect((*suspect).clone()))
    }
}

/// Returns the confirming voters of a completed revocation.
fn confirmed_by(
    policy: Policy,
    now: u64,
    vm: &Vm,
    applied: Offset,
    options: &Options,
) -> Option<Vec<Member>> {
    match policy {
        Policy::NoWait => vm.quorum.majority(&vm.state, applied).map(|m| m.members),
        _ => vm.quorum.confirmed(now, &vm.state, applied, options),
    }
}
