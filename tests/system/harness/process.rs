//! A process that is killed when its owner is dropped.

use std::fs::File;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// `Process` is a started program and the address at which it is called.
pub(crate) struct Process {
    pub(crate) name: String,
    pub(crate) address: String,
    child: Child,
}

impl Process {
    /// Starts a program with its output in files named after it.
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

    /// Returns the exit status once the process has ended.
    pub(crate) fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().unwrap()
    }

    /// Sends a signal to the process, which has not been waited for, so that its id is still its own.
    pub(crate) fn signal(&mut self, signal: Signal) {
        assert!(self.ended().is_none(), "{} has ended", self.name);
        let pid = Pid::from_raw(i32::try_from(self.child.id()).unwrap());
        kill(pid, signal).unwrap();
    }

    /// Waits for the process to end by itself.
    pub(crate) async fn end(&mut self, within: Duration) -> ExitStatus {
        let deadline = Instant::now() + within;
        loop {
            if let Some(status) = self.ended() {
                return status;
            }
            assert!(Instant::now() < deadline, "{} does not end", self.name);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Ends the process at once.
    pub(crate) fn kill(&mut self) {
        // A process that has ended already needs no signal.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the path of a program of the workspace, which lies beside the folder of the tests.
pub(crate) fn binary(program: &str) -> PathBuf {
    let own = std::env::current_exe().unwrap();
    let path = own.parent().unwrap().parent().unwrap().join(program);
    let hint = "run `cargo build --workspace --bins --locked` first";
    assert!(path.exists(), "{} is missing: {hint}", path.display());
    path
}

/// Returns an address with a port that is free now.
pub(crate) fn free_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap().to_string()
}
