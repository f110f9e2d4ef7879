//! The aggregate of one gate's shares.

use crate::id::{Member, Offset, Workspace};
use crate::quota::bucket::Load;
use crate::quota::donors::peers_with_hint;
use crate::quota::pending::Outbox;
use crate::quota::rebalance::gifts;
use crate::quota::replay_window::Receiver;
use crate::quota::share::Purse;
use crate::quota::{Ack, Answer, Charge, Debit, Hint, MICRO, Peer, Transfer, TransferRequest};
use crate::record::{Declaration, Holding, Role};
use crate::state::State;
use crate::table::Table;

/// Milliseconds in one second.
const MS_PER_S: u64 = 1_000;

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
    options: Options,
    /// Offset of the first entry not applied, as of the last sync.
    applied: Offset,
    /// Share epoch that this gate has entered.
    epoch: Offset,
    /// What it held on entering the epoch.
    declaration: Option<Declaration>,
    /// Active gates as of the last sync, sorted.
    pub(crate) gates: Vec<Member>,
    pub(crate) purses: Table<Workspace, Purse>,
    outbox: Outbox,
    /// Memory of taken transfers by donor, within the epoch.
    receivers: Table<Member, Receiver>,
    /// Whether a planned stop has begun.
    stopping: bool,
}

impl Quota {
    /// Returns the shares of a member that has just joined: none.
    pub fn new(member: Member, options: Options) -> Self {
        Self {
            member,
            options,
            applied: Offset::default(),
            epoch: Offset::default(),
            declaration: None,
            gates: Vec::new(),
            purses: Table::default(),
            outbox: Outbox::default(),
            receivers: Table::default(),
            stopping: false,
        }
    }

    /// Takes over what the fold decided: grants, workspaces, rates and bursts, departures and the share epoch.
    ///
    /// It is called whenever the state has changed, before the gate counts as having applied the change.
    pub fn sync(&mut self, now_ms: u64, state: &State) {
        self.applied = state.next();
        self.sync_gates(state);
        self.sync_purses(now_ms, state);
        // Grants come first: all of them lie before the epoch, or belong to workspaces created within it.
        let shares = state.shares();
        if shares.epoch() != self.epoch {
            self.enter(shares.epoch());
        }
        if !shares.awaiting().contains(&self.member) {
            self.declaration = None;
        }
    }

    fn sync_gates(&mut self, state: &State) {
        let members = state.roster().members().iter();
        let gates = members.filter(|(_, membership)| membership.role == Role::Gate);
        self.gates = gates.map(|(member, _)| member.clone()).collect();
    }

    fn sync_purses(&mut self, now_ms: u64, state: &State) {
        let workspaces = state.catalog().workspaces();
        // A workspace that was removed, or removed and created again, takes its purse with it.
        let created =
            |workspace: &Workspace| workspaces.get(workspace).map(|(created, _)| *created);
        self.purses
            .retain(|workspace, purse| created(workspace) == Some(purse.created));
        let grants = state.shares().grants(&self.member);
        for (workspace, (created, spec)) in workspaces.iter() {
            let purse = self
                .purses
                .get_or_insert_with(workspace.clone(), || Purse::new(*created));
            purse.set_spec(now_ms, spec);
            if let Some(grant) = grants.and_then(|grants| grants.get(workspace)) {
                purse.take_grant(now_ms, grant);
            }
        }
    }

    /// Enters a share epoch: fixes the declaration and forgets the transfers of the former epoch.
    ///
    /// A receiver took an unanswered transfer before it entered, and then declares it, or never will.
    fn enter(&mut self, epoch: Offset) {
        self.epoch = epoch;
        self.outbox.enter(epoch);
        self.receivers = Table::default();
        let holding = |(workspace, purse): (&Workspace, &Purse)| Holding {
            workspace: workspace.clone(),
            created: purse.created,
            parts: purse.bucket.parts(),
        };
        let holdings = self.purses.iter().map(holding);
        // The epoch reissues nothing of a workspace that was created within it.
        let declared = |holding: &Holding| holding.parts > 0 && holding.created < epoch;
        self.declaration = Some(Declaration {
            member: self.member.clone(),
            epoch,
            holdings: holdings.filter(declared).collect(),
        });
    }

    /// Charges tokens to a workspace.
    pub fn charge(&mut self, now_ms: u64, workspace: &Workspace, tokens: u64) -> Charge {
        let half_life_ms = self.options.half_life_ms;
        let Some(purse) = self.purses.get_mut(workspace) else {
            return Charge::TooLarge { burst: 0 };
        };
        let burst = purse.bucket.burst();
        if tokens > burst {
            return Charge::TooLarge { burst };
        }
        // Refused tokens are demand as well: they draw shares to this gate.
        let micro = tokens.saturating_mul(MICRO);
        purse.demand.add(now_ms, half_life_ms, micro);
        if let Some(sequence) = purse.bucket.charge(now_ms, tokens) {
            return Charge::Granted(Debit {
                workspace: workspace.clone(),
                created: purse.created,
                tokens,
                sequence,
            });
        }
        let missing = purse.bucket.missing(tokens);
        let wait_ms = missing.saturating_mul(MS_PER_S);
        Charge::Short {
            missing,
            retry_after_ms: wait_ms.div_ceil(purse.bucket.rate().max(1)),
        }
    }

    /// Gives back tokens that were charged and not used, as far as the bucket would have had room for them all along.
    pub fn refund(&mut self, now_ms: u64, debit: Debit, unused: u64) {
        let Some(purse) = self.purses.get_mut(&debit.workspace) else {
            return;
        };
        if purse.created == debit.created {
            let tokens = unused.min(debit.tokens);
            purse.bucket.refund(now_ms, debit.sequence, tokens);
        }
    }

    /// Returns the declaration that the present epoch awaits of this member; the same until it is accepted.
    pub fn declaration(&self) -> Option<&Declaration> {
        self.declaration.as_ref()
    }

    /// Returns the request to a peer for tokens that are missing; `None` if the workspace is unknown.
    pub fn transfer_request(
        &mut self,
        now_ms: u64,
        workspace: &Workspace,
        missing: u64,
    ) -> Option<TransferRequest> {
        let half_life_ms = self.options.half_life_ms;
        let purse = self.purses.get_mut(workspace)?;
        Some(TransferRequest {
            workspace: workspace.clone(),
            created: purse.created,
            epoch: self.epoch,
            missing_micro: missing.saturating_mul(MICRO),
            demand_micro: purse.demand.sum(now_ms, half_life_ms),
        })
    }

    /// Answers a peer's request with a transfer, which is subtracted at once; `None` if there is nothing to give.
    pub fn donate(
        &mut self,
        now_ms: u64,
        to: &Member,
        request: &TransferRequest,
    ) -> Option<Transfer> {
        if request.epoch != self.epoch || !self.may_send(to) {
            return None;
        }
        let purse = self.purses.get_mut(&request.workspace)?;
        if purse.created != request.created {
            return None;
        }
        let (parts, level_micro) = purse.offer(now_ms, self.options.half_life_ms, request)?;
        let load = purse.bucket.remove(now_ms, parts, level_micro);
        let created = purse.created;
        let from = &self.member;
        Some(
            self.outbox
                .send(from, to, &request.workspace, created, load),
        )
    }

    /// Takes a transfer, once however often it arrives.
    pub fn accept(&mut self, now_ms: u64, transfer: &Transfer) -> Ack {
        Ack {
            from: transfer.from.clone(),
            to: transfer.to.clone(),
            epoch: transfer.epoch,
            number: transfer.number,
            answer: self.answer(now_ms, transfer),
        }
    }

    fn answer(&mut self, now_ms: u64, transfer: &Transfer) -> Answer {
        if transfer.to != self.member {
            return Answer::Refused;
        }
        // A transfer of a former epoch may have been taken and declared. To refuse it would let the donor, which has not
        // entered yet, take it back and declare it as well; the donor drops it on entering.
        if transfer.epoch != self.epoch {
            return Answer::Later;
        }
        let receiver = self
            .receivers
            .get_or_insert_with(transfer.from.clone(), Receiver::default);
        receiver.advance(transfer.oldest);
        if receiver.has_taken(transfer.number) {
            return Answer::Taken;
        }
        if !receiver.fits(transfer.number) {
            return Answer::Later;
        }
        if self.stopping {
            return Answer::Refused;
        }
        match self.purses.get_mut(&transfer.workspace) {
            Some(purse) if purse.created == transfer.created => {
                receiver.take(transfer.number);
                purse.bucket.add(now_ms, load_of(transfer));
                Answer::Taken
            }
            // The workspace was created after what this gate has applied.
            _ if transfer.created >= self.applied => Answer::Later,
            _ => Answer::Refused,
        }
    }

    /// Closes a transfer that was answered; one that was refused in the same epoch is taken back.
    pub fn settle(&mut self, now_ms: u64, ack: &Ack) {
        if ack.answer == Answer::Later {
            return;
        }
        let Some(transfer) = self.outbox.close(ack) else {
            return;
        };
        if ack.answer == Answer::Refused {
            self.take_back(now_ms, &transfer);
        }
    }

    fn take_back(&mut self, now_ms: u64, transfer: &Transfer) {
        let purse = self.purses.get_mut(&transfer.workspace);
        if let Some(purse) = purse.filter(|purse| purse.created == transfer.created) {
            purse.bucket.add(now_ms, load_of(transfer));
        }
    }

    /// Returns the transfers that were not answered and are to be sent again.
    pub fn unacknowledged(&self) -> &[Transfer] {
        self.outbox.transfers()
    }

    /// Returns what to tell peers, sorted by workspace.
    pub fn hints(&mut self, now_ms: u64) -> Vec<Hint> {
        let half_life_ms = self.options.half_life_ms;
        let purses = self.purses.iter_mut();
        let hints = purses.map(|(workspace, purse)| purse.hint(now_ms, half_life_ms, workspace));
        hints.collect()
    }

    /// Returns transfers that let shares follow the demand; they are subtracted at once.
    pub fn rebalance(&mut self, now_ms: u64, peers: &[Peer]) -> Vec<Transfer> {
        if self.stopping {
            return Vec::new();
        }
        let mut transfers = Vec::new();
        for own in self.hints(now_ms) {
            let hints = peers_with_hint(&self.gates, &own.workspace, own.created, peers);
            // A peer with an unanswered transfer has an old hint: it may hold more than it says.
            let idle = |(to, _): &(&Member, &Hint)| !self.outbox.awaits(to, &own.workspace);
            let hints: Vec<_> = hints.filter(idle).collect();
            for gift in gifts(&own, &hints, self.options.slack_permille) {
                transfers.extend(self.give(now_ms, gift.to, &own, gift.parts));
            }
        }
        transfers
    }

    /// Returns transfers of everything held, for a planned stop; charges are short from then on.
    ///
    /// It is called again until `unacknowledged` and what it returns are empty.
    pub fn hand_over(&mut self, now_ms: u64, peers: &[Member]) -> Vec<Transfer> {
        self.stopping = true;
        let peers: Vec<_> = peers.iter().filter(|to| self.may_receive(to)).collect();
        let mut transfers = Vec::new();
        for own in self.hints(now_ms) {
            let mut left = own.parts;
            for (at, to) in peers.iter().enumerate() {
                let parts = left / (peers.len() - at) as u64;
                left -= parts;
                transfers.extend(self.give(now_ms, to, &own, parts));
            }
        }
        transfers
    }

    /// Subtracts parts with their part of the level, as of the hint, and makes a transfer of them.
    fn give(&mut self, now_ms: u64, to: &Member, own: &Hint, parts: u64) -> Option<Transfer> {
        if parts == 0 || !self.outbox.has_room(to) {
            return None;
        }
        let purse = self.purses.get_mut(&own.workspace)?;
        let level = u128::from(own.level_micro) * u128::from(parts) / u128::from(own.parts.max(1));
        // The parts are some of the hint's, so the level is at most the hint's.
        let level_micro = u64::try_from(level).unwrap_or(own.level_micro);
        let load = purse.bucket.remove(now_ms, parts, level_micro);
        let (from, workspace) = (&self.member, &own.workspace);
        Some(self.outbox.send(from, to, workspace, own.created, load))
    }

    /// Tells whether a transfer to a peer may be made: a departed gate is never given anything.
    fn may_send(&self, to: &Member) -> bool {
        !self.stopping && self.may_receive(to) && self.outbox.has_room(to)
    }

    fn may_receive(&self, to: &Member) -> bool {
        *to != self.member && self.gates.binary_search(to).is_ok()
    }
}

/// Returns what a transfer carries.
fn load_of(transfer: &Transfer) -> Load {
    Load {
        parts: transfer.parts,
        level_micro: transfer.level_micro,
    }
}
