//! Gathering of tokens from peers for one request.

use std::future::Future;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use quetzalpick_core::id::Member;
use quetzalpick_core::quota::{Transfer, TransferRequest};
use tokio::time::{Instant, timeout};

use crate::share::questions::Question;

/// `GatherLimits` limits the gathering of tokens for one request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct GatherLimits {
    /// Time to wait for an answer before another peer is asked too.
    pub(crate) answer_timeout: Duration,
    /// Maximum number of waits without an answer.
    pub(crate) waits_max: u32,
    /// Maximum number of peers that decline or do not answer.
    pub(crate) peers_max: usize,
}

/// `GatherAnswer` is the outcome of one wait for tokens from peers.
#[derive(Debug)]
pub(crate) enum GatherAnswer {
    /// A peer gave tokens. The question ends when they are accepted.
    Given(Member, Transfer, Question),
    /// A peer declined, or none answered in time; others may still give tokens.
    NotGiven,
    /// No peer is left to ask or to wait for.
    Exhausted,
}

/// `Gathering` tracks the peers asked for one request; `F` is the request to one of them.
#[derive(Debug)]
pub(crate) struct Gathering<F> {
    limits: GatherLimits,
    /// Time until which a peer that gave tokens may be asked again, and until which the questions of other requests are awaited.
    ask_again_until: Instant,
    /// Peers that have declined or not answered yet.
    asked: Vec<Member>,
    requests: FuturesUnordered<F>,
    /// Number of waits without an answer.
    waits: u32,
}

impl<F: Future<Output = (Member, Option<Transfer>, Question)>> Gathering<F> {
    /// Creates a `Gathering` for which no peer was asked.
    pub(crate) fn new(limits: GatherLimits) -> Self {
        Self {
            limits,
            ask_again_until: Instant::now() + limits.answer_timeout * limits.waits_max,
            asked: Vec::new(),
            requests: FuturesUnordered::new(),
            waits: 0,
        }
    }

    /// Asks the next peer, if there is one, and waits for an answer of any peer asked.
    ///
    /// Waits are counted rather than timed, so that a pause of this process counts as a single one.
    pub(crate) async fn next_answer(
        &mut self,
        donor: Option<(Member, TransferRequest)>,
        ask: impl Fn(Member, TransferRequest) -> F,
    ) -> GatherAnswer {
        if let Some((donor, request)) = donor
            && self.asked.len() < self.limits.peers_max
        {
            self.asked.push(donor.clone());
            self.requests.push(ask(donor, request));
        }
        match timeout(self.limits.answer_timeout, self.requests.next()).await {
            Ok(Some((donor, Some(transfer), question))) => {
                self.allow_again(&donor);
                GatherAnswer::Given(donor, transfer, question)
            }
            Ok(Some((_, None, _))) => GatherAnswer::NotGiven,
            Ok(None) => GatherAnswer::Exhausted,
            Err(_) => self.count_wait(),
        }
    }

    /// Waits until another request's question ends, whose tokens may suffice for this one too; returns whether it did in time.
    pub(crate) async fn wait_for_others(&mut self, end: impl Future<Output = ()>) -> bool {
        if Instant::now() >= self.ask_again_until {
            return false;
        }
        let ended = timeout(self.limits.answer_timeout, end).await.is_ok();
        ended || matches!(self.count_wait(), GatherAnswer::NotGiven)
    }

    /// Returns the peers that have declined or not answered yet.
    pub(crate) fn asked(&self) -> &[Member] {
        &self.asked
    }

    /// Counts a wait without an answer.
    fn count_wait(&mut self) -> GatherAnswer {
        self.waits += 1;
        if self.waits < self.limits.waits_max {
            GatherAnswer::NotGiven
        } else {
            GatherAnswer::Exhausted
        }
    }

    /// Allows asking a peer again, because a concurrent request may charge the tokens that it gave.
    fn allow_again(&mut self, donor: &Member) {
        if Instant::now() < self.ask_again_until {
            self.asked.retain(|member| member != donor);
        }
    }
}
