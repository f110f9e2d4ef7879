//! Small deployment in one process: an in-memory log, engines, a service and gates.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use quetzalpick_client::engine;
use quetzalpick_client::errors::Result as CallResult;
use quetzalpick_client::memory;
use quetzalpick_client::traits::{Log, Stream, Vms};
use quetzalpick_client::wire::engine::{Action, Copy, Order};
use quetzalpick_client::wire::vms;
use quetzalpick_core::id::{
    Artifact, Command, Domain, Endpoint, EngineIncarnation, Incarnation, KeyName, Member, Offset,
    Service, Version, Vm, Workspace,
};
use quetzalpick_core::record::{
    Adapter, Author, Change, Digest, EndpointKind, EndpointSpec, Entry, Join, Key, Model, Record,
    Report, Role, Route, ServiceSpec, WorkspaceSpec,
};
use quetzalpick_gate::{Gate, Listeners, Options, Platform};
use quetzalpick_node::http::memory::Memory;
use quetzalpick_node::http::server;
use quetzalpick_node::replica;
use quetzalpick_standin::{engine as engines, service as services};
use sha2::{Digest as _, Sha256};

use crate::client::Client;
use crate::process::{Process, WORKERS, wait_until};

/// Key of workspace `lagos`, which is allowed to use every model, adapter and service.
pub(crate) const LAGOS: &str = "sk-lagos-0123456789abcdef";

/// Key of workspace `pasto`, which is allowed to use model `menu` only.
pub(crate) const PASTO: &str = "sk-pasto-fedcba9876543210";

/// `Deployment` runs the platform's stand-ins and the endpoints, and starts gates.
pub(crate) struct Deployment {
    pub(crate) log: memory::Log,
    pub(crate) engines: Vec<engines::Server>,
    pub(crate) service: services::Server,
    pub(crate) vms: List,
    commands: Mutex<u64>,
}

/// `Loaded` names an engine, its incarnation and the artifacts that it holds.
type Loaded = (Endpoint, EngineIncarnation, Vec<(Artifact, Version)>);

/// `List` serves a VM list that tests can change.
#[derive(Debug, Clone, Default)]
pub(crate) struct List {
    list: Arc<Mutex<vms::List>>,
}

impl List {
    /// Lists an endpoint as leaving.
    pub(crate) fn mark_leaving(&self, endpoint: &str) {
        self.list.lock().unwrap().vms.push(vms::Vm {
            name: endpoint.to_owned(),
            domain: "a".to_owned(),
            address: String::new(),
            status: vms::Status::Leaving,
        });
    }
}

impl Vms for List {
    async fn list(&self) -> CallResult<vms::List> {
        Ok(self.list.lock().unwrap().clone())
    }
}

pub(crate) fn artifact(name: &str) -> Artifact {
    Artifact::try_new(name).unwrap()
}

pub(crate) fn endpoint(name: &str) -> Endpoint {
    Endpoint::try_new(name).unwrap()
}

pub(crate) fn workspace(name: &str) -> Workspace {
    Workspace::try_new(name).unwrap()
}

fn domain(name: &str) -> Domain {
    Domain::try_new(name).unwrap()
}

fn order_service() -> Service {
    Service::try_new("orders").unwrap()
}

/// Returns the change that adds a key.
pub(crate) fn add_key(name: &str, workspace_name: &str, key: &str) -> Change {
    let digest = Digest(Sha256::digest(key.as_bytes()).into());
    let workspace = workspace(workspace_name);
    Change::AddKey(KeyName::try_new(name).unwrap(), Key { workspace, digest })
}

/// Returns the change that withdraws a key.
pub(crate) fn withdraw_key(name: &str) -> Change {
    Change::WithdrawKey(KeyName::try_new(name).unwrap())
}

/// Returns the change that sets a workspace and the artifacts that its keys may use.
pub(crate) fn set_workspace(name: &str, rate: u64, burst: u64, artifacts: &[&str]) -> Change {
    let spec = WorkspaceSpec {
        rate,
        burst,
        artifacts: artifacts.iter().map(|name| artifact(name)).collect(),
        services: Vec::new(),
    };
    Change::SetWorkspace(workspace(name), spec)
}

/// Returns a route of the order service.
fn route(method: &str, prefix: &str, open: bool, idempotent: bool) -> Route {
    Route {
        method: method.to_owned(),
        prefix: prefix.to_owned(),
        open,
        idempotent,
    }
}

/// Returns the engine order that loads a copy.
fn load(name: &str, base: Option<&str>) -> Order {
    Order {
        fencing: 0,
        action: Action::Load,
        copy: Copy {
            artifact: name.to_owned(),
            version: 1,
            memory_mb: 1_000,
        },
        base: base.map(str::to_owned),
    }
}

/// Returns the options of an engine that is fast enough for tests.
pub(crate) fn quick_engine() -> engines::Options {
    engines::Options {
        token: Duration::from_millis(1),
        token_per_running: Duration::ZERO,
        prompt_token: Duration::ZERO,
        ..engines::Options::default()
    }
}

/// Returns the options of a gate with short timeouts and intervals.
pub(crate) fn quick_gate() -> Options {
    Options {
        grace: Duration::from_millis(50),
        lease: Duration::from_secs(2),
        silence_timeout: Duration::from_secs(2),
        vms_interval: Duration::from_millis(50),
        report_interval: Duration::from_millis(50),
        ..Options::default()
    }
}

impl Deployment {
    /// Starts a platform with one engine.
    pub(crate) async fn start() -> Self {
        Self::with_engines(vec![quick_engine()]).await
    }

    /// Starts a platform with engines that all hold model `menu` and adapter `menu-kosher`.
    pub(crate) async fn with_engines(options: Vec<engines::Options>) -> Self {
        let mut engines = Vec::new();
        for options in options {
            let engine = engines::Server::try_start(options).await.unwrap();
            engine.preload(&load("menu", None));
            engine.preload(&load("menu-kosher", Some("menu")));
            engines.push(engine);
        }
        let options = services::Options::default();
        let deployment = Self {
            log: memory::Log::new(),
            engines,
            service: services::Server::try_start(options).await.unwrap(),
            vms: List::default(),
            commands: Mutex::new(0),
        };
        deployment.configure().await;
        deployment
    }

    /// Appends the configuration and a report of the engines' copies.
    async fn configure(&self) {
        for name in ["menu", "butter"] {
            let model = Model {
                version: Version(1),
                memory_mb: 1_000,
                max_output: 8,
            };
            self.change(Change::SetModel(artifact(name), model)).await;
        }
        let adapter = Adapter {
            base: artifact("menu"),
            version: Version(1),
            memory_mb: 1_000,
        };
        self.change(Change::SetAdapter(artifact("menu-kosher"), adapter))
            .await;
        self.change(set_workspace("lagos", 100_000, 100_000, &[]))
            .await;
        self.change(set_workspace("pasto", 1_000, 1_000, &["menu"]))
            .await;
        self.change(add_key("lagos-1", "lagos", LAGOS)).await;
        self.change(add_key("pasto-1", "pasto", PASTO)).await;
        let routes = vec![
            route("GET", "/availability", true, true),
            route("GET", "/bookings", false, true),
            route("POST", "/bookings", false, false),
        ];
        let spec = ServiceSpec { charge: 10, routes };
        self.change(Change::SetService(order_service(), spec)).await;
        let kind = EndpointKind::Service {
            service: order_service(),
        };
        self.set_endpoint("orders-1", self.service.address(), kind)
            .await;
        for (index, engine) in self.engines.iter().enumerate() {
            let kind = EndpointKind::Engine {
                accelerators: 1,
                memory_mb: 80_000,
                checks_fencing: true,
            };
            self.set_endpoint(&format!("engine-{index}"), engine.address(), kind)
                .await;
        }
        self.report_engines().await;
    }

    /// Configures an endpoint.
    pub(crate) async fn set_endpoint(&self, name: &str, address: SocketAddr, kind: EndpointKind) {
        let spec = EndpointSpec {
            address: address.to_string(),
            domain: domain("a"),
            kind,
            draining: false,
        };
        self.change(Change::SetEndpoint(endpoint(name), spec)).await;
    }

    /// Adds engines that hold model `menu` and are draining.
    pub(crate) async fn add_draining_engines(&self, count: usize) {
        let held = |_| vec![(artifact("menu"), Version(1))];
        self.add_engines(count, true, held).await;
    }

    /// Configures `models` models and `adapters` adapters, and adds engines that hold a model each with its adapters.
    pub(crate) async fn add_other_engines(&self, count: usize, models: usize, adapters: usize) {
        for index in 0..models {
            let model = Model {
                version: Version(1),
                memory_mb: 1_000,
                max_output: 8,
            };
            let name = artifact(&format!("model-{index}"));
            self.change(Change::SetModel(name, model)).await;
        }
        for index in 0..adapters {
            let adapter = Adapter {
                base: artifact(&format!("model-{}", index % models)),
                version: Version(1),
                memory_mb: 1_000,
            };
            let name = artifact(&format!("adapter-{index}"));
            self.change(Change::SetAdapter(name, adapter)).await;
        }
        let held = |index: usize| {
            let own = (index % models..adapters).step_by(models);
            let own = own.map(|adapter| artifact(&format!("adapter-{adapter}")));
            let model = artifact(&format!("model-{}", index % models));
            let held = std::iter::once(model).chain(own);
            held.map(|name| (name, Version(1))).collect()
        };
        self.add_engines(count, false, held).await;
    }

    /// Adds engines on whose addresses nothing listens, and reports the copies that they hold.
    async fn add_engines(
        &self,
        count: usize,
        draining: bool,
        held: impl Fn(usize) -> Vec<(Artifact, Version)>,
    ) {
        let mut loaded = Vec::new();
        for index in 0..count {
            let name = endpoint(&format!("idle-{index}"));
            let spec = EndpointSpec {
                // Nothing listens on the ports below 1024 of a machine that runs tests.
                address: format!("127.0.0.1:{}", index + 1),
                domain: domain("a"),
                kind: EndpointKind::Engine {
                    accelerators: 1,
                    memory_mb: 80_000,
                    checks_fencing: true,
                },
                draining,
            };
            self.change(Change::SetEndpoint(name.clone(), spec)).await;
            loaded.push((name, EngineIncarnation(1), held(index)));
        }
        self.report(2, loaded).await;
    }

    /// Reports the copies that the engines hold.
    async fn report_engines(&self) {
        let copies = ["menu", "menu-kosher"].map(|name| (artifact(name), Version(1)));
        let engines = self.engines.iter().enumerate();
        let loaded = engines.map(|(index, engine)| {
            let incarnation = EngineIncarnation(engine.report().incarnation);
            (
                endpoint(&format!("engine-{index}")),
                incarnation,
                copies.to_vec(),
            )
        });
        self.report(1, loaded.collect()).await;
    }

    /// Appends the records of a keeper that joins, reports the copies that engines hold, and leaves.
    async fn report(&self, incarnation: u64, loaded: Vec<Loaded>) {
        let keeper = Member {
            vm: Vm::try_new("vm-0/keeper").unwrap(),
            incarnation: Incarnation(incarnation),
        };
        let join = Join {
            member: keeper.clone(),
            role: Role::Keeper,
            domain: domain("a"),
            peer_address: "127.0.0.1:1".to_owned(),
        };
        let author = Author::Member(keeper.clone());
        self.append(author.clone(), Record::Join(join)).await;
        self.append(author.clone(), Record::Lead(keeper.clone()))
            .await;
        for (endpoint, incarnation, loaded) in loaded {
            let report = Report {
                endpoint,
                incarnation,
                as_of: Offset(self.log.records(Stream::Control).1.len() as u64),
                loaded,
            };
            self.append(author.clone(), Record::Report(report)).await;
        }
        self.append(author, Record::Leave(keeper)).await;
    }

    /// Appends a configuration change.
    pub(crate) async fn change(&self, change: Change) {
        let author = Author::Operator("test".to_owned());
        self.append(author, Record::Change(change)).await;
    }

    /// Appends a record.
    pub(crate) async fn append(&self, author: Author, record: Record) {
        let bytes = self.entry(author, record);
        self.log.append(Stream::Control, vec![bytes]).await.unwrap();
    }

    /// Encodes a record as an entry with a new command id.
    pub(crate) fn entry(&self, author: Author, record: Record) -> Bytes {
        let number = {
            let mut commands = self.commands.lock().unwrap();
            *commands += 1;
            *commands
        };
        let entry = Entry {
            command: Command(0, number),
            author,
            expect: None,
            record,
        };
        Bytes::from(entry.to_bytes().unwrap())
    }

    /// Starts a gate and waits until it is ready.
    pub(crate) async fn gate(&self, vm: &str) -> Process {
        self.gate_with(vm, quick_gate()).await
    }

    /// Starts a gate with options and waits until it is ready.
    pub(crate) async fn gate_with(&self, vm: &str, options: Options) -> Process {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(WORKERS)
            .enable_all()
            .build()
            .unwrap();
        let log = self.log.handle(vm);
        let platform = Platform {
            log: log.clone(),
            engine: engine::Client::default(),
            vms: self.vms.clone(),
            memory: Memory::default(),
        };
        let listeners = Listeners {
            callers: "127.0.0.1:0".to_owned(),
            admin: "127.0.0.1:0".to_owned(),
            limits: server::Options {
                head_timeout: Duration::from_secs(2),
                ..server::Options::default()
            },
        };
        let start = Gate::try_start(platform, listeners, replica_options(vm), options);
        let gate = runtime.spawn(start).await.unwrap().unwrap();
        let process = Process {
            client: Client::new(gate.address()),
            admin: Client::new(gate.admin_address()),
            runtime: Some(runtime),
            gate: Some(gate),
            log,
        };
        process.wait_until_ready().await;
        process
    }

    /// Waits until as many gates have joined.
    pub(crate) async fn wait_until_joined(&self, count: usize) {
        wait_until(|| self.count_gates() >= count).await;
    }

    /// Returns the number of gates that have joined, according to the log.
    fn count_gates(&self) -> usize {
        let (_, records) = self.log.records(Stream::Control);
        let entries = records
            .iter()
            .filter_map(|bytes| Entry::from_bytes(bytes).ok());
        let is_gate =
            |entry: &Entry| matches!(&entry.record, Record::Join(join) if join.role == Role::Gate);
        entries.filter(is_gate).count()
    }

    /// Returns how many times an order was executed.
    pub(crate) fn executions(&self, order: &str) -> u32 {
        self.service.record().executions_of(order)
    }
}

/// Returns the options of a replica with short timeouts and intervals.
fn replica_options(vm: &str) -> replica::Options {
    let member = Member {
        vm: Vm::try_new(format!("{vm}/gate")).unwrap(),
        incarnation: Incarnation(rand::random()),
    };
    replica::Options {
        secret: "a secret of the tests".to_owned(),
        lease: Duration::from_secs(2),
        exchange_interval: Duration::from_millis(50),
        suspicion: Duration::from_millis(500),
        not_sent_after: Duration::from_millis(300),
        unknown_after: Duration::from_millis(1_500),
        ..replica::Options::new(member, Role::Gate, domain("a"), "127.0.0.1:0")
    }
}
