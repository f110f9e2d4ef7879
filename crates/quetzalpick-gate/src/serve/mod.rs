//! Serving of requests, from the head of a request to the end of its answer.

mod access;
mod call;
mod chunk;
mod completion;
mod handler;
mod models;
mod once;
mod relay;
mod service;
mod tries;

pub(crate) use handler::Handler;
