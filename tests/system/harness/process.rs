//! Child processes that are killed when dropped.

use std::fs::File;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// `Process` holds a running program and the address it listens on.
pub(crate) struct Process {
    pub(crate) name: String,
    pub(crate) address: String,
    child: Child,
}

impl Process {
    /// Starts a program and writes its output to files named after the process.
    pub(crate) fn start(dir: &Path, name: &str, program: &str, arguments: &[String]) -> Self {
        let file = |kind: &str| File::create(dir.join(format!("{name}.{kind}"))).unwrap();
        let child = Command::new(binary(program))
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(file("out"))
            .stderr(file("log"))
            .spawn()
            .unwrap();
        Self {
            name: name.to_owned(),
            address: String::new(),
            child,
        }
    }

    /// Returns the exit status if the process has exited.
    pub(crate) fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().unwrap()
    }

    /// Returns the peak of the resident memory, in kB; the process must be running.
    pub(crate) fn peak_kb(&mut self) -> u64 {
        assert!(self.exit_status().is_none(), "{} has ended", self.name);
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).unwrap();
        let peak = status.lines().find(|line| line.starts_with("VmHWM:"));
        let peak_kb = peak.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
        peak_kb.unwrap()
    }

    /// Sends a signal to the process, which must be running: the id of a process that was waited for may be reused.
    pub(crate) fn signal(&mut self, signal: Signal) {
        assert!(self.exit_status().is_none(), "{} has ended", self.name);
        let pid = Pid::from_raw(i32::try_from(self.child.id()).unwrap());
        kill(pid, signal).unwrap();
    }

    /// Waits until the process exits, without killing it.
    pub(crate) async fn wait_for_exit(&mut self, within: Duration) -> ExitStatus {
        let deadline = Instant::now() + within;
        loop {
            if let Some(status) = self.exit_status() {
                return status;
            }
            assert!(Instant::now() < deadline, "{} does not end", self.name);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Kills the process and waits for its exit.
    pub(crate) fn kill(&mut self) {
        // Killing fails if the process has already exited, which is fine.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the path of a program of this Cargo workspace, which is in the parent of the test binary's directory.
pub(crate) fn binary(program: &str) -> PathBuf {
    let test_binary = std::env::current_exe().unwrap();
    let path = test_binary
        .parent()
        .unwrap()
        .parent()
        .unwrap()
        .join(program);
    let hint = "run `cargo build --workspace --bins --locked` first";
    assert!(path.exists(), "{} is missing: {hint}", path.display());
    path
}

/// Returns an address with a port that is currently free.
pub(crate) fn free_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap().to_string()
}
