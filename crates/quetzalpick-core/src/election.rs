//! The election of one leader through a log that appends under a condition.
//!
//! A claim or a renewal is appended only where the log is known to end, so that of two claims one fails, and a leader that was
//! replaced learns it from its next renewal. Times are milliseconds on the VM's own clock, which counts suspension.

use serde::{Deserialize, Serialize};

use crate::id::{Incarnation, Offset, Vm};

/// `Options` set the times of an election; all VMs use the same.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Pause between two renewals, in ms.
    pub renew_ms: u64,
    /// Time after the send of its last renewal for which a leader acts, in ms.
    pub lease_ms: u64,
    /// Time without a renewal after which another VM claims, in ms; longer than `lease_ms`.
    pub expiry_ms: u64,
    /// Claims of different VMs are spread over this time, in ms, so that most see the first one before they try.
    pub stagger_ms: u64,
    /// Time by which this VM claims later than others, in ms; set for VMs that are better led than leading.
    pub claim_delay_ms: u64,
    /// Time by which this VM waits with the first claim of all, in ms: larger VMs wait less.
    pub first_ms: u64,
    /// Time without word of the leader after which the log is read, in ms.
    pub silence_ms: u64,
    /// Time that must pass between the acts of two leaders on different VMs, in ms.
    pub handover_ms: u64,
    /// Pause between two reads while there is no leader, in ms.
    pub read_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            renew_ms: 700,
            lease_ms: 1_500,
            expiry_ms: 1_800,
            stagger_ms: 400,
            claim_delay_ms: 0,
            first_ms: 0,
            silence_ms: 900,
            handover_ms: 3_200,
            read_ms: 400,
        }
    }
}

impl Options {
    /// Returns the options of a VM that leads well. It looks for the next leader early: a VM that did not hear the last renewal
    /// counts the leader's time from the read that shows it.
    pub fn for_large_vm() -> Self {
        Self {
            silence_ms: 600,
            ..Self::default()
        }
    }

    /// Returns the options of a VM that is better led than leading. Its turn comes after that of a larger VM that did not hear the
    /// last renewal, though it did.
    pub fn for_small_vm() -> Self {
        Self {
            claim_delay_ms: 1_100,
            ..Self::default()
        }
    }
}

/// `Candidate` is one start of one VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// The VM.
    pub vm: Vm,
    /// Its start.
    pub incarnation: Incarnation,
    /// IP address and port at which the other VMs reach it.
    pub address: String,
}

/// `Claim` is one record of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Who claims or renews.
    pub candidate: Candidate,
    /// Offset of the first record of the term; `None` in that record itself.
    pub term: Option<Offset>,
    /// Time until the term may begin to act, in ms; 0 once it may.
    pub acts_in_ms: u64,
    /// Set when the leader resigns: time since its last act, in ms.
    pub resigned_after_ms: Option<u64>,
}

/// `Tail` is what a read of the log showed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tail {
    /// Where the log ends.
    pub end: Offset,
    /// Newest record that could be read, and its offset; `None` if none was read.
    pub newest: Option<(Offset, Claim)>,
}

/// `Appended` is what became of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Appended {
    /// The record has this offset.
    At(Offset),
    /// The log ends elsewhere, and nothing was appended.
    Conflict,
    /// It is not known whether the record was appended or will be.
    Unknown,
    /// Nothing was appended.
    Failed,
}

/// `Step` is what to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Nothing for this long, in ms.
    Wait(u64),
    /// Read the log from an offset on.
    Read(Offset),
    /// Append a claim where the log ends at an offset.
    Append(Claim, Offset),
}

/// `Heartbeat` is what a leader says of its term when it answers another VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The leader.
    pub leader: Candidate,
    /// Where the log ends after its last renewal.
    pub end: Offset,
    /// Time since the send of that renewal, in ms.
    pub age_ms: u64,
}

/// `Seen` is the newest state of the log that was read, or that the leader told.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Seen {
    end: Offset,
    newest: Option<(Offset, Claim)>,
    /// When the log was first seen to end there, in ms; no earlier than the send of its newest record.
    since_ms: u64,
    /// When it was last read to end there, in ms; `None` if the leader told.
    read_ms: Option<u64>,
}

/// `Term` is the own leadership.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Term {
    first: Offset,
    /// Send time of the last renewal that was accepted, in ms.
    renewed_ms: u64,
    /// When the term may begin to act, in ms.
    acts_from_ms: u64,
    /// Where the log ends after the last renewal.
    end: Offset,
    /// Send time of an append of which it is not known whether it took effect, in ms.
    doubt_ms: Option<u64>,
    /// The next renewal is not sent before, in ms.
    next_ms: u64,
}

/// `Election` follows the log for one VM, claims when nobody leads, and renews.
#[derive(Debug, Clone)]
pub struct Election {
    me: Candidate,
    options: Options,
    seen: Option<Seen>,
    term: Option<Term>,
    heartbeat_ms: Option<u64>,
    next_read_ms: u64,
    /// Whether the last read failed.
    failing: bool,
    /// When a read succeeded after others had failed, in ms.
    regained_ms: u64,
    acted_ms: Option<u64>,
}

/// Longest pause between two steps, in ms.
const WAIT_MAX_MS: u64 = 100;

/// Time after the end of a leader's time by which another one without a handicap has claimed, in ms.
const FOLLOW_MS: u64 = 300;

/// A renewal that failed is repeated after one of this many parts of the usual pause.
const RETRY_PART: u64 = 4;

impl Election {
    /// Begins without any knowledge of the log.
    pub fn new(me: Candidate, options: Options) -> Self {
        Self {
            me,
            options,
            seen: None,
            term: None,
            heartbeat_ms: None,
            next_read_ms: 0,
            failing: false,
            regained_ms: 0,
            acted_ms: None,
        }
    }

    /// Returns what to do next.
    pub fn step(&self, now_ms: u64) -> Step {
        if let Some(term) = &self.term {
            if term.doubt_ms.is_some() && now_ms >= self.next_read_ms {
                return Step::Read(term.end);
            }
            if term.doubt_ms.is_some() || now_ms < term.next_ms {
                return Step::Wait(WAIT_MAX_MS);
            }
            return Step::Append(self.claim(now_ms, Some(term.first)), term.end);
        }
        if let Some(at) = self.claimable(now_ms) {
            return Step::Append(self.claim(now_ms, None), at);
        }
        let silent_from_ms = self.heartbeat_ms.map(|at| at + self.options.silence_ms);
        let silent_ms = silent_from_ms.unwrap_or_default();
        let due_ms = match self.lapses_ms(now_ms) {
            // The log is read once when the leader falls silent, and again when its time is over.
            Some(lapses_ms) => lapses_ms.max(silent_ms),
            None => self.next_read_ms.max(silent_ms),
        };
        if now_ms < due_ms {
            return Step::Wait((due_ms - now_ms).min(WAIT_MAX_MS));
        }
        Step::Read(self.seen.as_ref().map_or(Offset(0), |seen| seen.end))
    }

    /// Takes in what a read sent at `sent_ms` showed.
    pub fn read(&mut self, sent_ms: u64, now_ms: u64, tail: Tail) {
        self.next_read_ms = now_ms + self.options.read_ms;
        if std::mem::take(&mut self.failing) {
            self.regained_ms = now_ms;
        }
        if self.settles_doubt(&tail) {
            return;
        }
        let former = self.seen.take();
        let unchanged = former.filter(|seen| seen.end == tail.end);
        let seen = unchanged.unwrap_or(Seen {
            end: tail.end,
            newest: tail.newest,
            since_ms: now_ms,
            read_ms: None,
        });
        let seen = Seen {
            read_ms: Some(now_ms),
            ..seen
        };
        if let Some((offset, claim)) = &seen.newest
            && claim.candidate == self.me
            && claim.resigned_after_ms.is_none()
        {
            // A claim whose answer was lost took effect; nobody else claimed up to this read.
            self.term = Some(Term {
                first: claim.term.unwrap_or(*offset),
                renewed_ms: sent_ms,
                acts_from_ms: now_ms + self.options.lease_ms + self.options.handover_ms,
                end: seen.end,
                doubt_ms: None,
                next_ms: now_ms,
            });
        }
        self.seen = Some(seen);
    }

    /// Ends the doubt about a renewal by what a read showed; tells whether the own term goes on.
    fn settles_doubt(&mut self, tail: &Tail) -> bool {
        let Some(term) = &mut self.term else {
            return false;
        };
        let is_mine = |(_, claim): &(Offset, Claim)| claim.candidate == self.me;
        let goes_on = match &tail.newest {
            None => tail.end == term.end,
            Some(newest) => is_mine(newest),
        };
        if !goes_on {
            self.term = None;
            self.seen = None;
            return false;
        }
        if tail.newest.is_some() {
            term.renewed_ms = term
                .doubt_ms
                .unwrap_or(term.renewed_ms)
                .max(term.renewed_ms);
        }
        term.end = tail.end;
        term.doubt_ms = None;
        true
    }

    /// Takes in that a read failed.
    pub fn read_failed(&mut self, now_ms: u64) {
        self.failing = true;
        self.next_read_ms = now_ms + self.options.read_ms;
    }

    /// Takes in what became of an append sent at `sent_ms`.
    pub fn appended(&mut self, sent_ms: u64, now_ms: u64, result: Appended) {
        let renew_ms = self.options.renew_ms;
        let Some(term) = &mut self.term else {
            return self.claimed(sent_ms, now_ms, result);
        };
        match result {
            Appended::At(offset) => {
                term.renewed_ms = sent_ms;
                term.end = Offset(offset.0 + 1);
                term.next_ms = sent_ms + renew_ms;
            }
            // Only a read tells whether the record, or another one, is there.
            Appended::Conflict | Appended::Unknown => {
                term.doubt_ms = Some(sent_ms);
                self.next_read_ms = now_ms;
            }
            Appended::Failed if now_ms < term.renewed_ms + self.options.expiry_ms => {
                term.next_ms = now_ms + renew_ms / RETRY_PART;
            }
            Appended::Failed => self.forget(now_ms),
        }
    }

    /// Takes in what became of a claim.
    fn claimed(&mut self, sent_ms: u64, now_ms: u64, result: Appended) {
        let Appended::At(offset) = result else {
            return self.forget(now_ms);
        };
        self.term = Some(Term {
            first: offset,
            renewed_ms: sent_ms,
            acts_from_ms: now_ms + self.wait_before_acts_ms(now_ms),
            end: Offset(offset.0 + 1),
            doubt_ms: None,
            next_ms: sent_ms + self.options.renew_ms,
        });
    }

    /// Notes that the leader answered, and what it says of its term.
    pub fn record_heartbeat(&mut self, now_ms: u64, heartbeat: Option<Heartbeat>) {
        self.heartbeat_ms = Some(now_ms);
        let known = self.seen.as_ref().map(|seen| seen.end);
        let Some(heartbeat) =
            heartbeat.filter(|heartbeat| self.term.is_none() && Some(heartbeat.end) > known)
        else {
            return;
        };
        let claim = Claim {
            candidate: heartbeat.leader,
            term: None,
            acts_in_ms: 0,
            resigned_after_ms: None,
        };
        self.seen = Some(Seen {
            end: heartbeat.end,
            newest: Some((Offset(heartbeat.end.0.saturating_sub(1)), claim)),
            since_ms: now_ms.saturating_sub(heartbeat.age_ms),
            read_ms: None,
        });
    }

    /// Returns what this VM says of its own term; `None` if it does not lead.
    pub fn heartbeat(&self, now_ms: u64) -> Option<Heartbeat> {
        let term = self.term.as_ref()?;
        Some(Heartbeat {
            leader: self.me.clone(),
            end: term.end,
            age_ms: now_ms.saturating_sub(term.renewed_ms),
        })
    }

    /// Notes that the VM thought to lead says that it does not, or cannot be reached.
    pub fn record_no_answer(&mut self) {
        self.heartbeat_ms = None;
    }

    /// Notes an act, such as an order, at its send time.
    pub fn record_action(&mut self, now_ms: u64) {
        self.acted_ms = self.acted_ms.max(Some(now_ms));
    }

    /// Gives the own leadership up, as when an endpoint knows a newer one.
    pub fn resign(&mut self, now_ms: u64) {
        self.forget(now_ms);
    }

    /// Returns the record that tells others of a planned resignation, and where the log ends; `None` without a term.
    pub fn resignation(&self, now_ms: u64) -> Option<(Claim, Offset)> {
        let term = self.term.as_ref()?;
        let last_ms = self.acted_ms.unwrap_or_default();
        let since_ms = now_ms.saturating_sub(last_ms);
        let claim = Claim {
            resigned_after_ms: Some(since_ms),
            ..self.claim(now_ms, Some(term.first))
        };
        Some((claim, term.end))
    }

    /// Returns the number that fences the own acts, if this VM may act now.
    pub fn fence(&self, now_ms: u64) -> Option<u64> {
        let acts = self.term.as_ref()?.acts_from_ms <= now_ms;
        self.leads(now_ms).filter(|_| acts)
    }

    /// Returns the number of the own term while no other VM can lead, though this one may not act yet.
    pub fn leads(&self, now_ms: u64) -> Option<u64> {
        let term = self.term.as_ref()?;
        let held = now_ms < term.renewed_ms + self.options.lease_ms;
        held.then_some(term.first.0 + 1)
    }

    /// Returns the VM that is thought to lead, this one included.
    pub fn leader(&self) -> Option<&Candidate> {
        if self.term.is_some() {
            return Some(&self.me);
        }
        let (_, claim) = self.seen.as_ref()?.newest.as_ref()?;
        (claim.resigned_after_ms.is_none()).then_some(&claim.candidate)
    }

    fn claim(&self, now_ms: u64, term: Option<Offset>) -> Claim {
        let acts_in_ms = match &self.term {
            Some(term) => term.acts_from_ms.saturating_sub(now_ms),
            None => self.wait_before_acts_ms(now_ms),
        };
        Claim {
            candidate: self.me.clone(),
            term,
            acts_in_ms,
            resigned_after_ms: None,
        }
    }

    /// Gives up the own term, and reads the log at once.
    fn forget(&mut self, now_ms: u64) {
        self.term = None;
        self.heartbeat_ms = None;
        self.seen = None;
        self.next_read_ms = now_ms;
    }

    /// Returns where to append a claim, if nobody leads.
    fn claimable(&self, now_ms: u64) -> Option<Offset> {
        let seen = self.seen.as_ref()?;
        let read_ms = seen.read_ms?;
        let lapsed_ms = self.lapsed_ms(seen);
        // A read just before tells whether another VM has claimed.
        let read_since = read_ms >= lapsed_ms;
        let lapsed = now_ms >= lapsed_ms && read_since && !self.hears(now_ms);
        let free = match &seen.newest {
            None if seen.end == Offset(0) => now_ms >= seen.since_ms + self.options.first_ms,
            None => lapsed,
            Some((_, claim)) if claim.resigned_after_ms.is_some() => {
                now_ms >= seen.since_ms + self.options.claim_delay_ms
            }
            Some((_, claim)) => self.is_former_self(claim) || lapsed,
        };
        free.then_some(seen.end)
    }

    /// Tells whether a claim is of a former start of this VM, which has ended.
    fn is_former_self(&self, claim: &Claim) -> bool {
        let candidate = &claim.candidate;
        candidate.vm == self.me.vm && candidate.incarnation != self.me.incarnation
    }

    /// Returns when the time of the leader that was seen is over for this VM, in ms.
    ///
    /// After an outage of the log the time of every leader is over; the VMs still claim in their order.
    fn lapsed_ms(&self, seen: &Seen) -> u64 {
        let lapsed_ms = seen.since_ms + self.options.expiry_ms;
        lapsed_ms.max(self.regained_ms) + self.delay_ms()
    }

    /// Returns how long this VM waits beyond the time of a leader, in ms.
    fn delay_ms(&self) -> u64 {
        let spread_ms = self.me.incarnation.0 % self.options.stagger_ms.max(1);
        spread_ms + self.options.claim_delay_ms
    }

    /// Returns when the time of a leader that was seen by a read is over, for others or for this VM, if that is to come, in ms.
    fn lapses_ms(&self, now_ms: u64) -> Option<u64> {
        let seen = self.seen.as_ref()?;
        let read_ms = seen.read_ms?;
        let own_ms = self.lapsed_ms(seen);
        // A VM with a handicap looks whether another one leads before its own turn comes.
        let others_ms = own_ms - self.options.claim_delay_ms.saturating_sub(FOLLOW_MS);
        let lapses_ms = if read_ms < others_ms {
            others_ms
        } else {
            own_ms
        };
        (now_ms < lapses_ms && lapses_ms > self.next_read_ms).then_some(lapses_ms)
    }

    fn hears(&self, now_ms: u64) -> bool {
        let silent_from_ms = self.heartbeat_ms.map(|at| at + self.options.silence_ms);
        silent_from_ms.is_some_and(|until_ms| now_ms < until_ms)
    }

    /// Returns how long a new term waits until the former leader's last act is long enough past, in ms.
    fn wait_before_acts_ms(&self, now_ms: u64) -> u64 {
        let Some(seen) = &self.seen else {
            return self.options.lease_ms + self.options.handover_ms;
        };
        let Some((_, claim)) = &seen.newest else {
            return 0;
        };
        if self.is_former_self(claim) {
            return claim.acts_in_ms;
        }
        let last_ms = match claim.resigned_after_ms {
            Some(after_ms) => seen.since_ms.saturating_sub(after_ms),
            None => seen.since_ms + self.options.lease_ms,
        };
        let wait_ms = (last_ms + self.options.handover_ms).saturating_sub(now_ms);
        // The leader before may not have begun to act, and wait for one before it.
        wait_ms.max(claim.acts_in_ms)
    }
}
