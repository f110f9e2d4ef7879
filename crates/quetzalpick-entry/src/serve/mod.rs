//! Handling of callers' requests: admission, forwarding, retries and relay of answers.

mod attempt;
mod body;
mod charge;
mod context;
mod crash;
mod delivery;
mod digest;
mod dispatch;
mod event_scanner;
mod fragments;
mod handler;
mod hedge;
mod pacing;
mod pending;
mod permit;
mod progress;
mod refusal;
mod relay;
mod request;
mod resume;
mod sse;
mod stop;
mod take_up;

pub(crate) use context::{Context, OriginSearch, PeerClient};
pub(crate) use handler::Handler;
pub(crate) use refusal::Cause;
pub(crate) use sse::Loss;
pub(crate) use stop::Stop;
