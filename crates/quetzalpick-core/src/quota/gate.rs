//! The aggregate of one gate's shares.

use crate::id::{Member, Workspace};
use crate::quota::{Ack, Answer, Ask, Charge, Hint, Peer, Receipt, Transfer};
use crate::record::Declare;
use crate::state::State;

/// `Options` are the knobs of the shares.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Half-life of the remembered demand, in ms.
    pub half_life_ms: u64,
    /// A rebalancing moves shares only where the surplus exceeds this many thousandths of the holding.
    pub slack_permille: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            half_life_ms: 2_000,
            slack_permille: 200,
        }
    }
}

/// `Quota` is what one gate holds of every workspace's rate and burst.
///
/// All parts of all gates and of all transfers under way add up to at most `PARTS_TOTAL` for each workspace, and a
/// level never exceeds what its parts can hold. So the fleet spends at most burst + rate x window in every window.
/// The caller asks for charges and sends transfers only while its member is leased.
#[derive(Debug, Clone)]
pub struct Quota {
    member: Member,
}

impl Quota {
    /// Returns the shares of a member that has just joined: none.
    pub fn new(member: Member, options: Options) -> Self {
        let _ = options;
        Self { member }
    }

    /// Takes over what the fold decided: grants, workspaces, rates and bursts, departures and the share epoch.
    pub fn sync(&mut self, now_ms: u64, state: &State) {
        let _ = (now_ms, state);
    }

    /// Charges tokens to a workspace.
    pub fn charge(&mut self, now_ms: u64, workspace: &Workspace, tokens: u64) -> Charge {
        let _ = (now_ms, workspace, tokens);
        Charge::Never { burst: 0 }
    }

    /// Gives back tokens that were charged and not used, as far as the bucket would have had room for them all along.
    pub fn refund(&mut self, now_ms: u64, receipt: Receipt, unused: u64) {
        let _ = (now_ms, receipt, unused);
    }

    /// Returns the declaration that the present epoch awaits of this member; the same until it is accepted.
    pub fn declare(&self) -> Option<&Declare> {
        None
    }

    /// Returns the request to a peer for tokens that are missing; `None` if the workspace is unknown.
    pub fn ask(&self, now_ms: u64, workspace: &Workspace, missing: u64) -> Option<Ask> {
        let _ = (now_ms, workspace, missing);
        None
    }

    /// Returns the peers worth asking for a workspace, the one with the most tokens first.
    pub fn donors<'a>(&self, workspace: &Workspace, peers: &'a [Peer]) -> Vec<&'a Member> {
        let _ = (workspace, peers);
        Vec::new()
    }

    /// Answers a peer's request with a transfer, which is subtracted at once; `None` if there is nothing to give.
    pub fn donate(&mut self, now_ms: u64, to: &Member, ask: &Ask) -> Option<Transfer> {
        let _ = (now_ms, to, ask);
        None
    }

    /// Takes a transfer, once however often it arrives.
    pub fn take(&mut self, now_ms: u64, transfer: &Transfer) -> Ack {
        let _ = now_ms;
        Ack {
            from: transfer.from.clone(),
            to: self.member.clone(),
            epoch: transfer.epoch,
            number: transfer.number,
            answer: Answer::Later,
        }
    }

    /// Closes a transfer that was answered; one that was refused in the same epoch is taken back.
    pub fn settle(&mut self, now_ms: u64, ack: &Ack) {
        let _ = (now_ms, ack);
    }

    /// Returns the transfers that were not answered and are to be sent again.
    pub fn unacknowledged(&self) -> &[Transfer] {
        &[]
    }

    /// Returns what to tell peers, sorted by workspace.
    pub fn hints(&mut self, now_ms: u64) -> Vec<Hint> {
        let _ = now_ms;
        Vec::new()
    }

    /// Returns transfers that let shares follow the demand; they are subtracted at once.
    pub fn rebalance(&mut self, now_ms: u64, peers: &[Peer]) -> Vec<Transfer> {
        let _ = (now_ms, peers);
        Vec::new()
    }

    /// Returns transfers of everything held, for a planned stop; charges are short from then on.
    pub fn hand_over(&mut self, now_ms: u64, peers: &[Member]) -> Vec<Transfer> {
        let _ = (now_ms, peers);
        Vec::new()
    }
}
