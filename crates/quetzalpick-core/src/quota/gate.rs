//! One gate's shares of all workspaces: charges, transfers and share epochs.

use crate::id::{Member, Offset, Workspace};
use crate::quota::bucket::Portion;
use crate::quota::donors::peers_with_hint;
use crate::quota::pending::PendingTransfers;
use crate::quota::rebalance::planned_transfers;
use crate::quota::replay_window::ReplayWindow;
use crate::quota::share::Share;
use crate::quota::{Ack, Answer, Charge, Debit, Hint, MICRO, Peer, Transfer, TransferRequest};
use crate::record::{Declaration, Holding, Role};
use crate::state::State;
use crate::table::Table;

/// Milliseconds in one second.
const MS_PER_S: u64 = 1_000;

/// `Options` holds the tuning parameters of demand tracking and rebalancing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Half-life of the recent demand, in ms.
    pub half_life_ms: u64,
    /// Minimum surplus for rebalancing, in thousandths of the parts held.
    pub min_surplus_permille: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            half_life_ms: 2_000,
            min_surplus_permille: 200,
        }
    }
}

/// `Quota` holds one gate's shares of every workspace's rate and burst.
///
/// The parts held by all gates and carried by all transfers in flight add up to at most `PARTS_TOTAL` per workspace,
/// and a level never exceeds the capacity of its parts. Hence all gates together spend at most burst + rate x window in
/// any window. The caller charges and sends transfers only while its member holds a lease.
#[derive(Debug, Clone)]
pub struct Quota {
    member: Member,
    options: Options,
    /// Offset of the first entry not applied, as of the last sync.
    applied: Offset,
    /// Share epoch that this gate is in.
    epoch: Offset,
    /// Parts held on entering the epoch, until the declaration is accepted.
    declaration: Option<Declaration>,
    /// Active gates as of the last sync, sorted.
    pub(crate) gates: Vec<Member>,
    pub(crate) shares: Table<Workspace, Share>,
    pending: PendingTransfers,
    /// Numbers of the accepted transfers by donor, within the epoch.
    replay_windows: Table<Member, ReplayWindow>,
    /// Whether a planned shutdown has begun.
    stopping: bool,
}

impl Quota {
    /// Creates the quota of a member that has just joined, without any shares.
    pub fn new(member: Member, options: Options) -> Self {
        Self {
            member,
            options,
            applied: Offset::default(),
            epoch: Offset::default(),
            declaration: None,
            gates: Vec::new(),
            shares: Table::default(),
            pending: PendingTransfers::default(),
            replay_windows: Table::default(),
            stopping: false,
        }
    }

    /// Applies the folded state: gates, workspaces with rate and burst, grants, and the share epoch.
    ///
    /// It is called after each change of the state, before the gate reports the change as applied.
    pub fn sync(&mut self, now_ms: u64, state: &State) {
        self.applied = state.next();
        self.sync_gates(state);
        self.sync_shares(now_ms, state);
        // Grants are applied before entering the epoch: all of them precede it or belong to workspaces created within
        // it.
        let state_shares = state.shares();
        if state_shares.epoch() != self.epoch {
            self.enter_epoch(state_shares.epoch());
        }
        if !state_shares.awaiting().contains(&self.member) {
            self.declaration = None;
        }
    }

    fn sync_gates(&mut self, state: &State) {
        let members = state.roster().members().iter();
        let gates = members.filter(|(_, membership)| membership.role == Role::Gate);
        self.gates = gates.map(|(member, _)| member.clone()).collect();
    }

    fn sync_shares(&mut self, now_ms: u64, state: &State) {
        let workspaces = state.catalog().workspaces();
        // The share of a workspace that was removed, or removed and created again, is dropped.
        let created =
            |workspace: &Workspace| workspaces.get(workspace).map(|(created, _)| *created);
        self.shares
            .retain(|workspace, share| created(workspace) == Some(share.created));
        let grants = state.shares().grants(&self.member);
        for (workspace, (created, spec)) in workspaces.iter() {
            let share = self
                .shares
                .get_or_insert_with(workspace.clone(), || Share::new(*created));
            share.set_spec(now_ms, spec);
            if let Some(grant) = grants.and_then(|grants| grants.get(workspace)) {
                share.apply_grant(now_ms, grant);
            }
        }
    }

    /// Enters a share epoch: records the declaration and drops the transfers of the former epoch.
    ///
    /// The receiver of an unanswered transfer either accepted it before entering the epoch, and then declares it, or
    /// never accepts it.
    fn enter_epoch(&mut self, epoch: Offset) {
        self.epoch = epoch;
        self.pending.enter(epoch);
        self.replay_windows = Table::default();
        let holding = |(workspace, share): (&Workspace, &Share)| Holding {
            workspace: workspace.clone(),
            created: share.created,
            parts: share.bucket.parts(),
        };
        let holdings = self.shares.iter().map(holding);
        // The epoch reissues no parts of a workspace that was created within it.
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
        let Some(share) = self.shares.get_mut(workspace) else {
            return Charge::TooLarge { burst: 0 };
        };
        let burst = share.bucket.burst();
        if tokens > burst {
            return Charge::TooLarge { burst };
        }
        // Refused tokens count as demand too, so that rebalancing moves shares to this gate.
        let micro = tokens.saturating_mul(MICRO);
        share.demand.add(now_ms, half_life_ms, micro);
        if let Some(sequence) = share.bucket.charge(now_ms, tokens) {
            return Charge::Granted(Debit {
                workspace: workspace.clone(),
                created: share.created,
                tokens,
                sequence,
            });
        }
        let missing = share.bucket.missing(tokens);
        let wait_ms = missing.saturating_mul(MS_PER_S);
        Charge::Short {
            missing,
            retry_after_ms: wait_ms.div_ceil(share.bucket.rate().max(1)),
        }
    }

    /// Refunds charged tokens that were not used, limited to the least headroom of the bucket since the charge.
    pub fn refund(&mut self, now_ms: u64, debit: Debit, unused: u64) {
        let Some(share) = self.shares.get_mut(&debit.workspace) else {
            return;
        };
        if share.created == debit.created {
            let tokens = unused.min(debit.tokens);
            share.bucket.refund(now_ms, debit.sequence, tokens);
        }
    }

    /// Returns the declaration that the current epoch awaits from this member; it is unchanged until it is accepted.
    pub fn declaration(&self) -> Option<&Declaration> {
        self.declaration.as_ref()
    }

    /// Returns a request to a peer for missing tokens; `None` if the workspace is unknown.
    pub fn transfer_request(
        &mut self,
        now_ms: u64,
        workspace: &Workspace,
        missing: u64,
    ) -> Option<TransferRequest> {
        let half_life_ms = self.options.half_life_ms;
        let share = self.shares.get_mut(workspace)?;
        Some(TransferRequest {
            workspace: workspace.clone(),
            created: share.created,
            epoch: self.epoch,
            missing_micro: missing.saturating_mul(MICRO),
            demand_micro: share.demand.sum(now_ms, half_life_ms),
        })
    }

    /// Answers a peer's request with a transfer, whose parts and level are subtracted at once; `None` if nothing can be
    /// given.
    pub fn donate(
        &mut self,
        now_ms: u64,
        to: &Member,
        request: &TransferRequest,
    ) -> Option<Transfer> {
        if request.epoch != self.epoch || !self.may_send(to) {
            return None;
        }
        let share = self.shares.get_mut(&request.workspace)?;
        if share.created != request.created {
            return None;
        }
        let (parts, level_micro) =
            share.amount_to_donate(now_ms, self.options.half_life_ms, request)?;
        let portion = share.bucket.remove(now_ms, parts, level_micro);
        let created = share.created;
        let from = &self.member;
        Some(
            self.pending
                .create(from, to, &request.workspace, created, portion),
        )
    }

    /// Accepts a transfer; copies that arrive later have no further effect.
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
        // This gate may have accepted and declared a transfer of a former epoch. If it refused the transfer, a donor
        // still in that epoch would restore and declare it too. The donor drops the transfer on entering the next
        // epoch.
        if transfer.epoch != self.epoch {
            return Answer::Later;
        }
        let replay_window = self
            .replay_windows
            .get_or_insert_with(transfer.from.clone(), ReplayWindow::default);
        replay_window.advance(transfer.oldest);
        if replay_window.is_duplicate(transfer.number) {
            return Answer::Taken;
        }
        if !replay_window.is_in_window(transfer.number) {
            return Answer::Later;
        }
        if self.stopping {
            return Answer::Refused;
        }
        match self.shares.get_mut(&transfer.workspace) {
            Some(share) if share.created == transfer.created => {
                replay_window.record(transfer.number);
                share.bucket.add(now_ms, portion_of(transfer));
                Answer::Taken
            }
            // The workspace was created at an offset that this gate has not applied.
            _ if transfer.created >= self.applied => Answer::Later,
            _ => Answer::Refused,
        }
    }

    /// Removes a pending transfer that was answered, and restores its parts if it was refused in the same epoch.
    pub fn settle(&mut self, now_ms: u64, ack: &Ack) {
        if ack.answer == Answer::Later {
            return;
        }
        let Some(transfer) = self.pending.complete(ack) else {
            return;
        };
        if ack.answer == Answer::Refused {
            self.restore(now_ms, &transfer);
        }
    }

    fn restore(&mut self, now_ms: u64, transfer: &Transfer) {
        let share = self.shares.get_mut(&transfer.workspace);
        if let Some(share) = share.filter(|share| share.created == transfer.created) {
            share.bucket.add(now_ms, portion_of(transfer));
        }
    }

    /// Returns the transfers that were not answered and must be resent.
    pub fn unacknowledged(&self) -> &[Transfer] {
        self.pending.transfers()
    }

    /// Returns the hints for the peers, sorted by workspace.
    pub fn hints(&mut self, now_ms: u64) -> Vec<Hint> {
        let half_life_ms = self.options.half_life_ms;
        let shares = self.shares.iter_mut();
        let hints = shares.map(|(workspace, share)| share.hint(now_ms, half_life_ms, workspace));
        hints.collect()
    }

    /// Returns transfers that adapt shares to demand; their parts and levels are subtracted at once.
    pub fn rebalance(&mut self, now_ms: u64, peers: &[Peer]) -> Vec<Transfer> {
        if self.stopping {
            return Vec::new();
        }
        let mut transfers = Vec::new();
        for own in self.hints(now_ms) {
            let hints = peers_with_hint(&self.gates, &own.workspace, own.created, peers);
            // The hint of a peer with an unanswered transfer is outdated: the peer may hold more than it reported.
            let is_current =
                |(to, _): &(&Member, &Hint)| !self.pending.is_pending(to, &own.workspace);
            let hints: Vec<_> = hints.filter(is_current).collect();
            for planned in planned_transfers(&own, &hints, self.options.min_surplus_permille) {
                transfers.extend(self.create_transfer(now_ms, planned.to, &own, planned.parts));
            }
        }
        transfers
    }

    /// Returns transfers of all parts held, for a planned shutdown; later charges find an empty bucket.
    ///
    /// It is called repeatedly until both `unacknowledged` and the result are empty.
    pub fn hand_over(&mut self, now_ms: u64, peers: &[Member]) -> Vec<Transfer> {
        self.stopping = true;
        let peers: Vec<_> = peers.iter().filter(|to| self.may_receive(to)).collect();
        let mut transfers = Vec::new();
        for own in self.hints(now_ms) {
            let mut remaining = own.parts;
            for (index, to) in peers.iter().enumerate() {
                let parts = remaining / (peers.len() - index) as u64;
                remaining -= parts;
                transfers.extend(self.create_transfer(now_ms, to, &own, parts));
            }
        }
        transfers
    }

    /// Subtracts parts with their share of the level, as of the hint, and creates a transfer of them.
    fn create_transfer(
        &mut self,
        now_ms: u64,
        to: &Member,
        own: &Hint,
        parts: u64,
    ) -> Option<Transfer> {
        if parts == 0 || !self.pending.can_send(to) {
            return None;
        }
        let share = self.shares.get_mut(&own.workspace)?;
        let level = u128::from(own.level_micro) * u128::from(parts) / u128::from(own.parts.max(1));
        // `parts` is at most the hint's, and so is the level.
        let level_micro = u64::try_from(level).unwrap_or(own.level_micro);
        let portion = share.bucket.remove(now_ms, parts, level_micro);
        let (from, workspace) = (&self.member, &own.workspace);
        Some(
            self.pending
                .create(from, to, workspace, own.created, portion),
        )
    }

    /// Returns whether a transfer to a peer may be created; gates that have departed get none.
    fn may_send(&self, to: &Member) -> bool {
        !self.stopping && self.may_receive(to) && self.pending.can_send(to)
    }

    fn may_receive(&self, to: &Member) -> bool {
        *to != self.member && self.gates.binary_search(to).is_ok()
    }
}

/// Returns the parts and level that a transfer moves.
fn portion_of(transfer: &Transfer) -> Portion {
    Portion {
        parts: transfer.parts,
        level_micro: transfer.level_micro,
    }
}
