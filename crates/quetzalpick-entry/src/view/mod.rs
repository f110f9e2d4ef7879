//! What this VM has read of the published topics, and how old that is.

mod config;
mod endpoints;
mod dependency;
mod members;

pub(crate) use config::{ConfigFollower, View};
pub(crate) use endpoints::EndpointFollower;
pub(crate) use dependency::Contact;
pub(crate) use members::Registry;
