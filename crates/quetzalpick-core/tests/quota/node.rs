//! One simulated gate.

use quetzalpick_core::id::{Incarnation, Member, Offset, Vm, Workspace};
use quetzalpick_core::quota::{Debit, Options, Peer, Quota};
use quetzalpick_core::record::Entry;
use quetzalpick_core::state::State;

/// Duration of a lease, in ms.
pub(crate) const LEASE_MS: u64 = 2_000;

/// `Phase` describes whether a gate serves, stops, is frozen or has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    Serving,
    /// Hands over its shares since this time, in ms.
    Stopping(u64),
    /// Does nothing until this time, in ms.
    Frozen(u64),
    Gone,
}

/// `Running` holds the debit of an admitted request and the request's number in the oracle.
#[derive(Debug)]
pub(crate) struct Running {
    pub(crate) debit: Debit,
    pub(crate) created: Offset,
    pub(crate) number: usize,
}

/// `Node` holds a gate with its replica of the state and its own clock.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) member: Member,
    pub(crate) state: State,
    pub(crate) quota: Quota,
    pub(crate) phase: Phase,
    pub(crate) peers: Vec<Peer>,
    pub(crate) running: Vec<Running>,
    leased_until_ms: u64,
    /// Difference between the gate's clock and that of the simulation, in ms.
    clock_offset_ms: u64,
}

impl Node {
    pub(crate) fn new(number: usize) -> Self {
        let member = Member {
            vm: Vm::try_new(format!("vm{number}/gate")).expect("the name is valid"),
            incarnation: Incarnation(number as u64),
        };
        Self {
            quota: Quota::new(member.clone(), Options::default()),
            member,
            state: State::default(),
            phase: Phase::Serving,
            peers: Vec::new(),
            running: Vec::new(),
            leased_until_ms: 0,
            clock_offset_ms: 10_000 * number as u64,
        }
    }

    /// Returns the time on the gate's own clock, in ms.
    pub(crate) fn time(&self, now_ms: u64) -> u64 {
        now_ms + self.clock_offset_ms
    }

    pub(crate) fn is_awake(&self) -> bool {
        matches!(self.phase, Phase::Serving | Phase::Stopping(_))
    }

    /// Returns whether the gate may charge and transfer: it is awake, leased, active and not suspected.
    pub(crate) fn is_leased(&self, now_ms: u64) -> bool {
        let membership = self.state.roster().members().get(&self.member);
        let is_unsuspected = membership.is_some_and(|membership| membership.suspected.is_none());
        self.is_awake() && is_unsuspected && now_ms < self.leased_until_ms
    }

    /// Applies log entries up to an offset; reaching the end of the log renews the lease.
    pub(crate) fn read(&mut self, now_ms: u64, log: &[Entry], up_to: usize) {
        for (at, entry) in log.iter().enumerate().take(up_to) {
            if at as u64 == self.state.next().0 {
                self.state.apply(Offset(at as u64), entry);
            }
        }
        self.quota.sync(self.time(now_ms), &self.state);
        if up_to == log.len() {
            self.leased_until_ms = now_ms + LEASE_MS;
        }
    }

    /// Returns the share epoch of the gate, as stated in a transfer request.
    pub(crate) fn epoch(&self, now_ms: u64, workspace: &Workspace) -> Option<Offset> {
        let mut quota = self.quota.clone();
        let request = quota.transfer_request(self.time(now_ms), workspace, 1)?;
        Some(request.epoch)
    }
}
