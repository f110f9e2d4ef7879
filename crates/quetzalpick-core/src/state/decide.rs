//! Validates each record and applies the accepted ones.

use crate::id::{Member, Offset};
use crate::record::{Author, Change, Claim, Entry, Intent, Join, Record, Role};
use crate::state::outcome::{conflict, invalid, unknown};
use crate::state::{Leadership, Reason, State};

/// Longest name of an operator, in bytes.
const OPERATOR_MAX_BYTES: usize = 128;

impl State {
    /// Validates an entry and applies it, or returns the reason and changes nothing.
    pub(super) fn decide(&mut self, offset: Offset, entry: &Entry) -> Result<(), Reason> {
        self.check_author(entry)?;
        if let Some(expected) = entry.expect.filter(|expected| *expected != self.revision) {
            let found = self.revision;
            return Err(Reason::Revision { expected, found });
        }
        match (&entry.record, &entry.author) {
            (Record::Change(change), _) => self.apply_change(offset, change),
            (record, Author::Member(author)) => self.apply_record(offset, record, author),
            (_, Author::Operator(_)) => Err(invalid("operators only change the configuration")),
        }
    }

    /// Checks that the author may write this kind of record.
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
        // A member writes such records only on its own behalf.
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

    /// Applies a record written by a member.
    fn apply_record(
        &mut self,
        offset: Offset,
        record: &Record,
        author: &Member,
    ) -> Result<(), Reason> {
        match record {
            Record::Change(change) => self.apply_change(offset, change),
            Record::Join(join) => self.join(offset, join),
            Record::ChangeVoters(change) => self.roster.change_voters(offset, change),
            Record::Suspect(member) => self.roster.suspect(offset, author, member),
            Record::Refute(member) => self.roster.refute(member),
            Record::Retire(retire) => {
                self.roster.check_retire(retire)?;
                self.revoke_rights(offset, std::slice::from_ref(&retire.member));
                Ok(())
            }
            Record::Leave(member) => {
                self.remove_members(offset, std::slice::from_ref(member));
                Ok(())
            }
            Record::Lead(member) => self.lead(offset, member),
            Record::Resign(member) => self.resign(member),
            Record::Intent(intent) => self.record_intent(offset, intent),
            Record::Settled(settled) => {
                self.check_leader(author, None)?;
                self.ledger.settle(offset, settled)
            }
            Record::Report(report) => {
                self.check_leader(author, None)?;
                self.ledger.report(offset, report, &self.catalog)
            }
            Record::Declare(declaration) => {
                self.shares.declare(declaration, self.catalog.workspaces())
            }
            Record::Claim(claim) => self.claim(offset, claim),
            Record::Finish(finish) => self.claims.finish(author, finish),
            Record::Expire(before) => self.expire(offset, *before),
        }
    }

    /// Applies a change of configuration, and increments the revision if it is accepted.
    fn apply_change(&mut self, offset: Offset, change: &Change) -> Result<(), Reason> {
        let created = match change {
            Change::SetWorkspace(name, _) => !self.catalog.workspaces.contains(name),
            _ => false,
        };
        let moved = match change {
            Change::SetEndpoint(name, spec) => self.catalog.changes_address(name, spec),
            _ => false,
        };
        self.catalog.apply_change(offset, change, &self.ledger)?;
        match change {
            Change::SetWorkspace(name, _) if created => {
                let gates: Vec<Member> = self.roster.gates().cloned().collect();
                self.shares.add_workspace(name, offset, &gates);
            }
            Change::RemoveWorkspace(name) => self.shares.remove_workspace(name),
            Change::RemoveEndpoint(name) => self.ledger.close_account(offset, name),
            Change::SetEndpoint(name, _) if moved => self.ledger.close_account(offset, name),
            Change::RetireVm(vm) => {
                let members = self.roster.dead_members(vm)?;
                self.remove_members(offset, &members);
            }
            _ => {}
        }
        self.revision.0 += 1;
        Ok(())
    }

    /// Adds a member; a gate gets the parts that no gate holds.
    fn join(&mut self, offset: Offset, join: &Join) -> Result<(), Reason> {
        self.roster.join(offset, join)?;
        if join.role == Role::Gate {
            self.shares.add_gate(&join.member);
        }
        Ok(())
    }

    /// Revokes all rights of members that no longer send statements. They are removed from the voters at once, so that
    /// no majority needs their votes in the meantime.
    fn remove_members(&mut self, offset: Offset, members: &[Member]) {
        self.revoke_rights(offset, members);
        self.roster.remove_voters(offset, members);
    }

    /// Revokes all rights of members; voters among them still count towards majorities.
    fn revoke_rights(&mut self, offset: Offset, members: &[Member]) {
        let is_gate = |member: &Member| self.roster.gates().any(|gate| gate == member);
        let any_gate = members.iter().any(is_gate);
        for member in members {
            self.roster.remove(member);
            self.claims.close_claims_of(member);
            if self.is_leader(member) {
                self.leadership = None;
            }
        }
        if any_gate {
            let gates = self.roster.gates().cloned().collect();
            let workspaces = self.catalog.workspaces();
            self.shares.start_epoch(offset, members, gates, workspaces);
        }
    }

    /// Returns whether a member is the placement leader.
    fn is_leader(&self, member: &Member) -> bool {
        let leadership = self.leadership.as_ref();
        leadership.is_some_and(|leadership| leadership.member == *member)
    }

    /// Checks that a member is the placement leader, in the given term if there is one.
    fn check_leader(&self, member: &Member, term: Option<Offset>) -> Result<(), Reason> {
        let leadership = self.leadership.as_ref();
        let leadership = leadership.filter(|leadership| leadership.member == *member);
        let leadership = leadership.ok_or(Reason::NotLeader)?;
        if term.is_some_and(|term| term != leadership.term) {
            return Err(Reason::NotLeader);
        }
        Ok(())
    }

    /// Makes a keeper the placement leader if there is none.
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

    /// Records an intent of the placement leader.
    fn record_intent(&mut self, offset: Offset, intent: &Intent) -> Result<(), Reason> {
        self.check_leader(&intent.leader, Some(intent.term))?;
        self.ledger.record_intent(offset, intent, &self.catalog)
    }

    /// Records a claim of a call if its service and workspace exist.
    fn claim(&mut self, offset: Offset, claim: &Claim) -> Result<(), Reason> {
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

    /// Drops closed claims and remembered commands older than an offset.
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
}
