//! The callers' interface: what requests look like and how answers and refusals are written.

pub(crate) mod body;
pub(crate) mod completion;
pub(crate) mod header;
pub(crate) mod identity;
pub(crate) mod query;
pub(crate) mod refusal;
pub(crate) mod sse;
