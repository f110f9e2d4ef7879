//! The shares as far as the fold gives them out; what members hold after transfers is theirs to know.

use serde::{Deserialize, Serialize};

use crate::id::{Member, Offset, Workspace};
use crate::record::Holding;
use crate::table::Table;

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
    /// Declarations of the present epoch while it is not settled.
    pub(crate) declared: Table<Member, Vec<Holding>>,
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
}
