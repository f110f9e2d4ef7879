//! A mark for requests that need a connection of their own.

/// `Fresh` marks, in the extensions of a request, that it must not be sent on a connection that has carried another one, so that no
/// earlier answer that is written again can be taken for its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fresh;
