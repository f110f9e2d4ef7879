//! What a run showed: as JSON, as a table and as a plot.

mod allowance;
mod compare;
mod cost;
mod plot;
mod records;
mod summary;
mod tally;
mod text;

pub use compare::{Group, compare};
pub use cost::{Cost, Meter};
pub use plot::plot;
pub use records::{Records, read as read_records};
pub use summary::{Report, summarize};
pub use text::{render, verdict_line};
