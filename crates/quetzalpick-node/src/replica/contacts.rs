//! What is known of other processes by direct contact.

use quetzalpick_core::id::{Domain, Member, Offset};
use quetzalpick_core::record::Role;
use quetzalpick_core::state::Roster;
use quetzalpick_core::table::Table;

use crate::peer::{Blob, Exchange};
use crate::replica::Peer;

/// `Contact` is what a process last told of itself.
#[derive(Debug, Clone)]
pub(crate) struct Contact {
    role: Role,
    domain: Domain,
    pub(crate) address: String,
    pub(crate) applied: Offset,
    heard_at: u64,
    payload: Blob,
}

/// `Contacts` collects what other processes told.
#[derive(Debug, Default)]
pub(crate) struct Contacts {
    known: Table<Member, Contact>,
    /// When each active member was first seen to be one, in ms.
    active_since: Table<Member, u64>,
    /// When this process last began to listen, in ms.
    awake_since: u64,
    /// VMs on the platform's list, sorted; empty while it is not known.
    listed: Vec<String>,
}

impl Contacts {
    /// Notes what a process told of itself at `now`.
    pub(crate) fn hear(&mut self, now: u64, exchange: Exchange) {
        let before = self.known.get(&exchange.statement.member);
        // Messages may arrive in another order than they were sent.
        let applied = before.map_or(Offset(0), |contact| contact.applied);
        let contact = Contact {
            role: exchange.role,
            domain: exchange.domain,
            address: exchange.address,
            applied: applied.max(exchange.statement.applied),
            heard_at: now,
            payload: exchange.payload,
        };
        self.known.insert(exchange.statement.member, contact);
    }

    /// Starts all silences anew, as after a pause of this process.
    pub(crate) fn wake(&mut self, now: u64) {
        self.awake_since = now;
    }

    /// Takes the platform's list of VMs, which lags and is a hint only.
    pub(crate) fn list(&mut self, vms: impl Iterator<Item = String>) {
        self.listed = vms.collect();
        self.listed.sort_unstable();
    }

    /// Tells whether the platform's list is known and lacks a member's VM.
    pub(crate) fn is_unlisted(&self, member: &Member) -> bool {
        // A process is named after its VM and its role.
        let name = member.vm.as_str();
        let vm = name.rsplit_once('/').map_or(name, |(vm, _)| vm);
        let found = self
            .listed
            .binary_search_by(|listed| listed.as_str().cmp(vm));
        !self.listed.is_empty() && found.is_err()
    }

    /// Returns for how long an active member has been silent, in ms.
    pub(crate) fn silence(&self, now: u64, member: &Member) -> u64 {
        let heard = self.known.get(member).map_or(0, |contact| contact.heard_at);
        // A member that has only just joined had no time to be heard.
        let active = self.active_since.get(member).copied().unwrap_or(now);
        now.saturating_sub(heard.max(active).max(self.awake_since))
    }

    /// Tells whether a member was heard within a time, in ms.
    pub(crate) fn is_heard(&self, now: u64, member: &Member, limit: u64) -> bool {
        let contact = self.known.get(member);
        contact.is_some_and(|contact| now.saturating_sub(contact.heard_at) < limit)
    }

    /// Returns the last known address of a member.
    pub(crate) fn address(&self, member: &Member) -> Option<&str> {
        self.known.get(member).map(|c| c.address.as_str())
    }

    /// Returns the address of the process with the newest state, if it is ahead of `next`.
    pub(crate) fn ahead(&self, next: Offset) -> Option<String> {
        let newest = self
            .known
            .values()
            .max_by_key(|c| (c.applied, c.heard_at))?;
        (newest.applied > next).then(|| newest.address.clone())
    }

    /// Returns the known addresses.
    pub(crate) fn addresses(&self) -> Vec<String> {
        self.known.values().map(|c| c.address.clone()).collect()
    }

    /// Notes which members are active, and forgets other processes that have been silent for a time, in ms.
    pub(crate) fn note_active(&mut self, now: u64, roster: &Roster, silence: u64) {
        self.active_since
            .retain(|member, _| roster.is_active(member));
        for member in roster.members().keys() {
            if !self.active_since.contains(member) {
                self.active_since.insert(member.clone(), now);
            }
        }
        let keep = |member: &Member, contact: &Contact| {
            roster.is_active(member) || now.saturating_sub(contact.heard_at) < silence
        };
        self.known.retain(keep);
    }

    /// Returns the active members that were heard.
    pub(crate) fn peers(&self, now: u64, roster: &Roster, me: &Member) -> Vec<Peer> {
        let active = |row: &(&Member, &Contact)| roster.is_active(row.0) && row.0 != me;
        let peer = |(member, contact): (&Member, &Contact)| Peer {
            member: member.clone(),
            role: contact.role,
            domain: contact.domain.clone(),
            address: contact.address.clone(),
            applied: contact.applied,
            heard_ms_ago: now.saturating_sub(contact.heard_at),
            payload: contact.payload.0.clone(),
        };
        self.known.iter().filter(active).map(peer).collect()
    }
}
