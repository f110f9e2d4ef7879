//! The interface of a quota scheme, and the schemes that are compared.

use serde::Serialize;
use strum::{Display, VariantArray};

/// Probability that a message is lost.
pub(crate) const MESSAGE_LOSS: f64 = 0.01;

/// `SchemeKind` selects a scheme.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, VariantArray, Serialize)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum SchemeKind {
    /// Every gate has a fixed, equal share of rate and burst.
    StaticSplit,
    /// One gate owns a workspace's bucket and leases credits to the others.
    SingleOwner,
    /// Gates hold shares and transfer them.
    EscrowShares,
}

/// `Request` holds the properties of a request on which a gate decides.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Request {
    /// Gate that the balancer chose.
    pub(crate) gate: usize,
    /// Index of the workspace.
    pub(crate) workspace: usize,
    /// Charged tokens: the prompt and the longest possible answer.
    pub(crate) tokens: u64,
}

/// `Scheme` simulates a fleet of gates that limit the rates of workspaces.
pub(crate) trait Scheme {
    /// Proof of a charge, kept until the admitted request ends.
    type Debit;

    /// Admits a request, or returns `None` to refuse it.
    fn admit(&mut self, now_ms: u64, request: &Request) -> Option<Self::Debit>;

    /// Refunds the tokens that an admitted request did not use.
    fn refund(&mut self, now_ms: u64, request: &Request, debit: Self::Debit, unused: u64);

    /// Performs periodic work.
    fn tick(&mut self, now_ms: u64);

    /// Marks a gate as unreachable: from now on it neither answers nor transfers shares.
    fn mark_unreachable(&mut self, gate: usize);

    /// Retires an unreachable gate, so that its share or its ownership can pass to others.
    fn retire(&mut self, now_ms: u64, gate: usize);

    /// Returns the number of messages sent between gates so far.
    fn messages(&self) -> u64;
}
