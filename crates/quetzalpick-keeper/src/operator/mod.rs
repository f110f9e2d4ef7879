//! The operator API: one line of the language a request.

mod api;
mod desk;
mod query;
mod spending;

pub use api::Api;
pub use desk::Desk;
