//! What the parts of a replica share.

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
use crate::replica::contacts::Contacts;
use crate::replica::view::View;
use crate::replica::writes::Writes;

/// Long reads in one lease.
const READS_PER_LEASE: u32 = 5;

/// Locks a mutex; data are whole between any two statements, so that a panic elsewhere does no harm.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// `Bounds` is what the last read told of the control stream.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Bounds {
    /// Oldest offset kept.
    pub(crate) oldest: Offset,
    /// Offset that the next append gets.
    pub(crate) head: Offset,
}

/// `Shared` is the data of a replica.
///
/// Locks are taken in the order of the fields and never held across an await.
#[derive(Debug)]
pub(crate) struct Shared<L, T> {
    pub(crate) log: L,
    pub(crate) transport: T,
    pub(crate) options: Options,
    pub(crate) clock: Clock,
    view: RwLock<View>,
    pub(crate) lease: Mutex<Lease>,
    pub(crate) quorum: Mutex<Tracker>,
    pub(crate) contacts: Mutex<Contacts>,
    pub(crate) writes: Writes,
    pub(crate) bounds: Mutex<Bounds>,
    pub(crate) payload: Mutex<Bytes>,
    rng: Mutex<StdRng>,
    pub(crate) member: watch::Sender<Member>,
    pub(crate) changed: watch::Sender<Offset>,
    /// Counts whatever may have renewed the lease.
    pub(crate) renewed: watch::Sender<u64>,
    /// Asks for a read without waiting.
    pub(crate) read_now: Notify,
    /// Asks for an exchange without waiting.
    pub(crate) exchange_now: Notify,
    /// Time of the last read that reached the head, in ms; 0 if there was none.
    pub(crate) read_at: AtomicU64,
    /// Whether the last read failed.
    pub(crate) read_failed: AtomicBool,
    /// Members called so far by turns.
    pub(crate) exchange_turn: AtomicUsize,
    /// Time until which no quick read is tried for a missing lease, in ms.
    pub(crate) no_lease_until: AtomicU64,
    /// Last change of the voters after which statements of others were forgotten.
    voters_pruned: AtomicU64,
    /// Digests of peers that differed at the same offset.
    pub(crate) divergences: AtomicU64,
    pub(crate) leaving: AtomicBool,
    pub(crate) stop: CancellationToken,
}

impl<L, T> Shared<L, T> {
    /// Makes the data of a replica that has loaded nothing.
    pub(crate) fn new(log: L, transport: T, options: Options) -> Self {
        let lease = lease_options(&options);
        Self {
            log,
            transport,
            clock: Clock::new(),
            view: RwLock::default(),
            lease: Mutex::new(Lease::new(lease)),
            quorum: Mutex::default(),
            contacts: Mutex::default(),
            writes: Writes::default(),
            bounds: Mutex::default(),
            payload: Mutex::default(),
            rng: Mutex::new(StdRng::seed_from_u64(options.seed)),
            member: watch::Sender::new(options.member.clone()),
            changed: watch::Sender::default(),
            renewed: watch::Sender::default(),
            read_now: Notify::new(),
            exchange_now: Notify::new(),
            read_at: AtomicU64::new(0),
            read_failed: AtomicBool::new(false),
            exchange_turn: AtomicUsize::new(0),
            no_lease_until: AtomicU64::new(0),
            voters_pruned: AtomicU64::new(0),
            divergences: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            stop: CancellationToken::new(),
            options,
        }
    }

    /// Locks the view for reading.
    pub(crate) fn view(&self) -> RwLockReadGuard<'_, View> {
        self.view.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns this member.
    pub(crate) fn me(&self) -> Member {
        self.member.borrow().clone()
    }

    /// Returns the first offset not applied.
    pub(crate) fn next(&self) -> Offset {
        self.view().state.next()
    }

    /// Draws a random number below `bound`, or 0.
    pub(crate) fn random_below(&self, bound: u64) -> u64 {
        lock(&self.rng).random_range(0..bound.max(1))
    }

    /// Draws an unused command id.
    pub(crate) fn draw_command(&self) -> Command {
        let mut rng = lock(&self.rng);
        Command(rng.random(), rng.random())
    }

    /// Tells whether a member may act on the state now.
    pub(crate) fn holds_lease(&self, member: &Member) -> bool {
        let view = self.view();
        let now = self.clock.now();
        view.loaded && lock(&self.lease).holds(now, &view.state, member)
    }

    /// Tells whether the log can be read: the last read succeeded, and not long ago.
    pub(crate) fn reads(&self) -> bool {
        let at = self.read_at.load(Ordering::Relaxed);
        at > 0 && !self.read_failed.load(Ordering::Relaxed) && !self.is_log_out()
    }

    /// Tells whether no read has reached the head for long; what is submitted then is not sent at all.
    pub(crate) fn is_log_out(&self) -> bool {
        let at = self.read_at.load(Ordering::Relaxed);
        let limit = millis(self.long_read() + self.options.exchange_interval * 2);
        self.clock.now().saturating_sub(at) > limit
    }

    /// Returns how long a read waits for entries: a lease is renewed well before it ends.
    pub(crate) fn long_read(&self) -> Duration {
        self.options.lease / READS_PER_LEASE
    }

    /// Takes over a state from a snapshot or a peer, unless the present one is as new.
    pub(crate) fn install(&self, state: State) -> bool {
        let installed = {
            let mut view = self.view.write().unwrap_or_else(PoisonError::into_inner);
            view.install(state)
        };
        if installed {
            self.after_change();
            let view = self.view();
            self.writes.settle(|command| view.command_outcome(command));
        }
        installed
    }

    /// Applies a run of records that begins at `first`.
    pub(crate) fn apply(&self, first: Offset, records: &[Bytes]) {
        // Decoding needs no lock.
        let decode = |bytes: &Bytes| (bytes.clone(), Entry::from_bytes(bytes).ok());
        let run = records.iter().map(decode).collect();
        let applied = {
            let mut view = self.view.write().unwrap_or_else(PoisonError::into_inner);
            view.apply(first, run)
        };
        self.after_change();
        for entry in applied {
            self.writes.resolve(entry);
        }
    }

    /// Notes this member's own progress and wakes whoever waits for it.
    fn after_change(&self) {
        let now = self.clock.now();
        let me = self.me();
        let next = {
            let view = self.view();
            let voters_changed = view.state.roster().voters_changed().0;
            if self.voters_pruned.swap(voters_changed, Ordering::Relaxed) != voters_changed {
                lock(&self.lease).prune(&view.state);
            }
            let mut quorum = lock(&self.quorum);
            quorum.update_voters(now, &view.state);
            quorum.record(&me, view.state.next(), now);
            view.state.next()
        };
        self.changed.send_if_modified(|offset| {
            let forward = next > *offset;
            *offset = next.max(*offset);
            forward
        });
        self.note_renewal();
    }

    /// Wakes whoever waits for a lease.
    pub(crate) fn note_renewal(&self) {
        self.renewed.send_modify(|count| *count += 1);
    }
}

/// Returns the core's options of the lease.
pub(crate) fn lease_options(options: &Options) -> lease::Options {
    lease::Options {
        lease_ms: millis(options.lease),
        ..lease::Options::default()
    }
}
