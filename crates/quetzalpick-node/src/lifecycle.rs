//! Phases of a process, from its start to the end of a planned stop.

use strum::{Display, IntoStaticStr};
use tokio::sync::watch;

/// `Phase` identifies a step between start and stop; a process only moves to later phases.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Phase {
    /// Not ready for requests yet.
    Starting,
    /// Ready for requests.
    Serving,
    /// Reported as not ready, but still serving until the load balancer reacts.
    Unready,
    /// Refusing new connections and finishing requests in progress.
    Draining,
    /// Handing over quota shares and leadership.
    HandingOver,
    /// Recording that the process leaves the system.
    Leaving,
    /// All work has ended.
    Stopped,
}

/// `Lifecycle` holds the current phase of the process; clones share it.
#[derive(Debug, Clone)]
pub struct Lifecycle {
    phase: watch::Sender<Phase>,
}

impl Default for Lifecycle {
    fn default() -> Self {
        Self {
            phase: watch::Sender::new(Phase::Starting),
        }
    }
}

impl Lifecycle {
    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Advances to a phase unless it is already reached, and returns whether the phase changed.
    pub fn advance(&self, to: Phase) -> bool {
        let advanced = self.phase.send_if_modified(|phase| {
            let forward = to > *phase;
            *phase = to.max(*phase);
            forward
        });
        if advanced {
            log::info!("lifecycle: {to}");
        }
        advanced
    }

    /// Returns a receiver that is notified of phase changes.
    pub fn watch(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Waits until the process has reached a phase or a later one.
    pub async fn wait_for(&self, phase: Phase) {
        let mut watch = self.phase.subscribe();
        // The sender lives in `self`, so waiting cannot fail.
        let _ = watch.wait_for(|current| *current >= phase).await;
    }
}

/// Waits for SIGTERM or SIGINT, which ask the process to stop, and returns the signal's name.
///
/// # Errors
///
/// Any error of installing the signal handlers.
pub async fn stop_signal() -> std::io::Result<&'static str> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => Ok("SIGTERM"),
        _ = interrupt.recv() => Ok("SIGINT"),
    }
}
