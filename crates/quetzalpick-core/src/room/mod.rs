//! Room at endpoints that fall over if they have to decline too many requests.
//!
//! The leader counts what all VMs have in flight at such an endpoint: a VM sends a request there with a permit that it has drawn,
//! and reports when room comes free. A VM that finds no leader has a small share of its own.

mod draws;
mod report;
#[allow(
    clippy::module_inception,
    reason = "the type is named after the concept"
)]
mod room;
mod rooms;
mod share;
mod term;
mod tolerance;

pub use draws::Draws;
pub use report::Report;
pub use room::Room;
pub use rooms::{Decision, Key, Rooms};
pub use share::own_share;
pub use term::{HEARD_MS, Term};
pub use tolerance::Tolerance;

/// Thousandths of a slot in one slot.
const PERMILLE: u64 = 1_000;
