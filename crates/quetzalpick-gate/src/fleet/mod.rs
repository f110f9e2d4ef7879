//! The endpoints as this gate sees them: load, health, caches, and the choice among them.

mod follow;
mod guard;
mod need;
mod probe;
mod seen;
mod table;

pub(crate) use follow::follow;
pub(crate) use guard::InFlight;
pub(crate) use need::Need;
pub(crate) use probe::{probe_engines, probe_vms};
pub(crate) use table::{Fleet, Target};
