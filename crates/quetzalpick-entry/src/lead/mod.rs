//! Leadership of this VM: the election, and the tasks of the leader.

mod changes;
mod copy_index;
mod election;
mod executor;
mod leadership;
mod paces;
mod permits;
mod quarantine;
mod replies;
mod statuses;

pub(crate) use election::ElectionDriver;
pub(crate) use executor::PlanExecutor;
pub(crate) use leadership::Leadership;
pub(crate) use quarantine::Differences;
