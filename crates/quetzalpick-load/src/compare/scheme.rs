//! What a scheme has to do, and the schemes compared.

use serde::Serialize;
use strum::{Display, VariantArray};

/// Share of messages that are lost.
pub(crate) const LOSS: f64 = 0.01;

/// `Kind` names a scheme.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, VariantArray, Serialize)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Every gate has an even part of rate and burst, for ever.
    StaticSplit,
    /// One gate owns a workspace's bucket and leases credits to the others.
    SingleOwner,
    /// Gates hold shares and transfer them.
    EscrowShares,
}

/// `Request` is one request as a gate sees it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Request {
    /// Gate that the balancer chose.
    pub(crate) gate: usize,
    /// Index of the workspace.
    pub(crate) workspace: usize,
    /// Tokens charged: prompt and longest answer.
    pub(crate) tokens: u64,
}

/// `Scheme` admits requests at gates.
pub(crate) trait Scheme {
    /// What an admitted request holds until it ends.
    type Receipt;

    /// Admits a request or refuses it.
    fn admit(&mut self, now_ms: u64, request: &Request) -> Option<Self::Receipt>;

    /// Takes back the tokens that an admitted request did not use.
    fn refund(&mut self, now_ms: u64, request: &Request, receipt: Self::Receipt, unused: u64);

    /// Does what is done at regular times.
    fn tick(&mut self, now_ms: u64);

    /// Loses a gate: it neither answers nor gives from now on.
    fn lose(&mut self, gate: usize);

    /// Retires a lost gate, so that others may have what it had.
    fn retire(&mut self, now_ms: u64, gate: usize);

    /// Returns the messages between gates so far.
    fn messages(&self) -> u64;
}
