//! A mark for requests and answers on connections that have carried no others.

/// `Fresh` marks, in the extensions of a request, that it must not be sent on a connection that has carried another one; in those
/// of an answer, that its connection has carried none before. An earlier answer that is written again cannot be taken for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fresh;
