//! Faults that a stand-in can be told to show.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

/// `Fault` is one kind of misbehaviour.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, IntoStaticStr)]
#[serde(tag = "fault", rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// Calls get status 503, without their request id, and do nothing.
    Outage,
    /// Calls are refused with status 429 and `x-not-run: overloaded`, and do nothing.
    Refuse,
    /// Calls wait before they do anything.
    Slow {
        /// How long, in ms.
        ms: u64,
    },
    /// Calls take effect, then the connection is closed without an answer.
    AnswerLost,
    /// Calls do nothing and the connection is closed; an order to an engine is answered all the same.
    OrderLost,
    /// The connection is closed and the call takes effect later; an order to an engine is answered at once.
    OrderDelayed {
        /// How much later, in ms.
        ms: u64,
    },
    /// An order to an engine takes effect now and once more later.
    OrderDoubled {
        /// How much later, in ms.
        ms: u64,
    },
    /// A stream breaks after some tokens of this answer.
    StreamCrash {
        /// Tokens sent before.
        tokens: u32,
    },
    /// The connection is closed after some bytes of the answer.
    CloseAt {
        /// Bytes sent before, head included.
        bytes: u64,
    },
    /// Calls get the answer that belongs to the request before them.
    Crossed,
}

impl Fault {
    /// Tells whether every stand-in can show the fault.
    pub(crate) fn is_common(self) -> bool {
        use Fault::{AnswerLost, CloseAt, Outage, Refuse, Slow};
        matches!(
            self,
            Outage | Refuse | Slow { .. } | AnswerLost | CloseAt { .. }
        )
    }
}

/// `Switch` turns a fault on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Switch {
    /// The fault.
    #[serde(flatten)]
    pub fault: Fault,
    /// Calls that meet it; without it, all calls until the faults are cleared.
    #[serde(default)]
    pub count: Option<u32>,
    /// Beginning of the paths that meet it; without it, all paths.
    #[serde(default)]
    pub path: String,
}

/// `Faults` holds the switches that are on.
#[derive(Debug, Default)]
pub struct Faults {
    switches: Mutex<Vec<Switch>>,
}

impl Faults {
    /// Turns a fault on for the next `count` calls, or for all calls.
    pub fn set(&self, fault: Fault, count: Option<u32>) {
        let path = String::new();
        self.add(Switch { fault, count, path });
    }

    /// Turns a switch on.
    pub fn add(&self, switch: Switch) {
        self.lock().push(switch);
    }

    /// Turns all faults off.
    pub fn clear(&self) {
        self.lock().clear();
    }

    /// Takes the oldest fault that a call to this path meets and that `wanted` knows what to do with.
    pub(crate) fn take<T>(&self, path: &str, wanted: impl Fn(Fault) -> Option<T>) -> Option<T> {
        let mut switches = self.lock();
        for at in 0..switches.len() {
            let switch = &mut switches[at];
            if !path.starts_with(&switch.path) || switch.count == Some(0) {
                continue;
            }
            if let Some(found) = wanted(switch.fault) {
                switch.count = switch.count.map(|count| count - 1);
                switches.retain(|switch| switch.count != Some(0));
                return Some(found);
            }
        }
        None
    }

    /// Returns how much later a call takes effect, if it is to be delayed.
    pub(crate) fn delay(&self, path: &str) -> Option<Duration> {
        self.take(path, |fault| match fault {
            Fault::OrderDelayed { ms } => Some(Duration::from_millis(ms)),
            _ => None,
        })
    }

    /// Tells whether a call meets exactly this fault.
    pub(crate) fn meets(&self, path: &str, fault: Fault) -> bool {
        let same = |found| (found == fault).then_some(());
        self.take(path, same).is_some()
    }

    /// Locks the switches, which are whole after each change.
    fn lock(&self) -> MutexGuard<'_, Vec<Switch>> {
        self.switches.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
