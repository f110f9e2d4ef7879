//! State read from the published topics, and its age.

mod config;
mod dependency;
mod endpoints;
mod members;
mod origins;
mod quarantine;

pub(crate) use config::{ConfigFollower, View};
pub(crate) use dependency::DependencyStatus;
pub(crate) use endpoints::EndpointFollower;
pub(crate) use members::Membership;
pub(crate) use origins::OriginFollower;
pub(crate) use quarantine::QuarantineFollower;
