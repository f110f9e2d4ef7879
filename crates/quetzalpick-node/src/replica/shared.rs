//! State shared by the tasks of a replica.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError, RwLock, RwLockReadGuard};
use std::time::Duration;

use bytes::Bytes;
use quetzalpick_core::id::{Command, Member, Offset};
use quetzalpick_core::lease::{self, Lease};
use quetzalpick_core::quorum::Tracker;
use quetzalpick_core::record::Entry;
use quetzalpick_core::state::State;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;

use crate::replica::Options;
use crate::replica::clock::{Clock, millis};
use crate::replica::folded::FoldedState;
use crate::replica::peer_reports::PeerReports;
use crate::replica::writes::PendingWrites;

/// Number of consecutive long reads within one lease, so that several can renew it.
const READS_PER_LEASE: u32 = 5;

/// Locks a mutex and ignores poisoning: each code statement leaves the data consistent, so a panic elsewhere is
/// harmless.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// `StreamBounds` stores the range of offsets that a stream had at the last read.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct StreamBounds {
    /// Oldest offset kept.
    pub(crate) oldest: Offset,
    /// Offset that the next append gets.
    pub(crate) head: Offset,
}

/// `Shared` stores the data that all tasks of a replica use.
///
/// Locks are taken in the order of the fields and never held across an await.
#[derive(Debug)]
pub(crate) struct Shared<L, T> {
    pub(crate) log: L,
    pub(crate) transport: T,
    pub(crate) options: Options,
    pub(crate) clock: Clock,
    folded: RwLock<FoldedState>,
    pub(crate) lease: Mutex<Lease>,
    pub(crate) quorum: Mutex<Tracker>,
    pub(crate) peer_reports: Mutex<PeerReports>,
    pub(crate) writes: PendingWrites,
    pub(crate) bounds: Mutex<StreamBounds>,
    pub(crate) payload: Mutex<Bytes>,
    rng: Mutex<StdRng>,
    pub(crate) member: watch::Sender<Member>,
    pub(crate) changed: watch::Sender<Offset>,
    /// Counts events that may have renewed the lease.
    pub(crate) renewals: watch::Sender<u64>,
    /// Requests a read that does not wait for new entries.
    pub(crate) read_now: Notify,
    /// Requests an exchange before the interval has passed.
    pub(crate) exchange_now: Notify,
    /// Time of the last read that reached the head, in ms; 0 if there was none.
    pub(crate) last_read_at: AtomicU64,
    /// Whether the last read failed.
    pub(crate) read_failed: AtomicBool,
    /// Number of members called in round-robin order so far.
    pub(crate) round_robin_count: AtomicUsize,
    /// Time until which a missing lease triggers no quick read, in ms.
    pub(crate) no_quick_read_until: AtomicU64,
    /// Offset of the last voter change after which statements of non-voters were dropped.
    last_pruned_change: AtomicU64,
    /// Number of peer digests that differed from the own one at the same offset.
    pub(crate) divergences: AtomicU64,
    pub(crate) leaving: AtomicBool,
    pub(crate) stop: CancellationToken,
}

impl<L, T> Shared<L, T> {
    /// Creates the data of a replica that has not loaded a state.
    pub(crate) fn new(log: L, transport: T, options: Options) -> Self {
        let lease = lease_options(&options);
        Self {
            log,
            transport,
            clock: Clock::new(),
            folded: RwLock::default(),
            lease: Mutex::new(Lease::new(lease)),
            quorum: Mutex::default(),
            peer_reports: Mutex::default(),
            writes: PendingWrites::default(),
            bounds: Mutex::default(),
            payload: Mutex::default(),
            rng: Mutex::new(StdRng::seed_from_u64(options.seed)),
            member: watch::Sender::new(options.member.clone()),
            changed: watch::Sender::default(),
            renewals: watch::Sender::default(),
            read_now: Notify::new(),
            exchange_now: Notify::new(),
            last_read_at: AtomicU64::new(0),
            read_failed: AtomicBool::new(false),
            round_robin_count: AtomicUsize::new(0),
            no_quick_read_until: AtomicU64::new(0),
            last_pruned_change: AtomicU64::new(0),
            divergences: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            stop: CancellationToken::new(),
            options,
        }
    }

    /// Locks the folded state for reading.
    pub(crate) fn folded(&self) -> RwLockReadGuard<'_, FoldedState> {
        self.folded.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the member id of this process.
    pub(crate) fn own_member(&self) -> Member {
        self.member.borrow().clone()
    }

    /// Returns the first offset not applied.
    pub(crate) fn next_offset(&self) -> Offset {
        self.folded().state.next()
    }

    /// Returns a random number below `bound`, or 0 if `bound` is 0.
    pub(crate) fn random_below(&self, bound: u64) -> u64 {
        lock(&self.rng).random_range(0..bound.max(1))
    }

    /// Draws an unused command id.
    pub(crate) fn draw_command(&self) -> Command {
        let mut rng = lock(&self.rng);
        Command(rng.random(), rng.random())
    }

    /// Returns whether a member has a lease and is allowed to act on the state now.
    pub(crate) fn holds_lease(&self, member: &Member) -> bool {
        let folded = self.folded();
        let now = self.clock.now();
        folded.loaded && lock(&self.lease).holds(now, &folded.state, member)
    }

    /// Returns whether the log is readable: the last read succeeded and was recent.
    pub(crate) fn can_read_log(&self) -> bool {
        let at = self.last_read_at.load(Ordering::Relaxed);
        at > 0 && !self.read_failed.load(Ordering::Relaxed) && !self.is_log_unavailable()
    }

    /// Returns whether no read has reached the head for too long; submitted entries are then refused as not sent.
    pub(crate) fn is_log_unavailable(&self) -> bool {
        let at = self.last_read_at.load(Ordering::Relaxed);
        let limit_ms = millis(self.long_read_wait() + self.options.exchange_interval * 2);
        self.clock.now().saturating_sub(at) > limit_ms
    }

    /// Returns how long a read waits for entries, short enough to renew a lease well before it expires.
    pub(crate) fn long_read_wait(&self) -> Duration {
        self.options.lease / READS_PER_LEASE
    }

    /// Replaces the state if `state`, from a snapshot or a peer, is newer, and returns whether it did.
    pub(crate) fn install(&self, state: State) -> bool {
        let installed = {
            let mut folded = self.folded.write().unwrap_or_else(PoisonError::into_inner);
            folded.install(state)
        };
        if installed {
            self.update_progress();
            let folded = self.folded();
            self.writes
                .resolve_from(|command| folded.command_outcome(command));
        }
        installed
    }

    /// Applies consecutive records that begin at `first`.
    pub(crate) fn apply(&self, first: Offset, records: &[Bytes]) {
        // Records are decoded before the lock is taken.
        let decode = |bytes: &Bytes| (bytes.clone(), Entry::from_bytes(bytes).ok());
        let entries = records.iter().map(decode).collect();
        let applied = {
            let mut folded = self.folded.write().unwrap_or_else(PoisonError::into_inner);
            folded.apply(first, entries)
        };
        self.update_progress();
        for entry in applied {
            self.writes.resolve(entry);
        }
    }

    /// Records this member's own applied offset for the quorum and notifies waiting tasks.
    fn update_progress(&self) {
        let now = self.clock.now();
        let own_member = self.own_member();
        let next = {
            let folded = self.folded();
            let voters_changed = folded.state.roster().voters_changed().0;
            if self
                .last_pruned_change
                .swap(voters_changed, Ordering::Relaxed)
                != voters_changed
            {
                lock(&self.lease).prune(&folded.state);
            }
            let mut quorum = lock(&self.quorum);
            quorum.update_voters(now, &folded.state);
            quorum.record(&own_member, folded.state.next(), now);
            folded.state.next()
        };
        self.changed.send_if_modified(|offset| {
            let forward = next > *offset;
            *offset = next.max(*offset);
            forward
        });
        self.notify_renewal();
    }

    /// Wakes callers that wait for a lease.
    pub(crate) fn notify_renewal(&self) {
        self.renewals.send_modify(|count| *count += 1);
    }
}

/// Returns the lease options of the core.
pub(crate) fn lease_options(options: &Options) -> lease::Options {
    lease::Options {
        lease_ms: millis(options.lease),
        ..lease::Options::default()
    }
}
