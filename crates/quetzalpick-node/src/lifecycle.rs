//! The phases of a process, from start to the end of a planned stop.

use strum::{Display, IntoStaticStr};
use tokio::sync::watch;

/// `Phase` is how far a process is between start and stop; a process only moves forward.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Phase {
    /// Not ready yet.
    Starting,
    /// Ready for requests.
    Serving,
    /// Not ready any more, but still serving while the balancer takes notice.
    Unready,
    /// Refusing new connections and finishing requests.
    Draining,
    /// Handing over shares and leadership.
    HandingOver,
    /// Recording the departure.
    Leaving,
    /// Done.
    Stopped,
}

/// `Lifecycle` is the phase of this process, shared by its parts.
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
    /// Returns the present phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Moves forward to a phase and tells whether that changed anything.
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

    /// Returns a receiver that sees every later phase.
    pub fn watch(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Waits until the process has reached a phase.
    pub async fn reached(&self, phase: Phase) {
        let mut watch = self.phase.subscribe();
        // The sender lives in `self`, so that waiting cannot fail.
        let _ = watch.wait_for(|now| *now >= phase).await;
    }
}

/// Waits for the signal that asks the process to stop: SIGTERM or SIGINT.
///
/// # Errors
///
/// Whatever installing the signal handlers meets.
pub async fn stop_signal() -> std::io::Result<&'static str> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => Ok("SIGTERM"),
        _ = interrupt.recv() => Ok("SIGINT"),
    }
}
