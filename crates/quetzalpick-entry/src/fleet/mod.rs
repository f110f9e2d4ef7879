//! The endpoints: their published specs, the state observed by this VM, and the selection for requests.

mod build;
mod builds;
mod cold;
mod evacuation;
mod leaving;
pub(crate) mod limited;
mod limits;
mod notice;
mod pace;
mod pauses;
mod pick;
mod relay;
mod rooms;
mod row;
mod selection;
mod spec;
mod table;

pub use build::Build;
pub use builds::{BuildAge, Builds, SETTLE_MS, STREAM_TTL_MS};
pub(crate) use evacuation::Remainder;
pub use leaving::Departure;
pub use notice::{ColdNotice, Notice, ToleranceNotice};
pub use pick::Pick;
pub(crate) use rooms::{Draw, RoomSlots};
pub use selection::{BuildChoice, Requirements};
pub use spec::{Spec, State};
pub use table::Fleet;
