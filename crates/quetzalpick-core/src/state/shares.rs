//! The shares as far as the fold gives them out; what members hold after transfers is theirs to know.

use serde::{Deserialize, Serialize};

use crate::id::{Member, Offset, Workspace};
use crate::record::{Declaration, Holding, PARTS_TOTAL, WorkspaceSpec};
use crate::state::outcome::{Reason, conflict, invalid};
use crate::table::Table;

/// `Workspaces` are the workspaces in force with the offsets of their creation.
type Workspaces = Table<Workspace, (Offset, WorkspaceSpec)>;

/// Gates that the parts of one workspace are given to at once; the others get theirs by transfers.
const HOLDERS_MAX: usize = 16;

/// Picks the gates that parts are given to, other ones for another offset.
fn holders(gates: &[Member], offset: Offset) -> Vec<Member> {
    if gates.len() <= HOLDERS_MAX {
        return gates.to_vec();
    }
    let start = offset.0 as usize % gates.len();
    let around = gates.iter().cycle().skip(start);
    around.take(HOLDERS_MAX).cloned().collect()
}

/// Divides parts over members as equally as whole parts allow.
fn divide<'a>(
    parts: u64,
    members: &'a [Member],
) -> impl Iterator<Item = (&'a Member, u64)> + use<'a> {
    let count = (members.len() as u64).max(1);
    let (each, rest) = (parts / count, parts % count);
    let rows = members.iter().zip(0..);
    rows.map(move |(member, at)| (member, each + u64::from(at < rest)))
}

/// `Grant` adds up what the fold ever gave one member of one workspace.
///
/// A member adds the difference to what it took before, so a grant counts once.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Offset at which the workspace was created.
    pub created: Offset,
    /// Parts given so far.
    pub parts: u64,
    /// Parts of these that came with a full bucket; the others came with an empty one.
    pub full: u64,
}

/// `Shares` is the aggregate of grants and of the share epoch.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shares {
    /// Offset of the record that opened the present epoch.
    pub(crate) epoch: Offset,
    /// Active gates that have not declared in the present epoch, sorted; empty when it is settled.
    pub(crate) awaiting: Vec<Member>,
    /// Gates that have declared in the present epoch while it is not settled, sorted.
    pub(crate) declarers: Vec<Member>,
    /// Parts that they declared, added up by workspace and the offset of its creation.
    pub(crate) declared: Table<(Workspace, Offset), u64>,
    /// Grants by active gate.
    pub(crate) grants: Table<Member, Table<Workspace, Grant>>,
    /// Parts that no gate holds, by workspace: the first gate to join takes them.
    pub(crate) unclaimed: Table<Workspace, Grant>,
}

impl Shares {
    /// Returns the present epoch.
    pub fn epoch(&self) -> Offset {
        self.epoch
    }

    /// Returns the gates whose declaration the present epoch awaits.
    pub fn awaiting(&self) -> &[Member] {
        &self.awaiting
    }

    /// Returns what was granted to a member.
    pub fn grants(&self, member: &Member) -> Option<&Table<Workspace, Grant>> {
        self.grants.get(member)
    }

    /// Gives out the parts of a new workspace with full buckets, at most to `HOLDERS_MAX` gates.
    pub(crate) fn create(&mut self, workspace: &Workspace, created: Offset, gates: &[Member]) {
        let grant = |parts| Grant {
            created,
            parts,
            full: parts,
        };
        if gates.is_empty() {
            self.unclaimed.insert(workspace.clone(), grant(PARTS_TOTAL));
        }
        let holders = holders(gates, created);
        for (gate, parts) in divide(PARTS_TOTAL, &holders) {
            let grants = self.grants.get_or_insert_with(gate.clone(), Table::default);
            grants.insert(workspace.clone(), grant(parts));
        }
    }

    /// Removes the parts of a workspace.
    pub(crate) fn remove(&mut self, workspace: &Workspace) {
        self.unclaimed.remove(workspace);
        for (_, grants) in self.grants.iter_mut() {
            grants.remove(workspace);
        }
    }

    /// Gives a new gate what nobody holds.
    pub(crate) fn join(&mut self, gate: &Member) {
        let unclaimed = std::mem::take(&mut self.unclaimed);
        self.grants.insert(gate.clone(), unclaimed);
    }

    /// Opens an epoch after the departure of gates; `gates` are those that stay.
    pub(crate) fn depart(
        &mut self,
        offset: Offset,
        departed: &[Member],
        gates: Vec<Member>,
        workspaces: &Workspaces,
    ) {
        for member in departed {
            self.grants.remove(member);
        }
        self.epoch = offset;
        self.declarers.clear();
        self.declared = Table::default();
        self.awaiting = gates;
        self.settle(workspaces);
    }

    /// Takes the declaration of a gate, and settles the epoch with the last one.
    pub(crate) fn declare(
        &mut self,
        declaration: &Declaration,
        workspaces: &Workspaces,
    ) -> Result<(), Reason> {
        if declaration.epoch != self.epoch {
            return Err(conflict(format!("the share epoch is {}", self.epoch)));
        }
        let awaited = self.awaiting.binary_search(&declaration.member);
        let awaited = awaited.map_err(|_| {
            conflict(format!(
                "no declaration of {} is awaited",
                declaration.member
            ))
        })?;
        self.check_holdings(&declaration.holdings)?;
        let member = self.awaiting.remove(awaited);
        let at = self.declarers.partition_point(|other| *other < member);
        self.declarers.insert(at, member);
        for holding in &declaration.holdings {
            let key = (holding.workspace.clone(), holding.created);
            *self.declared.get_or_insert_with(key, || 0) += holding.parts;
        }
        self.settle(workspaces);
        Ok(())
    }

    /// Checks that holdings are in order and add up with those declared to no more than all parts.
    fn check_holdings(&self, holdings: &[Holding]) -> Result<(), Reason> {
        let ordered = holdings.is_sorted_by(|a, b| a.workspace < b.workspace);
        if !ordered {
            return Err(invalid("holdings are not sorted by workspace"));
        }
        for holding in holdings {
            let declared = self.declared_parts(&holding.workspace, holding.created);
            if holding.parts > PARTS_TOTAL.saturating_sub(declared) {
                let workspace = &holding.workspace;
                return Err(invalid(format!("more than all parts of {workspace}")));
            }
        }
        Ok(())
    }

    /// Returns the declared parts of a workspace.
    fn declared_parts(&self, workspace: &Workspace, created: Offset) -> u64 {
        let key = (workspace.clone(), created);
        self.declared.get(&key).copied().unwrap_or(0)
    }

    /// Once no declaration is awaited, gives out with empty buckets what nobody declared.
    fn settle(&mut self, workspaces: &Workspaces) {
        if !self.awaiting.is_empty() {
            return;
        }
        let declarers = std::mem::take(&mut self.declarers);
        let holders = holders(&declarers, self.epoch);
        for (workspace, (created, _)) in workspaces.iter() {
            // A departed gate never held parts of a workspace that was created after its departure.
            if *created > self.epoch {
                continue;
            }
            let missing = PARTS_TOTAL - self.declared_parts(workspace, *created);
            self.give(workspace, *created, missing, &holders);
        }
        self.declared = Table::default();
    }

    /// Gives out parts of a workspace with empty buckets.
    fn give(&mut self, workspace: &Workspace, created: Offset, parts: u64, gates: &[Member]) {
        let empty = || Grant {
            created,
            ..Grant::default()
        };
        if gates.is_empty() {
            let grant = Grant { parts, ..empty() };
            self.unclaimed.insert(workspace.clone(), grant);
        }
        for (gate, parts) in divide(parts, gates) {
            let grants = self.grants.get_or_insert_with(gate.clone(), Table::default);
            let grant = grants.get_or_insert_with(workspace.clone(), empty);
            grant.parts += parts;
        }
    }
}
