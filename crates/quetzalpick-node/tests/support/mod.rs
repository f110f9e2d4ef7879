//! A fleet of replicas in one process, with partitions, pauses and log outages, on the runtime's paused clock.

#![allow(dead_code)]

use std::future::poll_fn;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Poll, Waker};
use std::time::Duration;

use bytes::Bytes;
use quetzalpick_client::errors::{Result as CallResult, refused};
use quetzalpick_client::memory::Log;
use quetzalpick_client::traits::Stream;
use quetzalpick_core::id::{Command, Domain, Incarnation, Member, Offset, Revision, Vm, Workspace};
use quetzalpick_core::record::{Author, Change, Entry, Record, Role, WorkspaceSpec};
use quetzalpick_core::state::{Outcome, State};
use quetzalpick_core::table::Table;
use quetzalpick_node::errors::Result;
use quetzalpick_node::peer::{Application, Service, Transport};
use quetzalpick_node::replica::{Answer, Options, Replica};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// Path, body and answer channel of a call to a listener.
type Call = (String, Bytes, oneshot::Sender<Option<Bytes>>);

/// `Network` delivers calls between the processes, unless the direction is cut.
#[derive(Debug, Clone, Default)]
pub(crate) struct Network {
    listeners: Arc<Mutex<Table<String, mpsc::UnboundedSender<Call>>>>,
    cuts: Arc<Mutex<Vec<(String, String)>>>,
}

impl Network {
    /// Cuts or restores one direction; calls whose request or answer crosses a cut get no answer.
    pub(crate) fn set_cut(&self, from: &str, to: &str, cut: bool) {
        let row = (from.to_owned(), to.to_owned());
        let mut cuts = self.cuts.lock().unwrap();
        cuts.retain(|r| *r != row);
        if cut {
            cuts.push(row);
        }
    }

    fn is_cut(&self, from: &str, to: &str) -> bool {
        let cuts = self.cuts.lock().unwrap();
        cuts.iter().any(|(f, t)| f == from && t == to)
    }
}

/// `TestTransport` connects one process to the network.
#[derive(Debug, Clone)]
pub(crate) struct TestTransport {
    network: Network,
    address: String,
}

impl Transport for TestTransport {
    type Listener = mpsc::UnboundedReceiver<Call>;

    async fn call(&self, address: &str, path: &str, body: Bytes) -> CallResult<Bytes> {
        let listener = self.network.listeners.lock().unwrap().get(address).cloned();
        let (sender, receiver) = oneshot::channel();
        if self.network.is_cut(&self.address, address) {
            return std::future::pending().await;
        }
        let sent = listener.map(|l| l.send((path.to_owned(), body, sender)).is_ok());
        if sent != Some(true) {
            return Err(refused(address, 0, "nobody listens"));
        }
        let answer = receiver.await;
        if self.network.is_cut(address, &self.address) {
            return std::future::pending().await;
        }
        answer
            .ok()
            .flatten()
            .ok_or_else(|| refused(address, 404, "unknown"))
    }

    async fn bind(&self, address: &str) -> Result<(Self::Listener, String)> {
        let (sender, receiver) = mpsc::unbounded_channel();
        let mut listeners = self.network.listeners.lock().unwrap();
        listeners.insert(address.to_owned(), sender);
        Ok((receiver, address.to_owned()))
    }

    async fn serve(&self, mut calls: Self::Listener, service: impl Service, _: CancellationToken) {
        while let Some((path, body, answer)) = calls.recv().await {
            let _ = answer.send(service.answer(&path, body).await);
        }
    }
}

/// `Echo` answers calls to `/echo` with the caller's name and the body.
#[derive(Debug, Clone)]
pub(crate) struct Echo;

impl Application for Echo {
    async fn call(&self, from: &Member, path: &str, body: Bytes) -> Option<Bytes> {
        let body = String::from_utf8_lossy(&body).into_owned();
        (path == "/echo").then(|| Bytes::from(format!("{} sent {body}", from.vm)))
    }
}

/// `PauseSwitch` stops and resumes the polling of a process.
#[derive(Debug, Clone, Default)]
struct PauseSwitch {
    paused: Arc<AtomicBool>,
    waker: Arc<Mutex<Option<Waker>>>,
}

impl PauseSwitch {
    fn set(&self, paused: bool) {
        self.paused.store(paused, Ordering::Relaxed);
        if let Some(waker) = self.waker.lock().unwrap().take() {
            waker.wake();
        }
    }

    async fn run(self, work: impl Future<Output = ()> + Send) {
        let mut work: Pin<Box<dyn Future<Output = ()> + Send>> = Box::pin(work);
        poll_fn(|cx| {
            if self.paused.load(Ordering::Relaxed) {
                *self.waker.lock().unwrap() = Some(cx.waker().clone());
                return Poll::Pending;
            }
            work.as_mut().poll(cx)
        })
        .await;
    }
}

/// `Process` holds a running replica with its handles for fault injection.
pub(crate) struct Process {
    pub(crate) replica: Replica<Log, TestTransport>,
    pub(crate) log: Log,
    pub(crate) address: String,
    number: u64,
    pause: PauseSwitch,
    work: JoinHandle<()>,
}

impl Process {
    pub(crate) fn set_paused(&self, paused: bool) {
        self.pause.set(paused);
    }

    pub(crate) fn next(&self) -> u64 {
        self.replica.read(|state| state.next().0)
    }

    pub(crate) fn revision(&self) -> u64 {
        self.replica.read(|state| state.revision().0)
    }

    /// Submits a change that sets a workspace.
    pub(crate) async fn set(&self, name: &str, expect: Option<u64>) -> Answer {
        let author = Author::Operator("ada".to_owned());
        let command = self.replica.draw_command();
        let expect = expect.map(Revision);
        self.replica
            .submit_as(author, command, workspace(name), expect)
            .await
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.work.abort();
    }
}

/// Creates the record that sets a workspace.
pub(crate) fn workspace(name: &str) -> Record {
    let spec = WorkspaceSpec {
        rate: 10,
        burst: 10,
        artifacts: Vec::new(),
        services: Vec::new(),
    };
    Record::Change(Change::SetWorkspace(
        Workspace::try_new(name).unwrap(),
        spec,
    ))
}

/// `Fleet` holds the processes with the log and the network that they share.
pub(crate) struct Fleet {
    pub(crate) log: Log,
    pub(crate) network: Network,
    pub(crate) processes: Vec<Process>,
}

impl Fleet {
    /// Starts processes and waits until all of them are voters.
    pub(crate) async fn start(count: u64) -> Self {
        Self::start_with(count, |_| {}).await
    }

    /// Starts processes with changed options and waits until there are as many voters as the options allow.
    pub(crate) async fn start_with(count: u64, change: impl Fn(&mut Options)) -> Self {
        let mut fleet = Self {
            log: Log::new(),
            network: Network::default(),
            processes: Vec::new(),
        };
        for number in 0..count {
            fleet.spawn_with(number, 0, &change).await;
        }
        let mut options = fleet.options(0, 0);
        change(&mut options);
        let count = options.voters.min(fleet.processes.len());
        let voters = |p: &Process| p.replica.read(|s| s.roster().voters().len());
        for _ in 0..600 {
            if fleet.processes.iter().all(|p| voters(p) == count) {
                return fleet;
            }
            sleep(100).await;
        }
        panic!("not all processes became voters: {}", fleet.log_text());
    }

    /// Starts a process and returns its index; `incarnation` distinguishes starts of the same process.
    pub(crate) async fn spawn(&mut self, number: u64, incarnation: u64) -> usize {
        self.spawn_with(number, incarnation, |_| {}).await
    }

    /// Starts a process with changed options and returns its index.
    pub(crate) async fn spawn_with(
        &mut self,
        number: u64,
        incarnation: u64,
        change: impl FnOnce(&mut Options),
    ) -> usize {
        let mut options = self.options(number, incarnation);
        change(&mut options);
        let address = options.peer_address.clone();
        let log = self.log.handle(&format!("{number}"));
        let transport = self.transport(&address);
        let created = Replica::try_new(log.clone(), transport, options, Echo).await;
        let (replica, driver) = created.unwrap();
        let pause = PauseSwitch::default();
        let work = tokio::spawn(pause.clone().run(driver));
        self.processes.push(Process {
            replica,
            log,
            address,
            number,
            pause,
            work,
        });
        self.processes.len() - 1
    }

    /// Returns the options of a process.
    fn options(&self, number: u64, incarnation: u64) -> Options {
        let role = if number.is_multiple_of(2) {
            Role::Keeper
        } else {
            Role::Gate
        };
        let member = Member {
            vm: Vm::try_new(format!("vm-{number}/{role}")).unwrap(),
            incarnation: Incarnation(number * 1_000 + incarnation),
        };
        let address = format!("127.0.0.1:{}", 7000 + number);
        let domain = Domain::try_new(format!("d{}", number % 3)).unwrap();
        let mut options = Options::new(member, role, domain, &address);
        options.exchange_interval = Duration::from_millis(500);
        options.seed = number * 1_000 + incarnation;
        options.seeds = self.processes.iter().map(|p| p.address.clone()).collect();
        options
    }

    /// Returns a transport with an address on the network.
    pub(crate) fn transport(&self, address: &str) -> TestTransport {
        TestTransport {
            network: self.network.clone(),
            address: address.to_owned(),
        }
    }

    /// Ends a process without recording its departure.
    pub(crate) fn kill(&mut self, index: usize) {
        self.processes.remove(index);
    }

    /// Ends a process, after recording its departure if `planned`, and starts it again at the same index.
    pub(crate) async fn restart(&mut self, index: usize, incarnation: u64, planned: bool) {
        let number = self.processes[index].number;
        if planned {
            let _ = self.processes[index].replica.leave().await;
        }
        self.kill(index);
        let last = self.spawn(number, incarnation).await;
        let process = self.processes.remove(last);
        self.processes.insert(index, process);
    }

    /// Cuts or restores all connections between two sides.
    pub(crate) fn set_partition(&self, a: &[usize], b: &[usize], cut: bool) {
        for x in a {
            for y in b {
                let (x, y) = (&self.processes[*x].address, &self.processes[*y].address);
                self.network.set_cut(x, y, cut);
                self.network.set_cut(y, x, cut);
            }
        }
    }

    /// Returns which processes hold a lease.
    pub(crate) fn leased(&self) -> Vec<bool> {
        self.processes
            .iter()
            .map(|p| p.replica.is_leased())
            .collect()
    }

    /// Folds the complete log; `None` if its beginning was trimmed.
    pub(crate) fn fold(&self) -> Option<(State, Vec<(Entry, Outcome)>)> {
        let (first, records) = self.log.records(Stream::Control);
        let mut state = State::default();
        let mut entries = Vec::new();
        for (offset, bytes) in (0..).map(Offset).zip(&records) {
            let entry = Entry::from_bytes(bytes).unwrap();
            let outcome = state.apply(offset, &entry);
            entries.push((entry, outcome));
        }
        (first == Offset(0)).then_some((state, entries))
    }

    /// Formats the entries of the log with their outcomes, one per line.
    pub(crate) fn log_text(&self) -> String {
        let (_, entries) = self.fold().expect("the complete log");
        let line = |(offset, (entry, outcome)): (usize, &(Entry, Outcome))| {
            let author = match &entry.author {
                Author::Member(member) => member.to_string(),
                Author::Operator(name) => name.clone(),
            };
            let record = match &entry.record {
                Record::Join(join) => format!("Join({}, {})", join.member, join.role),
                // `Seat` is the serialised name of the record.
                Record::ChangeVoters(change) => format!("Seat({})", change.member),
                Record::Retire(r) => format!("Retire({}, {})", r.member, r.suspected),
                Record::Change(Change::SetWorkspace(name, _)) => format!("SetWorkspace({name})"),
                other => format!("{other:?}"),
            };
            format!("{offset} {author} {record}: {outcome:?}\n")
        };
        entries.iter().enumerate().map(line).collect()
    }
}

/// Advances the paused clock by `ms` milliseconds.
pub(crate) async fn sleep(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// Creates a command id that no process draws.
pub(crate) fn command(number: u64) -> Command {
    Command(u64::MAX, number)
}
