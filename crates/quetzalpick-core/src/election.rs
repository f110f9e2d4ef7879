//! Leader election through a log with conditional appends.
//!
//! A claim or a renewal is appended only at the expected end of the log. Of two concurrent claims one fails, and the next renewal
//! of a replaced leader fails too. Times are milliseconds on the VM's own clock, which keeps counting while the VM is suspended.

use serde::{Deserialize, Serialize};

use crate::id::{Incarnation, Offset, Vm};

/// `Options` sets the intervals and timeouts of an election; all VMs use the same apart from what depends on their size.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Interval between two renewals, in ms.
    pub renew_ms: u64,
    /// Time for which a leader may act after it sent its last renewal, in ms.
    pub lease_ms: u64,
    /// Time without a renewal after which another VM claims, in ms; longer than `lease_ms`.
    pub expiry_ms: u64,
    /// Window over which claims of different VMs are spread, in ms, so that most VMs read the first claim before they attempt one.
    pub stagger_ms: u64,
    /// Additional delay before this VM claims, in ms; set for VMs that are less suited to lead.
    pub claim_delay_ms: u64,
    /// Delay before this VM appends the first claim to an empty log, in ms; shorter on larger VMs.
    pub first_claim_delay_ms: u64,
    /// Time without a heartbeat of the leader after which the log is read, in ms.
    pub silence_ms: u64,
    /// Minimum time between the actions of two leaders on different VMs, in ms.
    pub handover_ms: u64,
    /// Interval between two reads while there is no leader, in ms.
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
            first_claim_delay_ms: 0,
            silence_ms: 900,
            handover_ms: 3_200,
            read_ms: 400,
        }
    }
}

impl Options {
    /// Returns the options of a VM that is suited to lead. It reads the log early: a VM that missed the last renewal measures the
    /// leader's expiry from the read that shows this renewal.
    pub fn for_large_vm() -> Self {
        Self {
            silence_ms: 600,
            ..Self::default()
        }
    }

    /// Returns the options of a VM that is less suited to lead. It claims after a larger VM even if only the small VM received the
    /// last renewal.
    pub fn for_small_vm() -> Self {
        Self {
            claim_delay_ms: 1_100,
            ..Self::default()
        }
    }
}

/// `Candidate` identifies one incarnation of a VM that takes part in the election.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// The VM.
    pub vm: Vm,
    /// Its incarnation: one start of its process.
    pub incarnation: Incarnation,
    /// IP address and port at which the other VMs reach it.
    pub address: String,
}

/// `Claim` is a log record with which a VM claims, renews or resigns the leadership.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Author of the claim, renewal or resignation.
    pub candidate: Candidate,
    /// Offset of the first record of the term; `None` in that record itself.
    pub term: Option<Offset>,
    /// Time until the leader of this term may act, in ms; 0 once it may.
    pub acts_in_ms: u64,
    /// Set when the leader resigns: time since its last action, in ms.
    pub resigned_after_ms: Option<u64>,
}

/// `Tail` describes the end of the log as returned by a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tail {
    /// End offset of the log.
    pub end: Offset,
    /// Newest record returned by the read and its offset; `None` if it returned none.
    pub newest: Option<(Offset, Claim)>,
}

/// `Appended` is the result of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Appended {
    /// The record was appended at this offset.
    At(Offset),
    /// The log ends elsewhere, and nothing was appended.
    Conflict,
    /// The outcome is unknown: the record may have been appended or may still be.
    Unknown,
    /// Nothing was appended.
    Failed,
}

/// `Step` is the next operation that the caller performs for an `Election`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Wait this long, in ms.
    Wait(u64),
    /// Read the log from an offset on.
    Read(Offset),
    /// Append a claim if the log ends at this offset.
    Append(Claim, Offset),
}

/// `Heartbeat` describes a leader's term; a leader includes it in its answers to other VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The leader.
    pub leader: Candidate,
    /// End offset of the log after its last renewal.
    pub end: Offset,
    /// Time since that renewal was sent, in ms.
    pub age_ms: u64,
}

/// `LogState` is the newest state of the log, obtained by a read or from a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
struct LogState {
    end: Offset,
    newest: Option<(Offset, Claim)>,
    /// When the log was first observed to end there, in ms; not before its newest record was sent.
    since_ms: u64,
    /// When a read last showed this end, in ms; `None` if the state comes from a heartbeat.
    read_ms: Option<u64>,
}

/// `Term` tracks this VM's own leadership.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Term {
    /// Offset of the first record of the term.
    first: Offset,
    /// Send time of the last accepted renewal, in ms.
    renewed_ms: u64,
    /// Time from which this leader may act, in ms.
    acts_from_ms: u64,
    /// End offset of the log after the last renewal.
    end: Offset,
    /// Send time of an append whose outcome is unknown, in ms.
    unresolved_append_ms: Option<u64>,
    /// Earliest send time of the next renewal, in ms.
    next_ms: u64,
}

/// `Election` tracks the log for one VM, claims the leadership when there is no leader, and renews it.
#[derive(Debug, Clone)]
pub struct Election {
    me: Candidate,
    options: Options,
    log_state: Option<LogState>,
    term: Option<Term>,
    /// When the leader last answered, in ms; `None` once it is unreachable or no longer leads.
    last_heartbeat_ms: Option<u64>,
    /// Earliest time of the next read, in ms.
    next_read_ms: u64,
    /// Whether the last read failed.
    read_failing: bool,
    /// When a read last succeeded after failed ones, in ms.
    reads_recovered_ms: u64,
    /// Send time of this leader's last action, in ms.
    last_action_ms: Option<u64>,
}

/// Maximum wait between two steps, in ms.
const WAIT_MAX_MS: u64 = 100;

/// Time after a leader's expiry within which a VM without a claim delay has claimed, in ms.
const PEER_CLAIM_MS: u64 = 300;

/// A failed renewal is retried after the renewal interval divided by this number.
const RETRY_DIVISOR: u64 = 4;

impl Election {
    /// Creates an election that has not read the log yet.
    pub fn new(me: Candidate, options: Options) -> Self {
        Self {
            me,
            options,
            log_state: None,
            term: None,
            last_heartbeat_ms: None,
            next_read_ms: 0,
            read_failing: false,
            reads_recovered_ms: 0,
            last_action_ms: None,
        }
    }

    /// Returns the next operation.
    pub fn step(&self, now_ms: u64) -> Step {
        if let Some(term) = &self.term {
            if term.unresolved_append_ms.is_some() && now_ms >= self.next_read_ms {
                return Step::Read(term.end);
            }
            if term.unresolved_append_ms.is_some() || now_ms < term.next_ms {
                return Step::Wait(WAIT_MAX_MS);
            }
            return Step::Append(self.claim(now_ms, Some(term.first)), term.end);
        }
        if let Some(end) = self.claim_offset(now_ms) {
            return Step::Append(self.claim(now_ms, None), end);
        }
        let silent_from_ms = self
            .last_heartbeat_ms
            .map(|heartbeat_ms| heartbeat_ms + self.options.silence_ms);
        let earliest_read_ms = silent_from_ms.unwrap_or_default();
        let due_ms = match self.next_expiry_ms(now_ms) {
            // The log is read once when heartbeats stop and again when the leader has expired.
            Some(next_expiry_ms) => next_expiry_ms.max(earliest_read_ms),
            None => self.next_read_ms.max(earliest_read_ms),
        };
        if now_ms < due_ms {
            return Step::Wait((due_ms - now_ms).min(WAIT_MAX_MS));
        }
        Step::Read(
            self.log_state
                .as_ref()
                .map_or(Offset(0), |log_state| log_state.end),
        )
    }

    /// Applies the result of a read sent at `sent_ms`.
    pub fn record_read(&mut self, sent_ms: u64, now_ms: u64, tail: Tail) {
        self.next_read_ms = now_ms + self.options.read_ms;
        if std::mem::take(&mut self.read_failing) {
            self.reads_recovered_ms = now_ms;
        }
        if self.resolve_append(&tail) {
            return;
        }
        let former = self.log_state.take();
        let unchanged = former.filter(|log_state| log_state.end == tail.end);
        let log_state = unchanged.unwrap_or(LogState {
            end: tail.end,
            newest: tail.newest,
            since_ms: now_ms,
            read_ms: None,
        });
        let log_state = LogState {
            read_ms: Some(now_ms),
            ..log_state
        };
        if let Some((offset, claim)) = &log_state.newest
            && claim.candidate == self.me
            && claim.resigned_after_ms.is_none()
        {
            // An earlier claim whose answer was lost took effect; no other VM has claimed up to this read.
            self.term = Some(Term {
                first: claim.term.unwrap_or(*offset),
                renewed_ms: sent_ms,
                acts_from_ms: now_ms + self.options.lease_ms + self.options.handover_ms,
                end: log_state.end,
                unresolved_append_ms: None,
                next_ms: now_ms,
            });
        }
        self.log_state = Some(log_state);
    }

    /// Resolves a renewal with an unknown outcome from a read; returns true if the own term continues.
    fn resolve_append(&mut self, tail: &Tail) -> bool {
        let Some(term) = &mut self.term else {
            return false;
        };
        let is_own = |(_, claim): &(Offset, Claim)| claim.candidate == self.me;
        let continues = match &tail.newest {
            None => tail.end == term.end,
            Some(newest) => is_own(newest),
        };
        if !continues {
            self.term = None;
            self.log_state = None;
            return false;
        }
        if tail.newest.is_some() {
            term.renewed_ms = term
                .unresolved_append_ms
                .unwrap_or(term.renewed_ms)
                .max(term.renewed_ms);
        }
        term.end = tail.end;
        term.unresolved_append_ms = None;
        true
    }

    /// Records a failed read.
    pub fn record_read_failure(&mut self, now_ms: u64) {
        self.read_failing = true;
        self.next_read_ms = now_ms + self.options.read_ms;
    }

    /// Applies the result of an append sent at `sent_ms`.
    pub fn record_append(&mut self, sent_ms: u64, now_ms: u64, result: Appended) {
        let renew_ms = self.options.renew_ms;
        let Some(term) = &mut self.term else {
            return self.record_claim_result(sent_ms, now_ms, result);
        };
        match result {
            Appended::At(offset) => {
                term.renewed_ms = sent_ms;
                term.end = Offset(offset.0 + 1);
                term.next_ms = sent_ms + renew_ms;
            }
            // Only a read shows whether this record or another one was appended.
            Appended::Conflict | Appended::Unknown => {
                term.unresolved_append_ms = Some(sent_ms);
                self.next_read_ms = now_ms;
            }
            Appended::Failed if now_ms < term.renewed_ms + self.options.expiry_ms => {
                term.next_ms = now_ms + renew_ms / RETRY_DIVISOR;
            }
            Appended::Failed => self.abandon_term(now_ms),
        }
    }

    /// Applies the result of a claim: begins a term, or reads the log again.
    fn record_claim_result(&mut self, sent_ms: u64, now_ms: u64, result: Appended) {
        let Appended::At(offset) = result else {
            return self.abandon_term(now_ms);
        };
        self.term = Some(Term {
            first: offset,
            renewed_ms: sent_ms,
            acts_from_ms: now_ms + self.activation_delay_ms(now_ms),
            end: Offset(offset.0 + 1),
            unresolved_append_ms: None,
            next_ms: sent_ms + self.options.renew_ms,
        });
    }

    /// Records an answer of the leader, with its heartbeat if it sent one.
    pub fn record_heartbeat(&mut self, now_ms: u64, heartbeat: Option<Heartbeat>) {
        self.last_heartbeat_ms = Some(now_ms);
        let known_end = self.log_state.as_ref().map(|log_state| log_state.end);
        let Some(heartbeat) =
            heartbeat.filter(|heartbeat| self.term.is_none() && Some(heartbeat.end) > known_end)
        else {
            return;
        };
        let claim = Claim {
            candidate: heartbeat.leader,
            term: None,
            acts_in_ms: 0,
            resigned_after_ms: None,
        };
        self.log_state = Some(LogState {
            end: heartbeat.end,
            newest: Some((Offset(heartbeat.end.0.saturating_sub(1)), claim)),
            since_ms: now_ms.saturating_sub(heartbeat.age_ms),
            read_ms: None,
        });
    }

    /// Returns the heartbeat of this VM's own term; `None` if it does not lead.
    pub fn heartbeat(&self, now_ms: u64) -> Option<Heartbeat> {
        let term = self.term.as_ref()?;
        Some(Heartbeat {
            leader: self.me.clone(),
            end: term.end,
            age_ms: now_ms.saturating_sub(term.renewed_ms),
        })
    }

    /// Records that the assumed leader is unreachable or reports that it does not lead.
    pub fn record_no_answer(&mut self) {
        self.last_heartbeat_ms = None;
    }

    /// Records an action of this leader, such as an order, at its send time.
    pub fn record_action(&mut self, now_ms: u64) {
        self.last_action_ms = self.last_action_ms.max(Some(now_ms));
    }

    /// Abandons the own leadership, for instance when an endpoint reports a newer leader.
    pub fn resign(&mut self, now_ms: u64) {
        self.abandon_term(now_ms);
    }

    /// Returns the record that announces a planned resignation and the end of the log; `None` without a term.
    pub fn resignation(&self, now_ms: u64) -> Option<(Claim, Offset)> {
        let term = self.term.as_ref()?;
        let last_action_ms = self.last_action_ms.unwrap_or_default();
        let since_ms = now_ms.saturating_sub(last_action_ms);
        let claim = Claim {
            resigned_after_ms: Some(since_ms),
            ..self.claim(now_ms, Some(term.first))
        };
        Some((claim, term.end))
    }

    /// Returns the fencing number for this VM's actions; `None` if it may not act now.
    pub fn fence(&self, now_ms: u64) -> Option<u64> {
        let acts = self.term.as_ref()?.acts_from_ms <= now_ms;
        self.leads(now_ms).filter(|_| acts)
    }

    /// Returns the fencing number of the own term while no other VM can lead; this VM may still have to wait before it acts.
    pub fn leads(&self, now_ms: u64) -> Option<u64> {
        let term = self.term.as_ref()?;
        let is_valid = now_ms < term.renewed_ms + self.options.lease_ms;
        is_valid.then_some(term.first.0 + 1)
    }

    /// Returns the VM that is assumed to lead, which may be this one.
    pub fn leader(&self) -> Option<&Candidate> {
        if self.term.is_some() {
            return Some(&self.me);
        }
        let (_, claim) = self.log_state.as_ref()?.newest.as_ref()?;
        (claim.resigned_after_ms.is_none()).then_some(&claim.candidate)
    }

    fn claim(&self, now_ms: u64, term: Option<Offset>) -> Claim {
        let acts_in_ms = match &self.term {
            Some(term) => term.acts_from_ms.saturating_sub(now_ms),
            None => self.activation_delay_ms(now_ms),
        };
        Claim {
            candidate: self.me.clone(),
            term,
            acts_in_ms,
            resigned_after_ms: None,
        }
    }

    /// Abandons the own term and schedules an immediate read of the log.
    fn abandon_term(&mut self, now_ms: u64) {
        self.term = None;
        self.last_heartbeat_ms = None;
        self.log_state = None;
        self.next_read_ms = now_ms;
    }

    /// Returns the offset at which to append a claim; `None` while there may be a leader or this VM has to wait.
    fn claim_offset(&self, now_ms: u64) -> Option<Offset> {
        let log_state = self.log_state.as_ref()?;
        let read_ms = log_state.read_ms?;
        let own_expiry_ms = self.own_expiry_ms(log_state);
        // Only a read after the expiry shows whether another VM has claimed.
        let read_after_expiry = read_ms >= own_expiry_ms;
        let has_expired =
            now_ms >= own_expiry_ms && read_after_expiry && !self.has_recent_heartbeat(now_ms);
        let may_claim = match &log_state.newest {
            None if log_state.end == Offset(0) => {
                now_ms >= log_state.since_ms + self.options.first_claim_delay_ms
            }
            None => has_expired,
            Some((_, claim)) if claim.resigned_after_ms.is_some() => {
                now_ms >= log_state.since_ms + self.options.claim_delay_ms
            }
            Some((_, claim)) => self.is_own_former_incarnation(claim) || has_expired,
        };
        may_claim.then_some(log_state.end)
    }

    /// Returns true if a claim was written by a former incarnation of this VM, which has ended.
    fn is_own_former_incarnation(&self, claim: &Claim) -> bool {
        let candidate = &claim.candidate;
        candidate.vm == self.me.vm && candidate.incarnation != self.me.incarnation
    }

    /// Returns when this VM considers the observed leader expired, in ms.
    ///
    /// After an outage of the log every leader has expired. Expiry then counts from the first successful read, so that VMs still
    /// claim in the order of their delays.
    fn own_expiry_ms(&self, log_state: &LogState) -> u64 {
        let expiry_ms = log_state.since_ms + self.options.expiry_ms;
        expiry_ms.max(self.reads_recovered_ms) + self.delay_ms()
    }

    /// Returns how long this VM waits after a leader's expiry before it claims, in ms.
    fn delay_ms(&self) -> u64 {
        let spread_ms = self.me.incarnation.0 % self.options.stagger_ms.max(1);
        spread_ms + self.options.claim_delay_ms
    }

    /// Returns the next time at which the leader shown by a read expires, first for VMs without a claim delay and then for this VM,
    /// in ms; `None` if that time has passed or a read after it has been made.
    fn next_expiry_ms(&self, now_ms: u64) -> Option<u64> {
        let log_state = self.log_state.as_ref()?;
        let read_ms = log_state.read_ms?;
        let own_ms = self.own_expiry_ms(log_state);
        // A VM with a claim delay first reads whether another VM has claimed before its own claim is due.
        let others_ms = own_ms - self.options.claim_delay_ms.saturating_sub(PEER_CLAIM_MS);
        let next_expiry_ms = if read_ms < others_ms {
            others_ms
        } else {
            own_ms
        };
        (now_ms < next_expiry_ms && next_expiry_ms > self.next_read_ms).then_some(next_expiry_ms)
    }

    fn has_recent_heartbeat(&self, now_ms: u64) -> bool {
        let silent_from_ms = self
            .last_heartbeat_ms
            .map(|heartbeat_ms| heartbeat_ms + self.options.silence_ms);
        silent_from_ms.is_some_and(|until_ms| now_ms < until_ms)
    }

    /// Returns how long a new leader waits until `handover_ms` have passed since the former leader's last possible action, in ms.
    fn activation_delay_ms(&self, now_ms: u64) -> u64 {
        let Some(log_state) = &self.log_state else {
            return self.options.lease_ms + self.options.handover_ms;
        };
        let Some((_, claim)) = &log_state.newest else {
            return 0;
        };
        if self.is_own_former_incarnation(claim) {
            return claim.acts_in_ms;
        }
        let last_action_ms = match claim.resigned_after_ms {
            Some(after_ms) => log_state.since_ms.saturating_sub(after_ms),
            None => log_state.since_ms + self.options.lease_ms,
        };
        let wait_ms = (last_action_ms + self.options.handover_ms).saturating_sub(now_ms);
        // The former leader may itself still be waiting for its predecessor.
        wait_ms.max(claim.acts_in_ms)
    }
}
