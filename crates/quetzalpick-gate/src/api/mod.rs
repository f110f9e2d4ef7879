//! The callers' API: parsing of requests, and writing of answers and refusals.

pub(crate) mod body;
pub(crate) mod completion;
pub(crate) mod header;
pub(crate) mod identity;
pub(crate) mod query;
pub(crate) mod refusal;
pub(crate) mod sse;
