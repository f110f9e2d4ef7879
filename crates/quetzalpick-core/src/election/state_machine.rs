//! The state machine of an election on one VM: its input is what the VM observes, its output the next operation.

mod expiry;
mod leadership;
mod restore;
mod results;

use crate::election::log_state::LogState;
use crate::election::term::{LostTerm, Term};
use crate::election::{Candidate, Claim, Heartbeat, Numbering, Options, Step};
use crate::id::{Era, Offset, Position};

/// Maximum wait between two steps, in ms.
const WAIT_MAX_MS: u64 = 100;

/// `Election` tracks the log for one VM, claims the leadership when there is no leader, and renews it.
#[derive(Debug, Clone)]
pub struct Election {
    me: Candidate,
    options: Options,
    /// Newest observed state of the log; `None` while it is unknown.
    log_state: Option<LogState>,
    /// This VM's own term; `None` if it has none.
    term: Option<Term>,
    /// When the leader last answered, in ms; `None` once it is unreachable or no longer leads.
    last_heartbeat_ms: Option<u64>,
    /// Time after that in which it is asked again, in ms.
    heartbeat_interval_ms: u64,
    /// Earliest time of the next read, in ms.
    next_read_ms: u64,
    /// Whether the last read failed.
    read_failing: bool,
    /// When a read last succeeded after failed ones, in ms.
    reads_recovered_ms: u64,
    /// Send time of this leader's last action, in ms.
    last_action_ms: Option<u64>,
    /// Whether this VM would lead as well as any other one.
    is_suited: bool,
    /// Newest era in which the log was read.
    era: Era,
    /// Newest numbering that this VM knows, which claims lost since may have had; `None` before the first read.
    numbering: Option<Numbering>,
    /// Whether the log was restored while this VM followed it, so that claims may have been lost before the first one of the era.
    saw_restore: bool,
    /// This VM's term at the time of the last restore.
    lost_term: Option<LostTerm>,
    /// Highest fencing number of this VM that was refused.
    refused: Option<u64>,
}

impl Election {
    /// Creates an election that has not read the log yet.
    pub fn new(me: Candidate, options: Options) -> Self {
        Self {
            me,
            options,
            log_state: None,
            term: None,
            last_heartbeat_ms: None,
            heartbeat_interval_ms: 0,
            next_read_ms: 0,
            read_failing: false,
            reads_recovered_ms: 0,
            last_action_ms: None,
            is_suited: true,
            era: Era::default(),
            numbering: None,
            saw_restore: false,
            lost_term: None,
            refused: None,
        }
    }

    /// Sets whether this VM would lead as well as any other one; otherwise it claims later than these.
    pub fn set_suited(&mut self, is_suited: bool) {
        self.is_suited = is_suited;
    }

    /// Returns the next operation.
    pub fn step(&self, now_ms: u64) -> Step {
        if let Some(term) = &self.term {
            if term.unresolved_append_ms.is_some() && now_ms >= self.next_read_ms {
                return Step::Read(Some(term.end));
            }
            if term.unresolved_append_ms.is_some() || now_ms < term.next_renewal_ms {
                return Step::Wait(WAIT_MAX_MS);
            }
            return Step::Append(self.renewal(now_ms, term), term.end);
        }
        if let Some(end) = self.claim_position(now_ms) {
            return Step::Append(self.claim(now_ms, end), end);
        }
        let earliest_read_ms = self.silent_from_ms().unwrap_or_default();
        let due_ms = match self.next_expiry_ms(now_ms) {
            // The log is read once when heartbeats stop and again when the leader has expired.
            Some(next_expiry_ms) => next_expiry_ms.max(earliest_read_ms),
            None => self.next_read_ms.max(earliest_read_ms),
        };
        if now_ms < due_ms {
            return Step::Wait((due_ms - now_ms).min(WAIT_MAX_MS));
        }
        Step::Read(self.log_state.as_ref().map(|log_state| log_state.end))
    }

    /// Returns a claim of this VM at the end of the log.
    fn claim(&self, now_ms: u64, end: Position) -> Claim {
        Claim {
            candidate: self.me.clone(),
            term: None,
            acts_in_ms: self.activation_delay_ms(now_ms),
            resigned_after_ms: None,
            numbering: Some(self.next_numbering(end.era)),
        }
    }

    /// Returns a renewal of this VM's term.
    fn renewal(&self, now_ms: u64, term: &Term) -> Claim {
        Claim {
            candidate: self.me.clone(),
            term: Some(term.first),
            acts_in_ms: term.acts_from_ms.saturating_sub(now_ms),
            resigned_after_ms: None,
            numbering: Some(term.numbering),
        }
    }

    /// Records an answer of the leader, with its heartbeat if it sent one; it is asked again after `interval_ms`.
    pub fn record_heartbeat(
        &mut self,
        now_ms: u64,
        heartbeat: Option<Heartbeat>,
        interval_ms: u64,
    ) {
        self.last_heartbeat_ms = Some(now_ms);
        self.heartbeat_interval_ms = interval_ms;
        let Some(heartbeat) = heartbeat.filter(|_| self.term.is_none()) else {
            return;
        };
        let numbering = heartbeat.numbering;
        let end = Position {
            // A leader that runs a former version of the program does not name the era.
            era: numbering.map_or(self.era, |numbering| numbering.era),
            offset: heartbeat.end,
        };
        let known_end = self.log_state.as_ref().map(|log_state| log_state.end);
        if Some(end) <= known_end || end.era < self.era {
            return;
        }
        self.observe_era(end.era);
        if let Some(numbering) = numbering {
            self.observe_numbering(numbering);
        }
        let claim = Claim {
            candidate: heartbeat.leader,
            term: None,
            acts_in_ms: 0,
            resigned_after_ms: None,
            numbering,
        };
        self.log_state = Some(LogState {
            end,
            newest: Some((Offset(heartbeat.end.0.saturating_sub(1)), claim)),
            since_ms: now_ms.saturating_sub(heartbeat.age_ms),
            read_ms: None,
        });
    }

    /// Records that the assumed leader is unreachable or reports that it does not lead.
    pub fn record_no_answer(&mut self) {
        self.last_heartbeat_ms = None;
    }

    /// Returns the VM that is assumed to lead, which may be this one.
    pub fn leader(&self) -> Option<&Candidate> {
        if self.term.is_some() {
            return Some(&self.me);
        }
        let (_, claim) = self.log_state.as_ref()?.newest.as_ref()?;
        (claim.resigned_after_ms.is_none()).then_some(&claim.candidate)
    }
}
