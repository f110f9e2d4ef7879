//! A running gate that can be killed, stopped and frozen.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use quetzalpick_client::memory;
use quetzalpick_gate::Gate;
use tokio::runtime::Runtime;

use crate::client::Client;

/// Worker threads of a gate's runtime.
pub(crate) const WORKERS: usize = 2;

/// Timeout of a wait, far longer than any awaited condition takes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// `Process` runs a gate in its own runtime, so that it can be killed at any moment.
pub(crate) struct Process {
    pub(crate) runtime: Option<Runtime>,
    pub(crate) gate: Option<Gate<memory::Log>>,
    pub(crate) client: Client,
    pub(crate) admin: Client,
    /// The gate's handle on the log.
    pub(crate) log: memory::Log,
}

impl Process {
    /// Waits until the gate reports that it is ready, which includes that it holds its shares.
    pub(crate) async fn wait_until_ready(&self) {
        let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
        loop {
            let answer = self.admin.get("/readyz", &[]).await;
            if answer.status == 200 {
                return;
            }
            let timed_out = tokio::time::Instant::now() >= deadline;
            assert!(!timed_out, "never ready: {}", answer.body);
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Ends the process without a planned stop.
    pub(crate) fn kill(&mut self) {
        self.gate = None;
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Starts the planned stop; the result of the returned task is whether everything was finished.
    pub(crate) fn stop(&mut self) -> tokio::task::JoinHandle<bool> {
        let gate = self.gate.take().unwrap();
        self.runtime.as_ref().unwrap().spawn(gate.stop())
    }

    /// Pauses the complete process, as if its VM were paused, until the returned sender is dropped.
    pub(crate) async fn freeze(&self) -> std::sync::mpsc::Sender<()> {
        let (thaw, frozen) = std::sync::mpsc::channel();
        let frozen = Arc::new(Mutex::new(frozen));
        let stopped = Arc::new(std::sync::Barrier::new(WORKERS + 1));
        let runtime = self.runtime.as_ref().unwrap();
        for _ in 0..WORKERS {
            let (frozen, stopped) = (Arc::clone(&frozen), Arc::clone(&stopped));
            // Each of these tasks blocks one of the runtime's threads, so that nothing else is polled.
            runtime.spawn(async move {
                stopped.wait();
                let _ = frozen.lock().unwrap().recv();
            });
        }
        let all = tokio::task::spawn_blocking(move || stopped.wait());
        all.await.unwrap();
        thaw
    }

    /// Waits until the gate's copy of the agreed state meets a condition.
    pub(crate) async fn wait_until(&self, met: impl Fn(&quetzalpick_core::state::State) -> bool) {
        let replica = self.gate.as_ref().unwrap().replica();
        wait_until(|| replica.read(|state| met(state))).await;
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until a condition is met.
pub(crate) async fn wait_until(met: impl Fn() -> bool) {
    let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
    while !met() {
        assert!(tokio::time::Instant::now() < deadline, "waited too long");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
