//! Starts the program of the deploy file as a separate process.

use std::fs::{self, File};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// A machine of a small deployment, as far as the settings tell it.
pub struct Machine<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    /// `limits.cpu_share` and `limits.memory_mb` of its class.
    pub cpu_share: f64,
    pub memory_mb: u64,
}

/// A running program, which is killed on drop.
pub struct Program {
    pub child: Child,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    log: PathBuf,
}

impl Program {
    /// Starts the program with the template of the settings filled in, and waits until it listens.
    pub fn start(folder: &Path, machine: &Machine, store: SocketAddr) -> io::Result<Self> {
        let Machine {
            name,
            zone,
            cpu_share,
            memory_mb,
        } = machine;
        let template = fs::read_to_string("deploy/settings.toml")?;
        let any = "127.0.0.1:0".to_owned();
        let values: [(&str, String); 15] = [
            ("node", (*name).to_owned()),
            ("zone", (*zone).to_owned()),
            ("limits.cpu_share", cpu_share.to_string()),
            ("platform.address", store.to_string()),
            ("listen.front", any.clone()),
            ("listen.ready", any),
            ("ip", "127.0.0.1".to_owned()),
            ("port_range.0", "0".to_owned()),
            ("bounds.revoke_ms", "5000".to_owned()),
            ("bounds.grace_s", "8".to_owned()),
            ("bounds.budget_slack", "56".to_owned()),
            ("bounds.budget_window_s", "10".to_owned()),
            ("bounds.quota_slack", "7500".to_owned()),
            ("bounds.quota_over", "0.1".to_owned()),
            ("bounds.quota_window_s", "8".to_owned()),
        ];
        let text = values.iter().fold(template, |text, (key, value)| {
            text.replace(&format!("{{{{{key}}}}}"), value)
        });
        let settings = folder.join(format!("{name}.toml"));
        let log = folder.join(format!("{name}.log"));
        fs::write(&settings, text)?;
        let child = Command::new("target/release/quetzalpick-platform")
            .env("QUETZALPICK_SETTINGS", &settings)
            .env("MEMORY_MB", memory_mb.to_string())
            .env("EVACUATION_MS", "")
            .stdin(Stdio::null())
            .stdout(File::create(&log)?)
            .spawn()?;
        let mut program = Self {
            child,
            callers: SocketAddr::from(([127, 0, 0, 1], 0)),
            ready: SocketAddr::from(([127, 0, 0, 1], 0)),
            log,
        };
        let line = program.wait_for_line("entry: started", Duration::from_secs(10))?;
        let address = |field: &str| {
            let rest = line.split(field).nth(1)?;
            rest.split_whitespace().next()?.parse().ok()
        };
        let missing = || io::Error::other(format!("no address in {line:?}"));
        program.callers = address("callers=").ok_or_else(missing)?;
        program.ready = address("admin=").ok_or_else(missing)?;
        Ok(program)
    }

    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub fn wait_for_line(&self, part: &str, limit: Duration) -> io::Result<String> {
        let until = Instant::now() + limit;
        loop {
            let log = self.log();
            if let Some(line) = log.lines().find(|line| line.contains(part)) {
                return Ok(line.to_owned());
            }
            if Instant::now() >= until {
                return Err(io::Error::other(format!("no line with {part:?} in {log}")));
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Returns how the process ended, if it did.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok()?;
        status.map(|status| status.to_string())
    }

    /// Returns the present and the largest resident memory so far, in kB.
    pub fn memory_kb(&self) -> Option<(u64, u64)> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let field = |name: &str| {
            let line = status.lines().find(|line| line.starts_with(name))?;
            line.split_whitespace().nth(1)?.parse().ok()
        };
        Some((field("VmRSS:")?, field("VmHWM:")?))
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
