//! Three VMs with a gate and a keeper each, two engines, a service and the platform.

use std::fmt::Write as _;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::sync::{Mutex, MutexGuard};

use super::caller::Caller;
use super::process::{Process, binary, free_address};

/// VMs of the system.
pub(crate) const VMS: usize = 3;

/// Longest wait for the system to start.
const START: Duration = Duration::from_secs(20);

/// Starts of one process with other ports, as another program may take a free one first.
const STARTS_MAX: usize = 5;

const TOKEN: &str = "operator-token-of-the-tests";

/// Lets one system run at a time, as each is a dozen processes.
static ALONE: Mutex<()> = Mutex::const_new(());

/// Systems started by this process, for the names of their folders.
static STARTED: AtomicUsize = AtomicUsize::new(0);

/// `Settings` is what tests set up differently.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Settings {
    /// Time of a token at the engines, in microseconds.
    pub(crate) token_us: u32,
    /// Time of a booking, in milliseconds.
    pub(crate) work_ms: u32,
    /// How long the leases of gates and keepers last, in milliseconds.
    pub(crate) lease_ms: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            token_us: 2_000,
            work_ms: 5,
            lease_ms: 5_000,
        }
    }
}

/// `System` is everything that runs.
pub(crate) struct System {
    pub(crate) platform: Process,
    pub(crate) engines: Vec<Process>,
    pub(crate) service: Process,
    pub(crate) gates: Vec<Process>,
    pub(crate) keepers: Vec<Process>,
    /// Caller of the workspace `lagos`.
    pub(crate) lagos: Caller,
    lease_ms: u32,
    dir: PathBuf,
    _alone: MutexGuard<'static, ()>,
}

/// `Ctl` is the outcome of a line of the operators' language.
#[derive(Debug)]
pub(crate) struct Ctl {
    pub(crate) code: i32,
    pub(crate) reply: Value,
    /// What it wrote to its standard error.
    pub(crate) errors: String,
}

impl System {
    /// Starts a system that serves the model `menu` and the service `bookings` to the workspace `lagos`.
    pub(crate) async fn start(settings: Settings) -> Self {
        let alone = ALONE.lock().await;
        let number = STARTED.fetch_add(1, Ordering::Relaxed);
        let name = format!("system-{}-{number}", std::process::id());
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&dir).unwrap();
        let standin = async |name: &str, line: String| {
            let arguments: Vec<String> = line.split(' ').map(str::to_owned).collect();
            let mut process = Process::start(&dir, name, "quetzalpick-standin", &arguments);
            let out = dir.join(format!("{name}.out"));
            let address = || {
                let text = std::fs::read_to_string(&out).unwrap();
                let address = text.lines().find_map(|l| l.strip_prefix("listening on "));
                address.map(str::to_owned)
            };
            until(name, START, async || address().is_some()).await;
            process.address = address().unwrap();
            process
        };
        let speed = "--loads-per-second 20 --loads-at-full-speed 8";
        let platform = standin("platform", format!("platform {speed}")).await;
        let mut engines = Vec::new();
        for n in 0..2 {
            let (at, token) = (&platform.address, settings.token_us);
            let line = format!(
                "engine --name engine-{n} --platform {at} --memory-mb 20000 --token-us {token}"
            );
            engines.push(standin(&format!("engine-{n}"), line).await);
        }
        let line = format!("service --name desk --work-ms {}", settings.work_ms);
        let service = standin("desk", line).await;
        let mut system = Self {
            platform,
            engines,
            service,
            gates: Vec::new(),
            keepers: Vec::new(),
            lagos: Caller::new(""),
            lease_ms: settings.lease_ms,
            dir,
            _alone: alone,
        };
        for n in 0..VMS {
            let gate = system.start_process("gate", n).await;
            system.gates.push(gate);
            let keeper = system.start_process("keeper", n).await;
            system.keepers.push(keeper);
        }
        system.configure().await;
        system
    }

    /// Starts a gate or keeper, and waits until it is ready.
    async fn start_process(&self, role: &str, n: usize) -> Process {
        for _ in 0..STARTS_MAX {
            let [listen, peer, metrics] = [(); 3].map(|()| free_address());
            let path = self.dir.join(format!("{role}-{n}.toml"));
            std::fs::write(&path, self.settings(role, n, &listen, &peer, &metrics)).unwrap();
            let arguments = ["--settings".to_owned(), path.display().to_string()];
            let (name, program) = (format!("{role}-{n}"), format!("quetzalpick-{role}"));
            let mut process = Process::start(&self.dir, &name, &program, &arguments);
            process.address = listen;
            let (caller, deadline) = (Caller::new(""), Instant::now() + START);
            while process.ended().is_none() {
                let answer = caller.get(&metrics, "/readyz").await;
                if answer.is_some_and(|answer| answer.status == 200) {
                    return process;
                }
                assert!(Instant::now() < deadline, "{name} is not ready");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        panic!("{role}-{n} does not start: {}", self.log(role, n));
    }

    fn log(&self, role: &str, n: usize) -> String {
        std::fs::read_to_string(self.dir.join(format!("{role}-{n}.log"))).unwrap_or_default()
    }

    fn settings(&self, role: &str, n: usize, listen: &str, peer: &str, metrics: &str) -> String {
        let (platform, lease_ms) = (&self.platform.address, self.lease_ms);
        let mut text = format!(
            "[vm]\nname = \"vm-{n}\"\ndomain = \"domain-{n}\"\n\
             [platform]\nlog = \"{platform}\"\nvms = \"{platform}\"\n\
             [peers]\nlisten = \"{peer}\"\naddress = \"{peer}\"\nsecret = \"secret-of-the-tests\"\nlease_ms = {lease_ms}\n\
             [metrics]\nlisten = \"{metrics}\"\n"
        );
        let section = match role {
            "gate" => format!("[callers]\nlisten = \"{listen}\"\ngrace_ms = 200\n"),
            _ => format!(
                "[operator]\nlisten = \"{listen}\"\ngrace_ms = 200\ntokens = {{ tester = \"{TOKEN}\" }}\n\
                 [place]\nloads_per_s = 20\nloads_in_flight = 8\n"
            ),
        };
        text.write_str(&section).unwrap();
        text
    }

    /// Creates what callers use, and waits until each gate serves it and every member votes.
    async fn configure(&mut self) {
        let mut lines = Vec::new();
        for (n, engine) in self.engines.iter().enumerate() {
            let at = &engine.address;
            lines.push(format!(
                "create engine engine-{n} at {at} domain domain-{n} memory 20000 fencing yes"
            ));
        }
        let desk = &self.service.address;
        lines.extend([
            "create model menu version 1 memory 6000 max-output 4000".to_owned(),
            "place menu copies 2..2".to_owned(),
            "create service bookings charge 1".to_owned(),
            format!("create instance desk of bookings at {desk} domain domain-0"),
            "route bookings POST /bookings closed once".to_owned(),
            "create workspace lagos rate 100000 burst 1000000".to_owned(),
        ]);
        for line in lines {
            self.change(&line).await;
        }
        self.lagos = Caller::new(&self.key("planner", "lagos").await);
        until("every member votes", START, async || {
            let vms = self.rows("show vms");
            let votes = vms.iter().filter(|row| row[4] == true);
            votes.count() == 2 * VMS
        })
        .await;
        let copies = || self.rows("show loaded of menu").len();
        until("menu is loaded", START, async || copies() == 2).await;
        for gate in &self.gates {
            self.until_served(&gate.address, &self.lagos, START).await;
        }
    }

    /// Carries out a line at all keepers in turn until one takes it, or at one of them.
    pub(crate) fn ctl(&self, keeper: Option<usize>, options: &[&str], line: &str) -> Ctl {
        Ctl::of(&self.ctl_command(keeper, options, line).output().unwrap())
    }

    /// Builds the command that carries out a line.
    pub(crate) fn ctl_command(
        &self,
        keeper: Option<usize>,
        options: &[&str],
        line: &str,
    ) -> Command {
        let all: Vec<&str> = self.keepers.iter().map(|k| k.address.as_str()).collect();
        let servers = keeper.map_or_else(|| all.join(","), |n| all[n].to_owned());
        let mut command = Command::new(binary("quetzalpick-ctl"));
        command.env("QUETZALPICK_TOKEN", TOKEN);
        command.args(["--server", &servers, "--output", "json"]);
        command.args(options).args(line.split(' '));
        command
    }

    /// Carries out a change that has to be accepted; it is repeated only while it is not sent.
    pub(crate) async fn change(&self, line: &str) {
        let deadline = Instant::now() + START;
        loop {
            let ctl = self.ctl(None, &[], line);
            match ctl.code {
                0 => return,
                3 => assert!(Instant::now() < deadline, "{line}: {ctl:?}"),
                code => panic!("{line}: exit code {code}: {}", ctl.errors),
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Creates a key.
    pub(crate) async fn key(&self, name: &str, workspace: &str) -> String {
        let line = format!("create key {name} for {workspace}");
        let output = self.ctl_command(None, &[], &line).output().unwrap();
        // The reply goes before the key, each as one JSON object a line.
        let text = String::from_utf8_lossy(&output.stdout);
        let mut lines = text.lines().map(serde_json::from_str::<Value>);
        let key = lines.find_map(|value| Some(value.ok()?["key"].as_str()?.to_owned()));
        key.unwrap_or_else(|| panic!("{line}: {output:?}"))
    }

    /// Returns the rows of a table, none if no keeper answers.
    pub(crate) fn rows(&self, line: &str) -> Vec<Value> {
        let ctl = self.ctl(None, &[], line);
        let rows = ctl.reply["table"]["rows"].as_array();
        rows.cloned().unwrap_or_default()
    }

    /// Waits until a gate serves a caller.
    pub(crate) async fn until_served(&self, gate: &str, caller: &Caller, within: Duration) {
        until("the gate serves", within, async || {
            let answer = caller.chat(gate, "Ready?", false).await;
            answer.is_some_and(|answer| answer.status == 200)
        })
        .await;
    }

    /// Turns a fault of the log service on, or all of them off.
    pub(crate) async fn log_outage(&self, on: bool) {
        let (path, body) = match on {
            true => (
                "/admin/fault",
                json!({ "fault": "outage", "path": "/streams" }),
            ),
            false => ("/admin/clear", json!({})),
        };
        let answer = self.lagos.post(&self.platform.address, path, &body).await;
        assert!(answer.unwrap().status < 300);
    }

    /// Returns what a stand-in recorded.
    pub(crate) async fn record(&self, standin: &Process) -> Value {
        let answer = self.lagos.get(&standin.address, "/admin/record").await;
        serde_json::from_str(&answer.unwrap().body).unwrap()
    }

    /// Returns how often each order ran.
    pub(crate) async fn orders(&self) -> Vec<(String, u64)> {
        let record = self.record(&self.service).await;
        let rows = record["executions"].as_array().unwrap().iter();
        let row = |row: &Value| {
            (
                row[0].as_str().unwrap().to_owned(),
                row[1].as_u64().unwrap(),
            )
        };
        rows.map(row).collect()
    }
}

impl Drop for System {
    fn drop(&mut self) {
        // The files of a failed test are kept to be read.
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

impl Ctl {
    /// Reads what the client printed.
    pub(crate) fn of(output: &Output) -> Self {
        let text = String::from_utf8_lossy(&output.stdout);
        let reply = text
            .lines()
            .find_map(|line| serde_json::from_str(line).ok());
        Self {
            code: output.status.code().unwrap_or(-1),
            reply: reply.unwrap_or_default(),
            errors: String::from_utf8_lossy(&output.stderr).into_owned(),
        }
    }
}

/// Waits until something holds.
pub(crate) async fn until(what: &str, within: Duration, holds: impl AsyncFn() -> bool) {
    let deadline = Instant::now() + within;
    while !holds().await {
        assert!(Instant::now() < deadline, "not in time: {what}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
