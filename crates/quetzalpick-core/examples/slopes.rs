//! Measures what each thing in the state costs in bytes, and how long the fold of each record takes.
//!
//! Run with `cargo run --release -p quetzalpick-core --example slopes`.

use std::hint::black_box;
use std::time::Instant;

use quetzalpick_core::id::{
    Artifact, Command, Domain, Endpoint, EngineIncarnation, Incarnation, KeyName, Member, Offset,
    Service, Version, Vm, Workspace,
};
use quetzalpick_core::record::{
    Adapter, Author, Change, Claim, ClaimKey, ClaimResult, Declaration, Digest, EndpointKind,
    EndpointSpec, Entry, Finish, Holding, Intent, Join, Key, Model, Operation, Record, Report,
    Role, ServiceSpec, Settled, Settlement, WorkspaceSpec,
};
use quetzalpick_core::state::{Grant, Outcome, Snapshot, State};

/// Numbers of things that are added for each row of the table.
const SIZES: [u64; 3] = [100, 1_000, 10_000];

/// `Fold` makes entries and applies them.
#[derive(Clone, Default)]
struct Fold {
    state: State,
    commands: u64,
    /// Bytes of the entries in the log, counted only while this is set.
    logged: Option<usize>,
}

impl Fold {
    fn entry(&mut self, author: Author, record: Record) -> Entry {
        self.commands += 1;
        let spread = self.commands.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        Entry {
            command: Command(spread, self.commands),
            author,
            expect: None,
            record,
        }
    }

    fn accept(&mut self, entry: &Entry) {
        if let Some(logged) = &mut self.logged {
            *logged += entry.to_bytes().expect("the entry encodes").len();
        }
        let outcome = self.state.apply(self.state.next(), entry);
        assert!(matches!(outcome, Outcome::Accepted(_)), "{outcome}");
    }

    fn change(&mut self, change: Change) {
        let entry = self.entry(Author::Operator("ada".to_owned()), Record::Change(change));
        self.accept(&entry);
    }

    fn by(&mut self, member: &Member, record: Record) {
        let entry = self.entry(Author::Member(member.clone()), record);
        self.accept(&entry);
    }
}

fn member(number: u64) -> Member {
    Member {
        vm: Vm::try_new(format!("ng-southwest-{number}/gate")).expect("a plain name"),
        incarnation: Incarnation(number.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
    }
}

fn join(number: u64, role: Role) -> Record {
    Record::Join(Join {
        member: member(number),
        role,
        domain: Domain::try_new("ng-southwest-a").expect("a plain name"),
        peer_address: "10.20.30.40:7000".to_owned(),
    })
}

fn workspace(number: u64) -> Workspace {
    Workspace::try_new(format!("workspace-{number}")).expect("a plain name")
}

fn artifact(kind: &str, number: u64) -> Artifact {
    Artifact::try_new(format!("{kind}-{number}")).expect("a plain name")
}

fn endpoint(number: u64) -> Endpoint {
    Endpoint::try_new(format!("engine-{number}")).expect("a plain name")
}

fn service() -> Service {
    Service::try_new("desk").expect("a plain name")
}

fn set_workspace(number: u64) -> Change {
    let spec = WorkspaceSpec {
        rate: 10_000,
        burst: 100_000,
        artifacts: Vec::new(),
        services: Vec::new(),
    };
    Change::SetWorkspace(workspace(number), spec)
}

fn add_key(number: u64) -> Change {
    let mut digest = [7; 32];
    digest[..8].copy_from_slice(&number.wrapping_mul(0x9e37_79b9_7f4a_7c15).to_be_bytes());
    let name = KeyName::try_new(format!("key-{number}")).expect("a plain name");
    let key = Key {
        workspace: workspace(0),
        digest: Digest(digest),
    };
    Change::AddKey(name, key)
}

fn set_model(number: u64) -> Change {
    let model = Model {
        version: Version(3),
        memory_mb: 20_000,
        max_output: 1_024,
    };
    Change::SetModel(artifact("model", number), model)
}

fn set_adapter(number: u64) -> Change {
    let adapter = Adapter {
        base: artifact("model", 0),
        version: Version(3),
        memory_mb: 200,
    };
    Change::SetAdapter(artifact("adapter", number), adapter)
}

fn set_endpoint(number: u64) -> Change {
    let spec = EndpointSpec {
        address: format!("10.{}.{}.1:9000", number / 200, number % 200),
        domain: Domain::try_new("ng-southwest-a").expect("a plain name"),
        kind: EndpointKind::Engine {
            accelerators: 8,
            memory_mb: 640_000,
            checks_fencing: true,
        },
        draining: false,
    };
    Change::SetEndpoint(endpoint(number), spec)
}

/// Returns a state with one of everything, `members` gates and a keeper that leads.
fn base(members: u64) -> Fold {
    let mut fold = Fold::default();
    fold.by(&member(0), join(0, Role::Keeper));
    fold.by(&member(0), Record::Lead(member(0)));
    for number in 1..=members {
        fold.by(&member(number), join(number, Role::Gate));
    }
    fold.change(set_workspace(0));
    fold.change(set_model(0));
    fold.change(Change::SetService(service(), ServiceSpec::default()));
    fold
}

/// Adds things and prints what one costs.
fn slope(name: &str, fold: &Fold, sizes: &[u64], mut add: impl FnMut(&mut Fold, u64)) {
    for &count in sizes {
        let mut fold = fold.clone();
        let before = size(&mut fold);
        let start = Instant::now();
        for number in 1..=count {
            add(&mut fold, number);
        }
        let elapsed = start.elapsed();
        let bytes = (size(&mut fold) - before) as f64 / count as f64;
        let micros = elapsed.as_secs_f64() * 1e6 / count as f64;
        let logged = logged(&fold, |fold| add(fold, count + 1));
        println!("{name:<28} {count:>7} {bytes:>10.1} {micros:>10.2} {logged:>10}");
    }
}

/// Returns the bytes of the log that one more thing takes.
fn logged(fold: &Fold, add: impl FnOnce(&mut Fold)) -> usize {
    let mut fold = fold.clone();
    fold.logged = Some(0);
    add(&mut fold);
    fold.logged.unwrap_or_default()
}

/// Returns the encoded size of the state without the memory of commands.
fn size(fold: &mut Fold) -> usize {
    let next = fold.state.next();
    fold.by(&member(0), Record::Expire(next));
    fold.state.to_bytes().expect("the state encodes").len()
}

fn claim(fold: &mut Fold, number: u64, finish: bool) {
    let key = ClaimKey {
        workspace: Some(workspace(0)),
        service: service(),
        key: format!(
            "{:032x}",
            u128::from(number).wrapping_mul(0x9e37_79b9_7f4a_7c15_1234_5678)
        ),
    };
    let claim = Claim {
        key: key.clone(),
        fingerprint: number,
        member: member(0),
    };
    let offset = fold.state.next();
    fold.by(&member(0), Record::Claim(claim));
    if finish {
        let result = ClaimResult::Ran {
            status: 201,
            content_type: "application/json".to_owned(),
            body: Some(vec![b'x'; 200]),
        };
        let finish = Finish {
            key,
            claim: offset,
            result,
        };
        fold.by(&member(0), Record::Finish(finish));
    }
}

/// Measures claims that are kept with an answer of 200 bytes, and the two records of each.
fn finished_claims(fold: &Fold) {
    for count in SIZES {
        let mut fold = fold.clone();
        let start = Instant::now();
        (0..count).for_each(|number| claim(&mut fold, number, true));
        let micros = start.elapsed().as_secs_f64() * 1e6 / count as f64;
        let claims = rmp_serde::to_vec_named(fold.state.claims()).expect("the claims encode");
        let bytes = claims.len() as f64 / count as f64;
        let logged = logged(&fold, |fold| claim(fold, count, true));
        println!(
            "{:<28} {count:>7} {bytes:>10.1} {micros:>10.2} {logged:>10}",
            "finished claim, 200 bytes"
        );
    }
}

/// Measures a share epoch: the declaration of each gate, with one holding of each workspace.
fn epochs() {
    for (gates, workspaces) in [(8, 10), (370, 50), (370, 500)] {
        let mut fold = base(gates);
        (1..workspaces).for_each(|number| fold.change(set_workspace(number)));
        let epoch = fold.state.next();
        fold.by(&member(1), Record::Leave(member(1)));
        let mut bytes = 0;
        let mut micros = 0.0;
        for number in 2..=gates {
            let grants = fold
                .state
                .shares()
                .grants(&member(number))
                .expect("a gate has grants");
            let row = |(workspace, grant): (&Workspace, &Grant)| Holding {
                workspace: workspace.clone(),
                created: grant.created,
                parts: grant.parts,
            };
            let declaration = Declaration {
                member: member(number),
                epoch,
                holdings: grants.iter().map(row).collect(),
            };
            let entry = fold.entry(Author::Member(member(number)), Record::Declare(declaration));
            bytes += entry.to_bytes().expect("the entry encodes").len();
            let start = Instant::now();
            fold.accept(&entry);
            micros += start.elapsed().as_secs_f64() * 1e6;
        }
        let declares = (gates - 1) as f64;
        let name = format!("declare, {workspaces} workspaces");
        let (bytes, micros) = (bytes as f64 / declares, micros / declares);
        println!("{name:<28} {gates:>7} {bytes:>10.1} {micros:>10.2}");
    }
}

/// Loads a model at an engine: an intent and its settlement.
fn load(fold: &mut Fold, number: u64) {
    let leader = member(0);
    let engine = endpoint(number);
    let sequence = fold
        .state
        .ledger()
        .accounts()
        .get(&engine)
        .map_or(0, |a| a.last.0);
    let sequence = quetzalpick_core::id::Sequence(sequence + 1);
    let intent = Intent {
        leader: leader.clone(),
        term: Offset(1),
        endpoint: engine.clone(),
        sequence,
        operation: Operation::Load(artifact("model", 0), Version(3)),
    };
    fold.by(&leader, Record::Intent(intent));
    let settled = Settled {
        endpoint: engine,
        sequence,
        incarnation: EngineIncarnation(1),
        as_of: fold.state.next(),
        settlement: Settlement::Done,
    };
    fold.by(&leader, Record::Settled(settled));
}

fn reported(fold: &Fold, engines: u64) -> Fold {
    let mut fold = fold.clone();
    for number in 1..=engines {
        fold.change(set_endpoint(number));
        let report = Report {
            endpoint: endpoint(number),
            incarnation: EngineIncarnation(1),
            as_of: fold.state.next(),
            loaded: Vec::new(),
        };
        fold.by(&member(0), Record::Report(report));
    }
    fold
}

/// Measures a state of the two-year size: 370 nodes with two processes each, 1,100 runners, 620 models.
fn two_years() {
    let mut fold = base(370);
    for number in 371..740 {
        fold.by(&member(number), join(number, Role::Keeper));
    }
    (1..620).for_each(|number| fold.change(set_model(number)));
    (1..3_000).for_each(|number| fold.change(set_adapter(number)));
    (1..500).for_each(|number| fold.change(set_workspace(number)));
    (1..5_000).for_each(|number| fold.change(add_key(number)));
    let mut fold = reported(&fold, 1_100);
    (1..=1_100).for_each(|number| load(&mut fold, number));
    let start = Instant::now();
    let snapshot = Snapshot::try_new(&fold.state).expect("the state encodes");
    let encoded = start.elapsed();
    let start = Instant::now();
    black_box(snapshot.open().expect("the snapshot opens"));
    let opened = start.elapsed();
    let mb = snapshot.state.len() as f64 / 1e6;
    println!("two-year state: {mb:.2} MB, encode {encoded:.1?}, open {opened:.1?}");
}

fn main() {
    println!(
        "{:<28} {:>7} {:>10} {:>10} {:>10}",
        "each", "count", "bytes", "us/call", "log bytes"
    );
    let few = base(8);
    slope("workspace at 8 gates", &few, &[100, 1_000], |f, n| {
        f.change(set_workspace(n))
    });
    let many = base(370);
    slope("workspace at 370 gates", &many, &[100, 500], |f, n| {
        f.change(set_workspace(n))
    });
    slope("key", &few, &SIZES, |f, n| f.change(add_key(n)));
    slope("model", &few, &SIZES[..2], |f, n| f.change(set_model(n)));
    slope("adapter", &few, &SIZES, |f, n| f.change(set_adapter(n)));
    slope("endpoint", &few, &SIZES[..2], |f, n| {
        f.change(set_endpoint(n))
    });
    slope("member", &few, &SIZES[..2], |f, n| {
        f.by(&member(1_000 + n), join(1_000 + n, Role::Gate));
    });
    let engines = reported(&few, 1_100);
    slope("copy (intent and settled)", &engines, &[100, 1_000], load);
    slope("open claim", &few, &SIZES, |f, n| claim(f, n, false));
    finished_claims(&few);
    epochs();
    let before = size(&mut few.clone());
    for count in [1_000, 10_000, 100_000] {
        let mut fold = few.clone();
        let start = Instant::now();
        (0..count).for_each(|_| fold.change(set_workspace(0)));
        let micros = start.elapsed().as_secs_f64() * 1e6 / count as f64;
        let bytes = fold.state.to_bytes().expect("the state encodes").len() - before;
        let bytes = bytes as f64 / count as f64;
        println!(
            "{:<28} {count:>7} {bytes:>10.1} {micros:>10.2}",
            "remembered command"
        );
    }
    two_years();
}
