//! This gate's shares behind a lock, and the charging of requests.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use quetzalpick_core::id::{Member, Offset, Workspace};
use quetzalpick_core::quota::{
    Ack, Charge, Debit, Options, Peer, Quota, Transfer, TransferRequest,
};
use quetzalpick_core::state::State;

use crate::api::refusal::{Kind, Refusal};
use crate::clock::Clock;
use crate::share::gathering::{GatherAnswer, GatherLimits, Gathering};
use crate::share::questions::Questions;
use crate::share::{PeerTransport, TokenCharge};

/// `Shares` holds the shares of this gate for concurrent use.
#[derive(Debug)]
pub(crate) struct Shares {
    clock: Clock,
    options: Options,
    inner: Mutex<Inner>,
    questions: Arc<Questions>,
}

/// `Inner` holds the state that the lock protects.
#[derive(Debug)]
struct Inner {
    member: Member,
    quota: Quota,
    /// Offset up to which the shares follow the fold; `None` before the first update.
    synced_offset: Option<Offset>,
    /// Whether the member is active in that state, so that the shares include its grants.
    is_active: bool,
    peers: Arc<Vec<Peer>>,
    can_gather: bool,
    /// Start of the wait for the hints of the other gates, in ms; `None` before the first lease.
    awaiting_since_ms: Option<u64>,
}

impl Shares {
    /// Creates an empty set of shares for a member that has just joined.
    pub(crate) fn new(clock: Clock, member: Member, options: Options) -> Self {
        let quota = Quota::new(member.clone(), options.clone());
        let peers = Arc::default();
        let inner = Mutex::new(Inner {
            member,
            quota,
            synced_offset: None,
            is_active: false,
            peers,
            can_gather: false,
            awaiting_since_ms: None,
        });
        Self {
            clock,
            options,
            inner,
            questions: Arc::default(),
        }
    }

    /// Locks the shares; a poisoned lock is still used, because each change leaves them consistent.
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls a function with the shares and the current time in ms.
    pub(crate) fn with<R>(&self, change: impl FnOnce(&mut Quota, u64) -> R) -> R {
        let now_ms = self.clock.now_ms();
        change(&mut self.lock().quota, now_ms)
    }

    /// Returns the member that the shares belong to.
    pub(crate) fn member(&self) -> Member {
        self.lock().member.clone()
    }

    /// Applies the changes of the fold since the last call; a new member starts without shares.
    ///
    /// It must be called before any operation that depends on the state, so that no charge uses an older one.
    pub(crate) fn sync(&self, member: &Member, state: &State) {
        let now_ms = self.clock.now_ms();
        let mut inner = self.lock();
        if inner.member != *member {
            inner.member = member.clone();
            inner.quota = Quota::new(member.clone(), self.options.clone());
            inner.can_gather = false;
            inner.awaiting_since_ms = None;
            inner.synced_offset = None;
        }
        if inner.synced_offset != Some(state.next()) {
            inner.synced_offset = Some(state.next());
            inner.is_active = state.roster().is_active(member);
            inner.quota.sync(now_ms, state);
        }
    }

    /// Returns whether the shares include the grants of this gate; before it has joined they are empty.
    pub(crate) fn include_grants(&self) -> bool {
        self.lock().is_active
    }

    /// Replaces the hints that peers published about their shares.
    pub(crate) fn set_peers(&self, peers: Vec<Peer>) {
        self.lock().peers = Arc::new(peers);
    }

    /// Allows gathering once all other gates have published their hints, or after `timeout` without the missing ones.
    pub(crate) fn update_can_gather(&self, all_reported: bool, timeout: Duration) {
        let now_ms = self.clock.now_ms();
        let mut inner = self.lock();
        let since_ms = *inner.awaiting_since_ms.get_or_insert(now_ms);
        let waited = Duration::from_millis(now_ms - since_ms);
        inner.can_gather |= all_reported || waited >= timeout;
    }

    /// Returns whether this gate has the hints of the other gates, which it needs to gather tokens.
    pub(crate) fn can_gather(&self) -> bool {
        self.lock().can_gather
    }

    /// Returns the hints that peers published about their shares.
    pub(crate) fn peers(&self) -> Arc<Vec<Peer>> {
        Arc::clone(&self.lock().peers)
    }

    /// Charges tokens to a workspace, and gathers missing ones from peers.
    ///
    /// # Errors
    ///
    /// A refusal with verdict `not-run` if the tokens are not available at present, or exceed the workspace's burst.
    pub(crate) async fn charge(
        self: &Arc<Self>,
        peers: &impl PeerTransport,
        workspace: &Workspace,
        tokens: u64,
        limits: GatherLimits,
    ) -> Result<TokenCharge, Refusal> {
        let ask = |donor: Member, request: TransferRequest| async move {
            let question = self.questions.begin(&request.workspace);
            let transfer = peers.request_tokens(&donor, &request).await;
            (donor, transfer, question)
        };
        let mut gathering = Gathering::new(limits);
        loop {
            let end_of_another = self.questions.next_end();
            let (member, charge) = self.try_charge(workspace, tokens);
            let (missing, retry_after_ms) = match charge {
                Charge::Granted(debit) => {
                    return Ok(TokenCharge::new(Arc::clone(self), member, debit));
                }
                Charge::TooLarge { burst } => return Err(exceeds_burst(workspace, tokens, burst)),
                Charge::Short {
                    missing,
                    retry_after_ms,
                } => (missing, retry_after_ms),
            };
            let donor = self.next_donor(workspace, missing, gathering.asked());
            match gathering.next_answer(donor, ask).await {
                GatherAnswer::Given(donor, transfer, question) => {
                    peers.send_ack(&donor, self.accept(&transfer));
                    drop(question);
                }
                // A concurrent request may have gathered enough for this one too.
                GatherAnswer::NotGiven => {}
                GatherAnswer::Exhausted => {
                    // What the peers have given may still be on its way to concurrent requests.
                    let may_come = self.questions.is_any(workspace)
                        && gathering.wait_for_others(end_of_another).await;
                    if !may_come {
                        return Err(lacks_tokens(workspace, tokens, retry_after_ms));
                    }
                }
            }
        }
    }

    /// Charges this gate's own shares, and returns the member that was charged and the result.
    fn try_charge(&self, workspace: &Workspace, tokens: u64) -> (Member, Charge) {
        let now_ms = self.clock.now_ms();
        let mut inner = self.lock();
        let charge = inner.quota.charge(now_ms, workspace, tokens);
        (inner.member.clone(), charge)
    }

    /// Returns the peer with the most tokens that was not asked yet, and the request to send to it.
    fn next_donor(
        &self,
        workspace: &Workspace,
        missing: u64,
        asked: &[Member],
    ) -> Option<(Member, TransferRequest)> {
        let now_ms = self.clock.now_ms();
        let mut inner = self.lock();
        let donors = inner.quota.donors_for(workspace, missing, &inner.peers);
        let donor = donors.into_iter().find(|donor| !asked.contains(donor));
        let donor = donor?.clone();
        let request = inner.quota.transfer_request(now_ms, workspace, missing)?;
        Some((donor, request))
    }

    /// Accepts a transfer; repeated deliveries have no further effect.
    pub(crate) fn accept(&self, transfer: &Transfer) -> Ack {
        self.with(|quota, now_ms| quota.accept(now_ms, transfer))
    }

    /// Refunds unused tokens, unless this process has joined as another member since.
    pub(crate) fn refund(&self, member: &Member, debit: Debit, unused: u64) {
        let now_ms = self.clock.now_ms();
        let mut inner = self.lock();
        if inner.member == *member {
            inner.quota.refund(now_ms, debit, unused);
        }
    }
}

/// Builds the refusal of a request for which the workspace lacks tokens at present.
fn lacks_tokens(workspace: &Workspace, tokens: u64, retry_after_ms: u64) -> Refusal {
    let message = format!("workspace {workspace} lacks tokens for a request of {tokens}");
    let retry_after = Duration::from_millis(retry_after_ms);
    Refusal::not_run(Kind::RateLimitError, message).with_retry_after(retry_after)
}

/// Builds the refusal of a request that exceeds the workspace's burst.
fn exceeds_burst(workspace: &Workspace, tokens: u64, burst: u64) -> Refusal {
    let message = format!(
        "the request is counted as {tokens} tokens, workspace {workspace} has a burst of {burst}"
    );
    Refusal::not_run(Kind::InvalidRequestError, message)
}
