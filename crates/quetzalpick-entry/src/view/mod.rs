//! State read from the published topics, and its age.

mod change;
mod config;
mod dependency;
mod endpoints;
mod evacuation;
mod members;
mod origins;
mod quarantine;

pub(crate) use change::Change;
pub(crate) use config::{ConfigFollower, Content, Relay, View};
pub(crate) use dependency::DependencyStatus;
pub(crate) use endpoints::EndpointFollower;
pub(crate) use evacuation::EvacuationMonitor;
pub(crate) use members::Membership;
pub(crate) use origins::OriginFollower;
pub(crate) use quarantine::QuarantineFollower;
