//! The operator API: one line of the language a request.

mod api;
mod executor;
mod query;
mod spending;

pub use api::Api;
pub use executor::Executor;
