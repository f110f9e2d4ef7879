//! From a caller's request to its answer.

mod attempt;
mod body;
mod charge;
mod context;
mod handler;
mod refusal;
mod relay;
mod request;
mod sse;

pub(crate) use context::{Context, Supply};
pub(crate) use handler::Handler;
pub(crate) use refusal::Cause;
