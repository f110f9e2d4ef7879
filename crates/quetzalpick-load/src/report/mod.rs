//! Summarizes the results of a run as JSON, as tables and as a plot.

mod compare;
mod metrics;
mod plot;
mod records;
mod resource_usage;
mod summary;
mod text;
mod token_bucket;

pub use compare::{Experiment, render_comparison};
pub use plot::plot;
pub use records::{Records, read_records};
pub use resource_usage::{ResourceUsage, UsageMeter};
pub use summary::{Report, summarize};
pub use text::{render, verdict_line};
