//! Measures the bytes that each kind of object adds to the state, and the time to fold each kind of record.
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

/// Numbers of objects to add, one per row of the table.
const SIZES: [u64; 3] = [100, 1_000, 10_000];

/// `Builder` creates entries and applies them to a state.
#[derive(Clone, Default)]
struct Builder {
    state: State,
    commands: u64,
    /// Total size of the entries in bytes, counted only if set.
    log_bytes: Option<usize>,
}

impl Builder {
    fn entry(&mut self, author: Author, record: Record) -> Entry {
        self.commands += 1;
        let high = self.commands.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        Entry {
            command: Command(high, self.commands),
            author,
            expect: None,
            record,
        }
    }

    fn accept(&mut self, entry: &Entry) {
        if let Some(log_bytes) = &mut self.log_bytes {
            *log_bytes += entry.to_bytes().expect("the entry encodes").len();
        }
        let outcome = self.state.apply(self.state.next(), entry);
        assert!(matches!(outcome, Outcome::Accepted(_)), "{outcome}");
    }

    fn change(&mut self, change: Change) {
        let entry = self.entry(Author::Operator("ada".to_owned()), Record::Change(change));
        self.accept(&entry);
    }

    fn apply_as(&mut self, member: &Member, record: Record) {
        let entry = self.entry(Author::Member(member.clone()), record);
        self.accept(&entry);
    }
}

fn member(number: u64) -> Member {
    Member {
        vm: Vm::try_new(format!("ng-southwest-{number}/gate")).expect("the name is valid"),
        incarnation: Incarnation(number.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
    }
}

fn join(number: u64, role: Role) -> Record {
    Record::Join(Join {
        member: member(number),
        role,
        domain: Domain::try_new("ng-southwest-a").expect("the name is valid"),
        peer_address: "10.20.30.40:7000".to_owned(),
    })
}

fn workspace(number: u64) -> Workspace {
    Workspace::try_new(format!("workspace-{number}")).expect("the name is valid")
}

fn artifact(kind: &str, number: u64) -> Artifact {
    Artifact::try_new(format!("{kind}-{number}")).expect("the name is valid")
}

fn endpoint(number: u64) -> Endpoint {
    Endpoint::try_new(format!("engine-{number}")).expect("the name is valid")
}

fn service() -> Service {
    Service::try_new("desk").expect("the name is valid")
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
    let name = KeyName::try_new(format!("key-{number}")).expect("the name is valid");
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
        domain: Domain::try_new("ng-southwest-a").expect("the name is valid"),
        kind: EndpointKind::Engine {
            accelerators: 8,
            memory_mb: 640_000,
            checks_fencing: true,
        },
        draining: false,
    };
    Change::SetEndpoint(endpoint(number), spec)
}

/// Returns a state with a leading keeper, `gates` gates, and one workspace, model and service.
fn base(gates: u64) -> Builder {
    let mut builder = Builder::default();
    builder.apply_as(&member(0), join(0, Role::Keeper));
    builder.apply_as(&member(0), Record::Lead(member(0)));
    for number in 1..=gates {
        builder.apply_as(&member(number), join(number, Role::Gate));
    }
    builder.change(set_workspace(0));
    builder.change(set_model(0));
    builder.change(Change::SetService(service(), ServiceSpec::default()));
    builder
}

/// Adds objects and prints the bytes of state, the time and the log bytes per object.
fn measure(name: &str, builder: &Builder, sizes: &[u64], mut add: impl FnMut(&mut Builder, u64)) {
    for &count in sizes {
        let mut builder = builder.clone();
        let bytes_before = size(&mut builder);
        let start = Instant::now();
        for number in 1..=count {
            add(&mut builder, number);
        }
        let elapsed = start.elapsed();
        let bytes = (size(&mut builder) - bytes_before) as f64 / count as f64;
        let micros = elapsed.as_secs_f64() * 1e6 / count as f64;
        let logged = log_bytes(&builder, |builder| add(builder, count + 1));
        println!("{name:<28} {count:>7} {bytes:>10.1} {micros:>10.2} {logged:>10}");
    }
}

/// Returns the log bytes of adding one more object.
fn log_bytes(builder: &Builder, add: impl FnOnce(&mut Builder)) -> usize {
    let mut builder = builder.clone();
    builder.log_bytes = Some(0);
    add(&mut builder);
    builder.log_bytes.unwrap_or_default()
}

/// Returns the encoded size of the state in bytes, without remembered commands.
fn size(builder: &mut Builder) -> usize {
    let next = builder.state.next();
    builder.apply_as(&member(0), Record::Expire(next));
    builder.state.to_bytes().expect("the state encodes").len()
}

/// Claims a call, and closes the claim with an answer of 200 bytes if `finish` is set.
fn claim(builder: &mut Builder, number: u64, finish: bool) {
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
    let offset = builder.state.next();
    builder.apply_as(&member(0), Record::Claim(claim));
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
        builder.apply_as(&member(0), Record::Finish(finish));
    }
}

/// Measures closed claims with an answer of 200 bytes, each written by two records.
fn measure_finished_claims(builder: &Builder) {
    for count in SIZES {
        let mut builder = builder.clone();
        let start = Instant::now();
        (0..count).for_each(|number| claim(&mut builder, number, true));
        let micros = start.elapsed().as_secs_f64() * 1e6 / count as f64;
        let claims = rmp_serde::to_vec_named(builder.state.claims()).expect("the claims encode");
        let bytes = claims.len() as f64 / count as f64;
        let logged = log_bytes(&builder, |builder| claim(builder, count, true));
        println!(
            "{:<28} {count:>7} {bytes:>10.1} {micros:>10.2} {logged:>10}",
            "finished claim, 200 bytes"
        );
    }
}

/// Measures a share epoch: the declaration of each gate, with one holding per workspace.
fn measure_epochs() {
    for (gates, workspaces) in [(8, 10), (370, 50), (370, 500)] {
        let mut builder = base(gates);
        (1..workspaces).for_each(|number| builder.change(set_workspace(number)));
        let epoch = builder.state.next();
        builder.apply_as(&member(1), Record::Leave(member(1)));
        let mut bytes = 0;
        let mut micros = 0.0;
        for number in 2..=gates {
            let grants = builder
                .state
                .shares()
                .grants(&member(number))
                .expect("a gate has grants");
            let holding = |(workspace, grant): (&Workspace, &Grant)| Holding {
                workspace: workspace.clone(),
                created: grant.created,
                parts: grant.parts,
            };
            let declaration = Declaration {
                member: member(number),
                epoch,
                holdings: grants.iter().map(holding).collect(),
            };
            let entry = builder.entry(Author::Member(member(number)), Record::Declare(declaration));
            bytes += entry.to_bytes().expect("the entry encodes").len();
            let start = Instant::now();
            builder.accept(&entry);
            micros += start.elapsed().as_secs_f64() * 1e6;
        }
        let declarations = (gates - 1) as f64;
        let name = format!("declare, {workspaces} workspaces");
        let (bytes, micros) = (bytes as f64 / declarations, micros / declarations);
        println!("{name:<28} {gates:>7} {bytes:>10.1} {micros:>10.2}");
    }
}

/// Loads a model at an engine: appends an intent and its settlement.
fn load(builder: &mut Builder, number: u64) {
    let leader = member(0);
    let engine = endpoint(number);
    let sequence = builder
        .state
        .ledger()
        .accounts()
        .get(&engine)
        .map_or(0, |a| a.last_sequence.0);
    let sequence = quetzalpick_core::id::Sequence(sequence + 1);
    let intent = Intent {
        leader: leader.clone(),
        term: Offset(1),
        endpoint: engine.clone(),
        sequence,
        operation: Operation::Load(artifact("model", 0), Version(3)),
    };
    builder.apply_as(&leader, Record::Intent(intent));
    let settled = Settled {
        endpoint: engine,
        sequence,
        incarnation: EngineIncarnation(1),
        as_of: builder.state.next(),
        settlement: Settlement::Done,
    };
    builder.apply_as(&leader, Record::Settled(settled));
}

/// Returns the state with `engines` engines added and reported as empty.
fn with_engines(builder: &Builder, engines: u64) -> Builder {
    let mut builder = builder.clone();
    for number in 1..=engines {
        builder.change(set_endpoint(number));
        let report = Report {
            endpoint: endpoint(number),
            incarnation: EngineIncarnation(1),
            as_of: builder.state.next(),
            loaded: Vec::new(),
        };
        builder.apply_as(&member(0), Record::Report(report));
    }
    builder
}

/// Measures a state of the size expected in two years: 370 VMs with two processes each, 1,100 engines, 620 models.
fn measure_two_year_state() {
    let mut builder = base(370);
    for number in 371..740 {
        builder.apply_as(&member(number), join(number, Role::Keeper));
    }
    (1..620).for_each(|number| builder.change(set_model(number)));
    (1..3_000).for_each(|number| builder.change(set_adapter(number)));
    (1..500).for_each(|number| builder.change(set_workspace(number)));
    (1..5_000).for_each(|number| builder.change(add_key(number)));
    let mut builder = with_engines(&builder, 1_100);
    (1..=1_100).for_each(|number| load(&mut builder, number));
    let start = Instant::now();
    let snapshot = Snapshot::try_new(&builder.state).expect("the state encodes");
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
    let few_gates = base(8);
    measure(
        "workspace at 8 gates",
        &few_gates,
        &[100, 1_000],
        |builder, n| builder.change(set_workspace(n)),
    );
    let many_gates = base(370);
    measure(
        "workspace at 370 gates",
        &many_gates,
        &[100, 500],
        |builder, n| builder.change(set_workspace(n)),
    );
    measure("key", &few_gates, &SIZES, |builder, n| {
        builder.change(add_key(n))
    });
    measure("model", &few_gates, &SIZES[..2], |builder, n| {
        builder.change(set_model(n))
    });
    measure("adapter", &few_gates, &SIZES, |builder, n| {
        builder.change(set_adapter(n))
    });
    measure("endpoint", &few_gates, &SIZES[..2], |builder, n| {
        builder.change(set_endpoint(n))
    });
    measure("member", &few_gates, &SIZES[..2], |builder, n| {
        builder.apply_as(&member(1_000 + n), join(1_000 + n, Role::Gate));
    });
    let engines = with_engines(&few_gates, 1_100);
    measure("copy (intent and settled)", &engines, &[100, 1_000], load);
    measure("open claim", &few_gates, &SIZES, |builder, n| {
        claim(builder, n, false)
    });
    measure_finished_claims(&few_gates);
    measure_epochs();
    let bytes_before = size(&mut few_gates.clone());
    for count in [1_000, 10_000, 100_000] {
        let mut builder = few_gates.clone();
        let start = Instant::now();
        (0..count).for_each(|_| builder.change(set_workspace(0)));
        let micros = start.elapsed().as_secs_f64() * 1e6 / count as f64;
        let bytes = builder.state.to_bytes().expect("the state encodes").len() - bytes_before;
        let bytes = bytes as f64 / count as f64;
        println!(
            "{:<28} {count:>7} {bytes:>10.1} {micros:>10.2}",
            "remembered command"
        );
    }
    measure_two_year_state();
}
