//! Request handling, from the head of a request to the end of its answer.

mod access;
mod attempts;
mod call;
mod chunk;
mod completion;
mod handler;
mod models;
mod once;
mod relay;
mod service;

pub(crate) use handler::Handler;
