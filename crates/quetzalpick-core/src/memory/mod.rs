//! Who gets the bytes that a process can hold for its callers when they are short.

mod account;
mod budget;
mod holding;

pub use account::Taken;
pub use budget::{Budget, Grant, Holder, Usage};
pub use holding::Kind;
