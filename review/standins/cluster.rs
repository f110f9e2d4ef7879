//! The programs under test: one process for each machine, started with the command of the deploy file.

use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::Call;
use crate::record::Record;

/// Number of machines: our users have 6 to 8.
pub const MACHINES: usize = 6;

/// Longest wait for the machines to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// `Machine` runs one process of the system.
pub struct Machine {
    pub name: String,
    /// Address for clients.
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: String,
    log: String,
    /// File with the ids of all processes that were started.
    pids: String,
    run: String,
    process: Mutex<Option<Child>>,
    is_up: AtomicBool,
    starts: Mutex<u32>,
}

impl Machine {
    /// Starts the process; what it writes goes to a log in the temporary folder.
    pub fn start(&self) {
        let mut starts = self.starts.lock().unwrap();
        *starts += 1;
        let log = File::create(format!("{}.{starts}.log", self.log)).expect("a log");
        let errors = log.try_clone().expect("a log");
        let mut words = self.run.split(' ');
        let program = words.next().expect("a program");
        let child = Command::new(program)
            .args(words)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("QUETZALPICK_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the program was built");
        self.note(child.id());
        *self.process.lock().unwrap() = Some(child);
        self.is_up.store(true, Ordering::SeqCst);
    }

    /// Notes the id of a process for the script, which ends it if this program cannot.
    fn note(&self, id: u32) {
        let mut pids = OpenOptions::new().append(true).create(true).open(&self.pids).expect("a list");
        let _ = writeln!(pids, "{id}");
    }

    /// Kills the process.
    pub fn kill(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        if let Some(mut child) = self.process.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal, `STOP` or `CONT`, to the process.
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &*self.process.lock().unwrap() {
            let command = format!("kill -{signal} {}", child.id());
            let _ = Command::new("sh").args(["-c", &command]).status();
        }
    }

    pub fn is_up(&self) -> bool {
        self.is_up.load(Ordering::SeqCst)
    }

    fn is_ready(&self) -> bool {
        let call = Call {
            method: "GET",
            path: "/readyz",
            key: "",
            deadline_ms: 1_000,
            lines: String::new(),
            body: "",
        };
        call.send(self.ready).status == Ok(200)
    }
}

/// `Cluster` owns the machines and ends their processes when it is dropped.
pub struct Cluster {
    pub machines: Arc<Vec<Machine>>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.machines.iter().for_each(Machine::kill);
        // All have ended: the script has nothing left to end.
        let _ = self.machines.first().map(|machine| fs::remove_file(&machine.pids));
    }
}

impl Cluster {
    /// Starts the machines before a store and waits until they are ready.
    pub fn start(store: SocketAddr, temporary: &str, record: &Record) -> Result<Self, String> {
        let machines = (1..=MACHINES).map(|number| new_machine(number, store, temporary));
        let machines = machines.collect::<Result<Vec<Machine>, String>>()?;
        let cluster = Self {
            machines: Arc::new(machines),
        };
        cluster.machines.iter().for_each(Machine::start);
        let began = Instant::now();
        while !cluster.machines.iter().all(Machine::is_ready) {
            if began.elapsed() > READY_TIMEOUT {
                return Err("the machines did not become ready".to_owned());
            }
            thread::sleep(Duration::from_millis(100));
        }
        record.line(&format!("machines={MACHINES} ready"));
        Ok(cluster)
    }

    pub fn machine(&self, name: &str) -> Option<&Machine> {
        self.machines.iter().find(|machine| machine.name == name)
    }
}

/// Returns a value that the deploy file names.
fn deploy_value(name: &str) -> Result<String, String> {
    let text = fs::read_to_string("deploy/system.toml").map_err(|error| error.to_string())?;
    let line = text.lines().find_map(|line| {
        let (key, value) = line.split_once('=')?;
        (key.trim() == name).then(|| value.trim().trim_matches('"').to_owned())
    });
    line.ok_or_else(|| format!("the deploy file has no {name}"))
}

/// Prepares a machine: its settings are the template of the deploy file, filled in like those of a small deployment.
fn new_machine(number: usize, store: SocketAddr, temporary: &str) -> Result<Machine, String> {
    let name = format!("front-{number}");
    let [front, ready, peers] = free_addresses();
    let template = fs::read_to_string(deploy_value("template")?).map_err(|e| e.to_string())?;
    let values = [
        ("node", name.clone()),
        ("zone", "a".to_owned()),
        ("ip", "127.0.0.1".to_owned()),
        ("limits.cpu_share", "0.25".to_owned()),
        ("platform.address", store.to_string()),
        ("listen.front", front.to_string()),
        ("listen.ready", ready.to_string()),
        ("port_range.0", peers.port().to_string()),
        ("bounds.revoke_ms", "5000".to_owned()),
        ("bounds.grace_s", "8".to_owned()),
        ("bounds.budget_slack", "56".to_owned()),
        ("bounds.budget_window_s", "10".to_owned()),
        ("bounds.quota_slack", "7500".to_owned()),
        ("bounds.quota_over", "0.1".to_owned()),
        ("bounds.quota_window_s", "8".to_owned()),
    ];
    let mut text = template;
    for (key, value) in values {
        text = text.replace(&format!("{{{{{key}}}}}"), &value);
    }
    if text.contains("{{") {
        return Err("the template has a placeholder that the case does not fill in".to_owned());
    }
    let settings = format!("{temporary}/{name}.toml");
    fs::write(&settings, text).map_err(|error| error.to_string())?;
    Ok(Machine {
        log: format!("{temporary}/{name}"),
        pids: format!("{temporary}/pids"),
        name,
        front,
        ready,
        settings,
        run: deploy_value("run")?,
        process: Mutex::new(None),
        is_up: AtomicBool::new(false),
        starts: Mutex::new(0),
    })
}

/// Returns free loopback addresses, from ports that the system gives to no outgoing connection meanwhile.
fn free_addresses() -> [SocketAddr; 3] {
    const FIRST: u32 = 20_000;
    const COUNT: u32 = 12_000;
    static TRIED: AtomicU32 = AtomicU32::new(0);
    [(); 3].map(|()| {
        loop {
            let tried = std::process::id() * 131 + TRIED.fetch_add(1, Ordering::SeqCst);
            let port = u16::try_from(FIRST + tried % COUNT).expect("a port");
            let address = SocketAddr::from(([127, 0, 0, 1], port));
            if TcpListener::bind(address).is_ok() {
                return address;
            }
        }
    })
}
