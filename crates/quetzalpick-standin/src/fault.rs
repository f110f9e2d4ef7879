//! Faults that can be injected into a stand-in.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

/// `Fault` selects a kind of misbehaviour and its parameters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, IntoStaticStr)]
#[serde(tag = "fault", rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// Calls have no effect and get status 503 without their request id.
    Outage,
    /// Calls have no effect and are refused with status 429 and `x-not-run: overloaded`.
    Refuse,
    /// Calls are refused as by `Refuse`, and the refusal is written once more before the next answer on its connection.
    RefuseTwice,
    /// Calls are delayed before they are handled.
    Slow {
        /// Delay in ms.
        ms: u64,
    },
    /// Calls take effect, then the connection is closed without an answer.
    AnswerLost,
    /// Calls have no effect and the connection is closed; an order to an engine is still answered as accepted.
    OrderLost,
    /// The connection is closed at once and the call takes effect later; an order to an engine is answered at once.
    OrderDelayed {
        /// Delay in ms.
        ms: u64,
    },
    /// An order to an engine takes effect immediately and a second time later.
    OrderDoubled {
        /// Delay of the second execution, in ms.
        ms: u64,
    },
    /// A streamed answer is aborted after a number of its tokens.
    StreamCrash {
        /// Tokens sent before the abort.
        tokens: u32,
    },
    /// The connection is closed after a number of bytes of the answer.
    CloseAt {
        /// Bytes sent before the close, including the head.
        bytes: u64,
    },
    /// Calls get the answer to another request: an engine's previous one, or a placeholder.
    Crossed,
}

impl Fault {
    /// Returns true if every kind of stand-in supports the fault.
    pub(crate) fn is_common(self) -> bool {
        use Fault::{AnswerLost, CloseAt, Outage, Refuse, RefuseTwice, Slow};
        matches!(
            self,
            Outage | Refuse | RefuseTwice | Slow { .. } | AnswerLost | CloseAt { .. }
        )
    }
}

/// `Switch` enables a fault for a number of calls and a path prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Switch {
    /// The fault.
    #[serde(flatten)]
    pub fault: Fault,
    /// Number of calls affected; `None` affects all calls until the faults are cleared.
    #[serde(default)]
    pub count: Option<u32>,
    /// Prefix of the paths affected; empty for all paths.
    #[serde(default)]
    pub path: String,
}

/// `Faults` holds the enabled fault switches, oldest first.
#[derive(Debug, Default)]
pub struct Faults {
    switches: Mutex<Vec<Switch>>,
}

impl Faults {
    /// Enables a fault for the next `count` calls, or for all calls.
    pub fn set(&self, fault: Fault, count: Option<u32>) {
        let path = String::new();
        self.add(Switch { fault, count, path });
    }

    /// Adds a fault switch.
    pub fn add(&self, switch: Switch) {
        self.lock().push(switch);
    }

    /// Disables all faults.
    pub fn clear(&self) {
        self.lock().clear();
    }

    /// Consumes one use of the oldest enabled fault that matches the path and that `select` accepts, and returns what
    /// `select` returned for it.
    pub(crate) fn take<T>(&self, path: &str, select: impl Fn(Fault) -> Option<T>) -> Option<T> {
        let mut switches = self.lock();
        for index in 0..switches.len() {
            let switch = &mut switches[index];
            if !path.starts_with(&switch.path) || switch.count == Some(0) {
                continue;
            }
            if let Some(found) = select(switch.fault) {
                switch.count = switch.count.map(|count| count - 1);
                switches.retain(|switch| switch.count != Some(0));
                return Some(found);
            }
        }
        None
    }

    /// Consumes one use of an `OrderDelayed` fault that matches the path and returns its delay.
    pub(crate) fn take_delay(&self, path: &str) -> Option<Duration> {
        self.take(path, |fault| match fault {
            Fault::OrderDelayed { ms } => Some(Duration::from_millis(ms)),
            _ => None,
        })
    }

    /// Consumes one use of exactly this fault if it is enabled for the path; returns whether it was.
    pub(crate) fn take_exact(&self, path: &str, fault: Fault) -> bool {
        let exact = |found| (found == fault).then_some(());
        self.take(path, exact).is_some()
    }

    /// Locks the switches; a poisoned lock is usable because each change leaves them consistent.
    fn lock(&self) -> MutexGuard<'_, Vec<Switch>> {
        self.switches.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
