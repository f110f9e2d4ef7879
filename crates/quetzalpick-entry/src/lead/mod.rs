//! Leadership of this VM: the election, and the duties of the leader.

mod elector;
mod holdings;
mod office;
mod orders;
mod statuses;

pub(crate) use elector::Elector;
pub(crate) use office::Lead;
pub(crate) use orders::Foreman;
