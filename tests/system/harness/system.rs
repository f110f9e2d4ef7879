//! A system of three VMs with a gate and a keeper each, two engines, a service and the platform.

use std::fmt::Write as _;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::sync::{Mutex, MutexGuard};

use super::caller::Caller;
use crate::valve::Valve;

use super::process::{Process, binary, free_address};

/// Number of VMs in the system.
pub(crate) const VMS: usize = 3;

/// Timeout of each step of starting the system.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum attempts to start one process, each with new ports, because another program may bind a free port first.
const MAX_START_ATTEMPTS: usize = 5;

/// Token of the operator.
const OPERATOR_TOKEN: &str = "operator-token-of-the-tests";

/// Allows one system at a time, because each runs a dozen processes.
static SYSTEM_LOCK: Mutex<()> = Mutex::const_new(());

/// Number of systems started by this process, used in the names of their directories.
static SYSTEMS_STARTED: AtomicUsize = AtomicUsize::new(0);

/// `Settings` holds the values that differ between tests.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Settings {
    /// Time that engines take per token, in microseconds.
    pub(crate) token_us: u32,
    /// Time that the service takes per booking, in milliseconds.
    pub(crate) work_ms: u32,
    /// Duration of the leases of gates and keepers, in milliseconds.
    pub(crate) lease_ms: u32,
    /// Further settings of gates for their callers.
    pub(crate) callers: &'static str,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            token_us: 2_000,
            work_ms: 5,
            lease_ms: 5_000,
            callers: "",
        }
    }
}

/// `System` owns the processes of one running system and kills them on drop.
pub(crate) struct System {
    pub(crate) platform: Process,
    pub(crate) engines: Vec<Process>,
    pub(crate) service: Process,
    pub(crate) gates: Vec<Process>,
    pub(crate) keepers: Vec<Process>,
    /// Caller with a key of the workspace `lagos`.
    pub(crate) lagos: Caller,
    lease_ms: u32,
    callers: &'static str,
    dir: PathBuf,
    _lock: MutexGuard<'static, ()>,
}

/// `CtlOutput` holds the exit code, reply and errors of one run of `quetzalpick-ctl`.
#[derive(Debug)]
pub(crate) struct CtlOutput {
    pub(crate) code: i32,
    pub(crate) reply: Value,
    /// Text on standard error.
    pub(crate) stderr: String,
}

impl System {
    /// Starts a system that serves the model `menu` and the service `bookings` to the workspace `lagos`.
    pub(crate) async fn start(settings: Settings) -> Self {
        Self::start_behind(settings, None).await
    }

    /// Starts a system whose engines and service are behind a valve.
    pub(crate) async fn start_behind(settings: Settings, valve: Option<&Valve>) -> Self {
        let lock = SYSTEM_LOCK.lock().await;
        let number = SYSTEMS_STARTED.fetch_add(1, Ordering::Relaxed);
        let name = format!("system-{}-{number}", std::process::id());
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&dir).unwrap();
        let start_standin = async |name: &str, line: String| {
            let arguments: Vec<String> = line.split(' ').map(str::to_owned).collect();
            let mut process = Process::start(&dir, name, "quetzalpick-standin", &arguments);
            let output = dir.join(format!("{name}.out"));
            let address = || {
                let text = std::fs::read_to_string(&output).unwrap();
                let address = text.lines().find_map(|l| l.strip_prefix("listening on "));
                address.map(str::to_owned)
            };
            wait_until(name, START_TIMEOUT, async || address().is_some()).await;
            process.address = address().unwrap();
            if let Some(valve) = valve.filter(|_| name != "platform") {
                let address = process.address.parse().unwrap();
                process.address = valve.start(address).await.to_string();
            }
            process
        };
        let load_limits = "--loads-per-second 20 --loads-at-full-speed 8";
        let platform = start_standin("platform", format!("platform {load_limits}")).await;
        let mut engines = Vec::new();
        for n in 0..2 {
            let (address, token_us) = (&platform.address, settings.token_us);
            let line = format!(
                "engine --name engine-{n} --platform {address} --memory-mb 20000 --token-us {token_us}"
            );
            engines.push(start_standin(&format!("engine-{n}"), line).await);
        }
        let line = format!("service --name desk --work-ms {}", settings.work_ms);
        let service = start_standin("desk", line).await;
        let mut system = Self {
            platform,
            engines,
            service,
            gates: Vec::new(),
            keepers: Vec::new(),
            lagos: Caller::new(""),
            lease_ms: settings.lease_ms,
            callers: settings.callers,
            dir,
            _lock: lock,
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

    /// Starts a gate or keeper and waits until it is ready.
    async fn start_process(&self, role: &str, n: usize) -> Process {
        for _ in 0..MAX_START_ATTEMPTS {
            let [listen, peer, metrics] = [(); 3].map(|()| free_address());
            let path = self.dir.join(format!("{role}-{n}.toml"));
            std::fs::write(&path, self.settings(role, n, &listen, &peer, &metrics)).unwrap();
            let arguments = ["--settings".to_owned(), path.display().to_string()];
            let (name, program) = (format!("{role}-{n}"), format!("quetzalpick-{role}"));
            let mut process = Process::start(&self.dir, &name, &program, &arguments);
            process.address = listen;
            let (caller, deadline) = (Caller::new(""), Instant::now() + START_TIMEOUT);
            while process.exit_status().is_none() {
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

    /// Returns the log of a gate or keeper.
    fn log(&self, role: &str, n: usize) -> String {
        std::fs::read_to_string(self.dir.join(format!("{role}-{n}.log"))).unwrap_or_default()
    }

    /// Builds the settings file of a gate or keeper.
    fn settings(&self, role: &str, n: usize, listen: &str, peer: &str, metrics: &str) -> String {
        let (platform, lease_ms) = (&self.platform.address, self.lease_ms);
        let mut text = format!(
            "[vm]\nname = \"vm-{n}\"\ndomain = \"domain-{n}\"\n\
             [platform]\nlog = \"{platform}\"\nvms = \"{platform}\"\n\
             [peers]\nlisten = \"{peer}\"\naddress = \"{peer}\"\nsecret = \"secret-of-the-tests\"\nlease_ms = {lease_ms}\n\
             [metrics]\nlisten = \"{metrics}\"\n"
        );
        let section = match role {
            "gate" => format!(
                "[callers]\nlisten = \"{listen}\"\ngrace_ms = 200\n{}\n",
                self.callers
            ),
            _ => format!(
                "[operator]\nlisten = \"{listen}\"\ngrace_ms = 200\ntokens = {{ tester = \"{OPERATOR_TOKEN}\" }}\n\
                 [place]\nloads_per_s = 20\nloads_in_flight = 8\n"
            ),
        };
        text.write_str(&section).unwrap();
        text
    }

    /// Creates the model, service and workspace of the tests, and waits until each gate serves them and every member votes.
    async fn configure(&mut self) {
        let mut lines = Vec::new();
        for (n, engine) in self.engines.iter().enumerate() {
            let address = &engine.address;
            lines.push(format!(
                "create engine engine-{n} at {address} domain domain-{n} memory 20000 fencing yes"
            ));
        }
        let service = &self.service.address;
        lines.extend([
            "create model menu version 1 memory 6000 max-output 4000".to_owned(),
            "place menu copies 2..2".to_owned(),
            "create service bookings charge 1".to_owned(),
            format!("create instance desk of bookings at {service} domain domain-0"),
            "route bookings POST /bookings closed once".to_owned(),
            "create workspace lagos rate 100000 burst 1000000".to_owned(),
        ]);
        for line in lines {
            self.change(&line).await;
        }
        self.lagos = Caller::new(&self.key("planner", "lagos").await);
        wait_until("every member votes", START_TIMEOUT, async || {
            let vms = self.rows("show vms");
            let voters = vms.iter().filter(|row| row[4] == true);
            voters.count() == 2 * VMS
        })
        .await;
        let copies = || self.rows("show loaded of menu").len();
        wait_until("menu is loaded", START_TIMEOUT, async || copies() == 2).await;
        for gate in &self.gates {
            self.wait_until_served(&gate.address, &self.lagos, START_TIMEOUT)
                .await;
        }
    }

    /// Runs a line at the given keeper, or at the first reachable one.
    pub(crate) fn ctl(&self, keeper: Option<usize>, options: &[&str], line: &str) -> CtlOutput {
        CtlOutput::parse(&self.ctl_command(keeper, options, line).output().unwrap())
    }

    /// Builds the process that runs a line.
    pub(crate) fn ctl_command(
        &self,
        keeper: Option<usize>,
        options: &[&str],
        line: &str,
    ) -> Command {
        let all: Vec<&str> = self.keepers.iter().map(|k| k.address.as_str()).collect();
        let servers = keeper.map_or_else(|| all.join(","), |n| all[n].to_owned());
        let mut command = Command::new(binary("quetzalpick-ctl"));
        command.env("QUETZALPICK_TOKEN", OPERATOR_TOKEN);
        command.args(["--server", &servers, "--output", "json"]);
        command.args(options).args(line.split(' '));
        command
    }

    /// Runs a change that must be accepted; it is retried only while it was not sent.
    pub(crate) async fn change(&self, line: &str) {
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            let output = self.ctl(None, &[], line);
            match output.code {
                0 => return,
                3 => assert!(Instant::now() < deadline, "{line}: {output:?}"),
                code => panic!("{line}: exit code {code}: {}", output.stderr),
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Creates a key for callers of a workspace and returns it.
    pub(crate) async fn key(&self, name: &str, workspace: &str) -> String {
        let line = format!("create key {name} for {workspace}");
        let output = self.ctl_command(None, &[], &line).output().unwrap();
        // The reply is printed before the key, each as one JSON object per line.
        let text = String::from_utf8_lossy(&output.stdout);
        let mut lines = text.lines().map(serde_json::from_str::<Value>);
        let key = lines.find_map(|value| Some(value.ok()?["key"].as_str()?.to_owned()));
        key.unwrap_or_else(|| panic!("{line}: {output:?}"))
    }

    /// Returns the rows of a table, or none if no keeper answers.
    pub(crate) fn rows(&self, line: &str) -> Vec<Value> {
        let output = self.ctl(None, &[], line);
        let rows = output.reply["table"]["rows"].as_array();
        rows.cloned().unwrap_or_default()
    }

    /// Waits until a gate answers a caller with status 200.
    pub(crate) async fn wait_until_served(&self, gate: &str, caller: &Caller, within: Duration) {
        wait_until("the gate serves", within, async || {
            let answer = caller.chat(gate, "Ready?", false).await;
            answer.is_some_and(|answer| answer.status == 200)
        })
        .await;
    }

    /// Starts an outage of the log service, or clears all faults.
    pub(crate) async fn set_log_outage(&self, on: bool) {
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

    /// Returns the execution record of a stand-in.
    pub(crate) async fn record(&self, standin: &Process) -> Value {
        let answer = self.lagos.get(&standin.address, "/admin/record").await;
        serde_json::from_str(&answer.unwrap().body).unwrap()
    }

    /// Returns each order with the number of times it was executed.
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
        // The files of a failed test are kept for inspection.
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

impl CtlOutput {
    /// Parses the exit code and output of the client.
    pub(crate) fn parse(output: &Output) -> Self {
        let text = String::from_utf8_lossy(&output.stdout);
        let reply = text
            .lines()
            .find_map(|line| serde_json::from_str(line).ok());
        Self {
            code: output.status.code().unwrap_or(-1),
            reply: reply.unwrap_or_default(),
            stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
        }
    }
}

/// Polls a condition until it is true, and panics after a timeout.
pub(crate) async fn wait_until(
    description: &str,
    within: Duration,
    condition: impl AsyncFn() -> bool,
) {
    let deadline = Instant::now() + within;
    while !condition().await {
        assert!(Instant::now() < deadline, "not in time: {description}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
