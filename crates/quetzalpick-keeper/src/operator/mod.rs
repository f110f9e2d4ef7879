//! The operator API: each request contains one line of the operators' language.

mod api;
mod executor;
mod query;
mod spending;

pub use api::Api;
pub use executor::Executor;
