//! Log entries written by the tests.

use quetzalpick_core::id::{Command, Domain, Member, Workspace};
use quetzalpick_core::record::{Author, Change, Entry, Join, Record, Role, WorkspaceSpec};

pub(crate) fn workspace(at: usize) -> Workspace {
    Workspace::try_new(format!("w{at}")).expect("the name is valid")
}

/// Returns the entry with which a gate joins.
pub(crate) fn join(member: &Member, number: u64) -> Entry {
    Entry {
        command: Command(1, number),
        author: Author::Member(member.clone()),
        expect: None,
        record: Record::Join(Join {
            member: member.clone(),
            role: Role::Gate,
            domain: Domain::try_new("d").expect("the name is valid"),
            peer_address: "127.0.0.1:1".to_owned(),
        }),
    }
}

/// Returns the entry that sets rate and burst of workspace 0.
pub(crate) fn set_spec(number: u64, rate: u64, burst: u64) -> Entry {
    let spec = WorkspaceSpec {
        rate,
        burst,
        artifacts: Vec::new(),
        services: Vec::new(),
    };
    Entry {
        command: Command(1, number),
        author: Author::Operator("op".to_owned()),
        expect: None,
        record: Record::Change(Change::SetWorkspace(workspace(0), spec)),
    }
}
