//! Observed state of all endpoints (load, health, caches), and the choice among them.

mod endpoint_state;
mod guard;
mod poll;
mod refresh;
mod requirement;
mod table;

pub(crate) use guard::InFlight;
pub(crate) use poll::{poll_engines, poll_vms};
pub(crate) use refresh::refresh_on_change;
pub(crate) use requirement::Requirement;
pub(crate) use table::{Fleet, Target};
