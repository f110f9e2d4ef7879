//! The state and how entries are applied to it.

use serde::{Deserialize, Serialize};

use crate::errors::{Result, decode_error, encode_error};
use crate::id::{Command, Member, Offset, Revision};
use crate::record::{Author, Change, Entry, Intent, Join, Record, Role};
use crate::state::outcome::{conflict, invalid, unknown};
use crate::state::recent::{Applied, Recent};
use crate::state::snapshot::digest;
use crate::state::{Catalog, Claims, Ledger, Outcome, Reason, Roster, Shares};

/// Longest name of an operator, in bytes.
const OPERATOR_MAX_BYTES: usize = 128;

/// `Leadership` is the placement leader in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leadership {
    /// The leader.
    pub member: Member,
    /// Offset at which it became leader.
    pub term: Offset,
}

/// `State` is everything that the VMs agree on, as of one offset.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    next: Offset,
    digest: u64,
    revision: Revision,
    catalog: Catalog,
    roster: Roster,
    leadership: Option<Leadership>,
    ledger: Ledger,
    shares: Shares,
    claims: Claims,
    recent: Recent,
}

impl State {
    /// Applies the entry at `offset`, which must be `self.next()`, and tells what became of it.
    ///
    /// An entry that this program cannot decode is passed over with `skip`, identically everywhere.
    ///
    /// # Panics
    ///
    /// If `offset` is not `self.next()`: entries left out would let replicas disagree.
    pub fn apply(&mut self, offset: Offset, entry: &Entry) -> Outcome {
        assert_eq!(offset, self.next, "entries are applied in order");
        self.next = Offset(offset.0 + 1);
        let outcome = match self.recent.get(entry.command) {
            Some(former) => Outcome::Repeated(former.offset, Box::new(former.outcome.clone())),
            None => self.apply_first(offset, entry),
        };
        self.extend_digest(offset, Some((entry.command, &outcome)));
        outcome
    }

    /// Passes over the bytes at `offset`, which must be `self.next()`, because they do not decode as an entry.
    ///
    /// # Panics
    ///
    /// If `offset` is not `self.next()`.
    pub fn skip(&mut self, offset: Offset) {
        assert_eq!(offset, self.next, "entries are applied in order");
        self.next = Offset(offset.0 + 1);
        self.extend_digest(offset, None);
    }

    /// Applies a command that was not applied before, and remembers it.
    fn apply_first(&mut self, offset: Offset, entry: &Entry) -> Outcome {
        let outcome = match self.decide(offset, entry) {
            Ok(()) => Outcome::Accepted(self.revision),
            Err(reason) => Outcome::Rejected(reason),
        };
        let applied = Applied {
            offset,
            outcome: outcome.clone(),
        };
        self.recent.insert(entry.command, applied);
        outcome
    }

    /// Adds an entry and its outcome to the digest.
    fn extend_digest(&mut self, offset: Offset, decided: Option<(Command, &Outcome)>) {
        let decided = decided.map(|(command, outcome)| format!("{command} {outcome}"));
        let decided = decided.unwrap_or_default();
        let link = format!("{:x} {offset} {decided}", self.digest);
        self.digest = digest(link.as_bytes());
    }

    /// Checks an entry and lets it take effect, or changes nothing and says why.
    fn decide(&mut self, offset: Offset, entry: &Entry) -> Result<(), Reason> {
        self.check_author(entry)?;
        if let Some(expected) = entry.expect.filter(|expected| *expected != self.revision) {
            let found = self.revision;
            return Err(Reason::Revision { expected, found });
        }
        match (&entry.record, &entry.author) {
            (Record::Change(change), _) => self.change(offset, change),
            (record, Author::Member(author)) => self.record(offset, record, author),
            (_, Author::Operator(_)) => Err(invalid("operators only change the configuration")),
        }
    }

    /// Checks that the author may write this record at all.
    fn check_author(&self, entry: &Entry) -> Result<(), Reason> {
        let author = match &entry.author {
            Author::Member(member) => member,
            Author::Operator(name) if name.len() <= OPERATOR_MAX_BYTES => return Ok(()),
            Author::Operator(_) => {
                let most = OPERATOR_MAX_BYTES;
                return Err(invalid(format!(
                    "an operator's name has {most} bytes at most"
                )));
            }
        };
        // A member speaks only for itself.
        let subject = entry.record.subject();
        if let Some(subject) = subject.filter(|subject| *subject != author) {
            return Err(conflict(format!(
                "{author} cannot write this for {subject}"
            )));
        }
        let joins = matches!(entry.record, Record::Join(_));
        if !joins {
            self.roster.check_active(author)?;
        }
        Ok(())
    }

    /// Applies a record of a member.
    fn record(&mut self, offset: Offset, record: &Record, author: &Member) -> Result<(), Reason> {
        match record {
            Record::Change(change) => self.change(offset, change),
            Record::Join(join) => self.join(offset, join),
            Record::Seat(seat) => self.roster.seat(offset, seat),
            Record::Suspect(member) => self.roster.suspect(offset, author, member),
            Record::Refute(member) => self.roster.refute(member),
            Record::Retire(retire) => {
                self.roster.check_retire(retire)?;
                self.depart(offset, std::slice::from_ref(&retire.member));
                Ok(())
            }
            Record::Leave(member) => {
                self.leave(offset, std::slice::from_ref(member));
                Ok(())
            }
            Record::Lead(member) => self.lead(offset, member),
            Record::Resign(member) => self.resign(member),
            Record::Intent(intent) => self.intend(offset, intent),
            Record::Settled(settled) => {
                self.check_leader(author, None)?;
                self.ledger.settle(offset, settled)
            }
            Record::Report(report) => {
                self.check_leader(author, None)?;
                self.ledger.report(offset, report, &self.catalog)
            }
            Record::Declare(declare) => self.shares.declare(declare, self.catalog.workspaces()),
            Record::Claim(claim) => self.claim(offset, claim),
            Record::Finish(finish) => self.claims.finish(author, finish),
            Record::Expire(before) => self.expire(offset, *before),
        }
    }

    /// Applies a change of configuration, and raises the revision if it is accepted.
    fn change(&mut self, offset: Offset, change: &Change) -> Result<(), Reason> {
        let creates = match change {
            Change::SetWorkspace(name, _) => !self.catalog.workspaces.contains(name),
            _ => false,
        };
        self.catalog.change(offset, change, &self.ledger)?;
        match change {
            Change::SetWorkspace(name, _) if creates => {
                let gates: Vec<Member> = self.roster.gates().cloned().collect();
                self.shares.create(name, offset, &gates);
            }
            Change::RemoveWorkspace(name) => self.shares.remove(name),
            Change::RemoveEndpoint(name) => self.ledger.close(offset, name),
            Change::RetireVm(vm) => {
                let members = self.roster.check_dead(vm)?;
                self.leave(offset, &members);
            }
            _ => {}
        }
        self.revision.0 += 1;
        Ok(())
    }

    /// Adds a member.
    fn join(&mut self, offset: Offset, join: &Join) -> Result<(), Reason> {
        self.roster.join(offset, join)?;
        if join.role == Role::Gate {
            self.shares.join(&join.member);
        }
        Ok(())
    }

    /// Lets members depart that state nothing any more, so that they need not vote until they are unseated.
    fn leave(&mut self, offset: Offset, members: &[Member]) {
        self.depart(offset, members);
        self.roster.unseat(offset, members);
    }

    /// Takes all rights of members.
    fn depart(&mut self, offset: Offset, members: &[Member]) {
        let is_gate = |member: &Member| self.roster.gates().any(|gate| gate == member);
        let gates_depart = members.iter().any(is_gate);
        for member in members {
            self.roster.depart(member);
            self.claims.depart(member);
            if self.leads(member) {
                self.leadership = None;
            }
        }
        if gates_depart {
            let gates = self.roster.gates().cloned().collect();
            let workspaces = self.catalog.workspaces();
            self.shares.depart(offset, members, gates, workspaces);
        }
    }

    /// Tells whether a member is the placement leader.
    fn leads(&self, member: &Member) -> bool {
        let leadership = self.leadership.as_ref();
        leadership.is_some_and(|leadership| leadership.member == *member)
    }

    /// Checks that a member is the placement leader, and of this term where one is given.
    fn check_leader(&self, member: &Member, term: Option<Offset>) -> Result<(), Reason> {
        let leadership = self.leadership.as_ref();
        let leadership = leadership.filter(|leadership| leadership.member == *member);
        let leadership = leadership.ok_or(Reason::NotLeader)?;
        if term.is_some_and(|term| term != leadership.term) {
            return Err(Reason::NotLeader);
        }
        Ok(())
    }

    /// Makes a keeper the placement leader if nobody is.
    fn lead(&mut self, offset: Offset, member: &Member) -> Result<(), Reason> {
        if let Some(leadership) = &self.leadership {
            return Err(conflict(format!("{} leads", leadership.member)));
        }
        if self.roster.check_active(member)?.role != Role::Keeper {
            return Err(invalid("only a keeper leads placement"));
        }
        self.leadership = Some(Leadership {
            member: member.clone(),
            term: offset,
        });
        Ok(())
    }

    /// Ends the leadership of a member.
    fn resign(&mut self, member: &Member) -> Result<(), Reason> {
        self.check_leader(member, None)?;
        self.leadership = None;
        Ok(())
    }

    /// Announces an order of the leader.
    fn intend(&mut self, offset: Offset, intent: &Intent) -> Result<(), Reason> {
        self.check_leader(&intent.leader, Some(intent.term))?;
        self.ledger.intend(offset, intent, &self.catalog)
    }

    /// Takes a claim of a call to a service that exists, for a workspace that exists.
    fn claim(&mut self, offset: Offset, claim: &crate::record::Claim) -> Result<(), Reason> {
        let service = &claim.key.service;
        if !self.catalog.services().contains(service) {
            return Err(unknown("service", service));
        }
        if let Some(workspace) = &claim.key.workspace {
            let exists = self.catalog.workspaces().contains(workspace);
            exists
                .then_some(())
                .ok_or_else(|| unknown("workspace", workspace))?;
        }
        self.claims.claim(offset, claim)
    }

    /// Drops claims and remembered commands of before an offset.
    fn expire(&mut self, offset: Offset, before: Offset) -> Result<(), Reason> {
        if before > offset {
            return Err(invalid(format!("{before} is not before {offset}")));
        }
        self.claims.expire(before);
        self.recent.expire(before);
        Ok(())
    }

    /// Returns a digest of all entries and outcomes so far, equal on replicas that agree at the same offset.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the offset of the first entry not applied.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Returns the revision of the configuration in force.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns where a command was first applied and what became of it, while that is remembered.
    pub fn ask(&self, command: Command) -> Option<(Offset, &Outcome)> {
        let applied = self.recent.get(command)?;
        Some((applied.offset, &applied.outcome))
    }

    /// Returns the configuration.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Returns the membership.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Returns the placement leader.
    pub fn leadership(&self) -> Option<&Leadership> {
        self.leadership.as_ref()
    }

    /// Returns what engines hold and were promised.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the shares given out.
    pub fn shares(&self) -> &Shares {
        &self.shares
    }

    /// Returns the claims.
    pub fn claims(&self) -> &Claims {
        &self.claims
    }

    /// Returns the number of commands remembered.
    pub fn commands(&self) -> usize {
        self.recent.len()
    }

    /// Encodes the state for a snapshot.
    ///
    /// # Errors
    ///
    /// `Error::Encode` if the codec refuses.
    pub fn to_bytes(&self) -> Result<Vec<u8>> {
        rmp_serde::to_vec_named(self).map_err(|e| encode_error("state", e))
    }

    /// Decodes a state from a snapshot.
    ///
    /// # Errors
    ///
    /// `Error::Decode` if the bytes are not a state that this program knows.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self> {
        rmp_serde::from_slice(bytes).map_err(|e| decode_error("state", e))
    }
}
