//! Helpers that build entries and apply them in tests, and the settings of fuzz runs.

use std::fmt::Debug;
use std::str::FromStr;

use quetzalpick_core::id::{
    Artifact, Command, Domain, Endpoint, Incarnation, KeyName, Member, Offset, Service, Version,
    Vm, Workspace,
};
use quetzalpick_core::record::{
    Adapter, Author, Change, Digest, EndpointKind, EndpointSpec, Entry, Join, Key, Model, Record,
    Role, WorkspaceSpec,
};
use quetzalpick_core::state::{Outcome, State};

/// Reads a number from the environment, such as the number of cases or the seed of a fuzz run.
pub(crate) fn setting<T: FromStr>(name: &str, default: T) -> T {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Returns and prints the seeds of a fuzz run.
pub(crate) fn seeds(cases: u64) -> std::ops::Range<u64> {
    let first = setting("QUETZALPICK_FUZZ_SEED", 0);
    let cases = setting("QUETZALPICK_FUZZ_CASES", cases);
    println!("seeds {first} to {}", first + cases - 1);
    first..first + cases
}

pub(crate) fn member(vm: &str, incarnation: u64) -> Member {
    Member {
        vm: vm_name(vm),
        incarnation: Incarnation(incarnation),
    }
}

pub(crate) fn vm_name(name: &str) -> Vm {
    Vm::try_new(name).unwrap()
}

pub(crate) fn workspace(name: &str) -> Workspace {
    Workspace::try_new(name).unwrap()
}

pub(crate) fn artifact(name: &str) -> Artifact {
    Artifact::try_new(name).unwrap()
}

pub(crate) fn endpoint(name: &str) -> Endpoint {
    Endpoint::try_new(name).unwrap()
}

pub(crate) fn service(name: &str) -> Service {
    Service::try_new(name).unwrap()
}

pub(crate) fn join(member: &Member, role: Role) -> Record {
    Record::Join(Join {
        member: member.clone(),
        role,
        domain: Domain::try_new("a").unwrap(),
        peer_address: "127.0.0.1:9000".to_owned(),
    })
}

pub(crate) fn set_workspace(name: &str, rate: u64) -> Change {
    let spec = WorkspaceSpec {
        rate,
        burst: 1_000,
        artifacts: Vec::new(),
        services: Vec::new(),
    };
    Change::SetWorkspace(workspace(name), spec)
}

pub(crate) fn add_key(name: &str, workspace_name: &str, digest: u8) -> Change {
    let key = Key {
        workspace: workspace(workspace_name),
        digest: Digest([digest; 32]),
    };
    Change::AddKey(KeyName::try_new(name).unwrap(), key)
}

pub(crate) fn withdraw_key(name: &str) -> Change {
    Change::WithdrawKey(KeyName::try_new(name).unwrap())
}

pub(crate) fn set_model(name: &str, version: u32, memory_mb: u64) -> Change {
    let model = Model {
        version: Version(version),
        memory_mb,
        max_output: 256,
    };
    Change::SetModel(artifact(name), model)
}

pub(crate) fn set_adapter(name: &str, base: &str, version: u32, memory_mb: u64) -> Change {
    let adapter = Adapter {
        base: artifact(base),
        version: Version(version),
        memory_mb,
    };
    Change::SetAdapter(artifact(name), adapter)
}

pub(crate) fn set_engine(name: &str, port: u16, memory_mb: u64, checks_fencing: bool) -> Change {
    let kind = EndpointKind::Engine {
        accelerators: 1,
        memory_mb,
        checks_fencing,
    };
    Change::SetEndpoint(endpoint(name), endpoint_spec(port, kind))
}

pub(crate) fn endpoint_spec(port: u16, kind: EndpointKind) -> EndpointSpec {
    EndpointSpec {
        address: format!("127.0.0.1:{port}"),
        domain: Domain::try_new("a").unwrap(),
        kind,
        draining: false,
    }
}

pub(crate) fn by(command: u64, author: &Member, record: Record) -> Entry {
    Entry {
        command: Command(command.wrapping_mul(0x9e37_79b9_7f4a_7c15), command),
        author: Author::Member(author.clone()),
        expect: None,
        record,
    }
}

pub(crate) fn operator(command: u64, change: Change) -> Entry {
    Entry {
        author: Author::Operator("ada".to_owned()),
        ..by(command, &member("none", 0), Record::Change(change))
    }
}

/// `Session` applies entries to a state and records a line for each with its outcome.
#[derive(Default)]
pub(crate) struct Session {
    pub(crate) state: State,
    pub(crate) lines: Vec<String>,
    commands: u64,
}

impl Session {
    pub(crate) fn apply(&mut self, entry: &Entry) -> Outcome {
        let offset = self.state.next();
        let outcome = self.state.apply(offset, entry);
        let author = match &entry.author {
            Author::Member(member) => member.to_string(),
            Author::Operator(name) => name.clone(),
        };
        let record = compact(&entry.record);
        self.lines
            .push(format!("{offset:>3} {author}: {record}\n      {outcome}"));
        outcome
    }

    pub(crate) fn change(&mut self, change: Change) -> Outcome {
        self.commands += 1;
        self.apply(&operator(self.commands, change))
    }

    pub(crate) fn by(&mut self, author: &Member, record: Record) -> Outcome {
        self.commands += 1;
        self.apply(&by(self.commands, author, record))
    }

    /// Applies a record, asserts that it is accepted, and returns its offset.
    pub(crate) fn accepted(&mut self, author: &Member, record: Record) -> Offset {
        let offset = self.state.next();
        let outcome = self.by(author, record);
        assert!(matches!(outcome, Outcome::Accepted(_)), "{outcome}");
        offset
    }

    /// Applies changes and asserts that they are accepted.
    pub(crate) fn changes(&mut self, changes: impl IntoIterator<Item = Change>) {
        for change in changes {
            let outcome = self.change(change);
            assert!(matches!(outcome, Outcome::Accepted(_)), "{outcome}");
        }
    }

    pub(crate) fn add_comment(&mut self, text: impl Into<String>) {
        self.lines.push(text.into());
    }
}

/// Formats a value on one line, without the quotes of names.
pub(crate) fn compact(value: &impl Debug) -> String {
    format!("{value:?}").replace('"', "")
}
