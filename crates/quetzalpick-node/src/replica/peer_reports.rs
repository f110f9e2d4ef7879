//! Last messages received from other processes.

use quetzalpick_core::id::{Domain, Member, Offset};
use quetzalpick_core::record::Role;
use quetzalpick_core::state::Roster;
use quetzalpick_core::table::Table;

use crate::peer::{Blob, Exchange};
use crate::replica::Peer;

/// `PeerReport` stores the last message of a process and when it arrived.
#[derive(Debug, Clone)]
pub(crate) struct PeerReport {
    role: Role,
    domain: Domain,
    pub(crate) address: String,
    pub(crate) applied: Offset,
    /// When it was received, in ms.
    received_at: u64,
    payload: Blob,
}

/// `PeerReports` stores the last message of each other process and tracks how long each has been silent.
#[derive(Debug, Default)]
pub(crate) struct PeerReports {
    reports: Table<Member, PeerReport>,
    /// When this process first saw each member as active, in ms.
    active_since: Table<Member, u64>,
    /// When all silence times were last restarted, in ms.
    silence_restarted_at: u64,
    /// VM names on the platform's list, sorted; empty until a list was received.
    vms: Vec<String>,
}

impl PeerReports {
    /// Records a message that was received at `now`.
    pub(crate) fn record(&mut self, now: u64, exchange: Exchange) {
        let previous = self.reports.get(&exchange.statement.member);
        // Messages may arrive out of order, so an older offset is ignored.
        let applied = previous.map_or(Offset(0), |report| report.applied);
        let report = PeerReport {
            role: exchange.role,
            domain: exchange.domain,
            address: exchange.address,
            applied: applied.max(exchange.statement.applied),
            received_at: now,
            payload: exchange.payload,
        };
        self.reports.insert(exchange.statement.member, report);
    }

    /// Restarts the silence time of all members, for example after a pause of this process.
    pub(crate) fn restart_silence(&mut self, now: u64) {
        self.silence_restarted_at = now;
    }

    /// Replaces the platform's list of VMs, which may be stale and is only a hint.
    pub(crate) fn update_vm_list(&mut self, vms: impl Iterator<Item = String>) {
        self.vms = vms.collect();
        self.vms.sort_unstable();
    }

    /// Returns whether a VM list was received that does not contain the member's VM.
    pub(crate) fn is_vm_missing(&self, member: &Member) -> bool {
        // A process is named after its VM and its role.
        let name = member.vm.as_str();
        let vm = name.rsplit_once('/').map_or(name, |(vm, _)| vm);
        let found = self.vms.binary_search_by(|listed| listed.as_str().cmp(vm));
        !self.vms.is_empty() && found.is_err()
    }

    /// Returns the time since the last message of an active member, in ms.
    pub(crate) fn silence_ms(&self, now: u64, member: &Member) -> u64 {
        let last_contact = self
            .reports
            .get(member)
            .map_or(0, |report| report.received_at);
        // A member that has just joined may not have sent a message yet, so silence counts from when it became active.
        let active = self.active_since.get(member).copied().unwrap_or(now);
        now.saturating_sub(last_contact.max(active).max(self.silence_restarted_at))
    }

    /// Returns whether a message of the member arrived within the last `limit_ms`.
    pub(crate) fn has_contact_within(&self, now: u64, member: &Member, limit_ms: u64) -> bool {
        let report = self.reports.get(member);
        report.is_some_and(|report| now.saturating_sub(report.received_at) < limit_ms)
    }

    /// Returns the last reported address of a member.
    pub(crate) fn address(&self, member: &Member) -> Option<&str> {
        self.reports
            .get(member)
            .map(|report| report.address.as_str())
    }

    /// Returns the address of the process with the newest state, if that is newer than `next`.
    pub(crate) fn address_ahead_of(&self, next: Offset) -> Option<String> {
        let newest = self
            .reports
            .values()
            .max_by_key(|report| (report.applied, report.received_at))?;
        (newest.applied > next).then(|| newest.address.clone())
    }

    /// Returns the addresses of all processes that sent a message.
    pub(crate) fn addresses(&self) -> Vec<String> {
        self.reports
            .values()
            .map(|report| report.address.clone())
            .collect()
    }

    /// Records which members are active, and drops other processes that were silent for `keep_ms`.
    pub(crate) fn update_active(&mut self, now: u64, roster: &Roster, keep_ms: u64) {
        self.active_since
            .retain(|member, _| roster.is_active(member));
        for member in roster.members().keys() {
            if !self.active_since.contains(member) {
                self.active_since.insert(member.clone(), now);
            }
        }
        let keep = |member: &Member, report: &PeerReport| {
            roster.is_active(member) || now.saturating_sub(report.received_at) < keep_ms
        };
        self.reports.retain(keep);
    }

    /// Returns the other active members from which a message was received.
    pub(crate) fn peers(&self, now: u64, roster: &Roster, own_member: &Member) -> Vec<Peer> {
        let active = |row: &(&Member, &PeerReport)| roster.is_active(row.0) && row.0 != own_member;
        let peer = |(member, report): (&Member, &PeerReport)| Peer {
            member: member.clone(),
            role: report.role,
            domain: report.domain.clone(),
            address: report.address.clone(),
            applied: report.applied,
            last_contact_ms_ago: now.saturating_sub(report.received_at),
            payload: report.payload.0.clone(),
        };
        self.reports.iter().filter(active).map(peer).collect()
    }
}
