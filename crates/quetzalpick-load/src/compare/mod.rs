//! Compares schemes that limit a workspace's rate across gates, in virtual time and on the same arrivals.

mod arrivals;
mod command;
mod escrow;
mod gates;
mod owner;
mod rate_audit;
mod report;
mod scheme;
mod simulate;

pub use arrivals::Balancer;
pub use command::{compare, compare_command};
pub use report::{Row, compare_all};
pub use scheme::SchemeKind;
