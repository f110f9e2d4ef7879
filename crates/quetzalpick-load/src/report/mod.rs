//! What a run showed: as JSON, as a table and as a plot.

mod compare;
mod metrics;
mod plot;
mod records;
mod resource_usage;
mod summary;
mod text;
mod token_bucket;

pub use compare::{Group, compare};
pub use plot::plot;
pub use records::{Records, read as read_records};
pub use resource_usage::{Cost, Meter};
pub use summary::{Report, summarize};
pub use text::{render, verdict_line};
