//! The handle through which the process reads and writes the agreed state.

use std::fmt;
use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use opentelemetry::metrics::Meter;
use quetzalpick_client::errors::{Result as CallResult, unanswered};
use quetzalpick_client::traits::Log;
use quetzalpick_client::wire::vms;
use quetzalpick_core::id::{Command, Member, Offset, Revision};
use quetzalpick_core::record::{Author, Record};
use quetzalpick_core::state::{Outcome, State};
use quetzalpick_core::verdict::Verdict;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::errors::Result;
use crate::peer::{Application, Blob, Call, Http, Transport, encode, path};
use crate::replica::clock::millis;
use crate::replica::service::PeerService;
use crate::replica::shared::{Shared, lock};
use crate::replica::{Answer, NoLease, Options, Peer};

/// Longest time that a caller waits for a lease.
const QUICK_READ_LIMIT: Duration = Duration::from_millis(250);

/// Time for which no further caller waits after one has waited in vain.
const QUICK_READ_PAUSE: Duration = Duration::from_millis(250);

/// When a caller is told to come back for want of a lease.
const NO_LEASE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Longest time for the answer to a call of a peer's application.
const CALL_LIMIT: Duration = Duration::from_secs(5);

/// `Replica` is this process's copy of the agreed state; clones share it.
pub struct Replica<L: Log, T: Transport = Http> {
    shared: Arc<Shared<L, T>>,
}

impl<L: Log, T: Transport> Clone for Replica<L, T> {
    fn clone(&self) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
        }
    }
}

impl<L: Log, T: Transport> fmt::Debug for Replica<L, T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let member = self.member();
        let applied = self.shared.next();
        f.debug_struct("Replica")
            .field("member", &member)
            .field("applied", &applied)
            .finish_non_exhaustive()
    }
}

impl<L: Log> Replica<L> {
    /// Starts a replica that calls its peers over HTTP; it is ready once `is_loaded` and `is_leased` tell so.
    ///
    /// # Errors
    ///
    /// `Error::Bind` if the peer listener cannot be opened, `Error::Invalid` if an option is out of range.
    pub async fn try_start(log: L, options: Options, app: impl Application) -> Result<Self> {
        let transport = Http::new(&options.secret);
        let (replica, driver) = Self::try_new(log, transport, options, app).await?;
        tokio::spawn(driver);
        Ok(replica)
    }
}

impl<L: Log, T: Transport> Replica<L, T> {
    /// Opens the peer listener and makes a replica, with the future that does all of its work.
    ///
    /// # Errors
    ///
    /// `Error::Bind` if the peer listener cannot be opened, `Error::Invalid` if an option is out of range.
    pub async fn try_new(
        log: L,
        transport: T,
        mut options: Options,
        app: impl Application,
    ) -> Result<(Self, impl Future<Output = ()> + Send)> {
        options.check()?;
        let (listener, address) = transport.bind(&options.listen).await?;
        // A listener on a port of the system's choice is reached at what was chosen.
        if options.peer_address.ends_with(":0") {
            options.peer_address = address;
        }
        let shared = Arc::new(Shared::new(log, transport, options));
        let replica = Self {
            shared: Arc::clone(&shared),
        };
        let driver = drive(shared, listener, app);
        Ok((replica, driver))
    }

    /// Calls a function with the state; it must be quick, as it holds up the fold, and must not use the replica.
    pub fn read<R>(&self, look: impl FnOnce(&State) -> R) -> R {
        look(&self.shared.view().state)
    }

    /// Returns a receiver of the first offset not applied.
    pub fn changed(&self) -> watch::Receiver<Offset> {
        self.shared.changed.subscribe()
    }

    /// Tells whether the replica has loaded a state.
    pub fn is_loaded(&self) -> bool {
        self.shared.view().loaded
    }

    /// Appends a record in this member's name and tells what became of it.
    pub async fn submit(&self, record: Record, expect: Option<Revision>) -> Answer {
        self.shared.submit(record, expect).await
    }

    /// Appends a record in another author's name; a command that was applied is not appended again.
    pub async fn submit_as(
        &self,
        author: Author,
        command: Command,
        record: Record,
        expect: Option<Revision>,
    ) -> Answer {
        self.shared.submit_as(author, command, record, expect).await
    }

    /// Draws an unused command id.
    pub fn draw_command(&self) -> Command {
        self.shared.draw_command()
    }

    /// Returns what became of a command, if it was applied and is still remembered.
    pub fn command_outcome(&self, command: Command) -> Option<(Offset, Outcome)> {
        self.shared.view().command_outcome(command)
    }

    /// Checks the lease; without one it first tries a quick read.
    ///
    /// # Errors
    ///
    /// `NoLease` if this process must not act on its view of the state.
    pub async fn check_lease(&self) -> Result<(), NoLease> {
        if self.is_leased() {
            return Ok(());
        }
        let retry_after = NO_LEASE_RETRY_AFTER;
        let now = self.shared.clock.now();
        let until = &self.shared.no_lease_until;
        if now < until.load(Ordering::Relaxed) {
            return Err(NoLease { retry_after });
        }
        if timeout(QUICK_READ_LIMIT, self.renewed()).await.is_ok() {
            return Ok(());
        }
        let pause = millis(QUICK_READ_LIMIT + QUICK_READ_PAUSE);
        until.store(now + pause, Ordering::Relaxed);
        Err(NoLease { retry_after })
    }

    /// Waits for the lease, asking for a read and an exchange at once.
    async fn renewed(&self) {
        let mut renewed = self.shared.renewed.subscribe();
        self.shared.read_now.notify_one();
        self.shared.exchange_now.notify_one();
        while !self.is_leased() {
            // The sender lives as long as this handle.
            let _ = renewed.changed().await;
        }
    }

    /// Tells whether this process may act on its view of the state.
    pub fn is_leased(&self) -> bool {
        let leaving = self.shared.leaving.load(Ordering::Relaxed);
        !leaving && self.shared.holds_lease(&self.member())
    }

    /// Tells whether `is_leased` and this process is still that member, so that what was given to it is in force.
    pub fn is_leased_as(&self, member: &Member) -> bool {
        let leaving = self.shared.leaving.load(Ordering::Relaxed);
        let same = *self.shared.member.borrow() == *member;
        !leaving && same && self.shared.holds_lease(member)
    }

    /// Returns the member that this process is; it changes when the process was retired and has joined again.
    pub fn member(&self) -> Member {
        self.shared.me()
    }

    /// Returns the peers that are active members and were heard.
    pub fn peers(&self) -> Vec<Peer> {
        let now = self.shared.clock.now();
        let me = self.member();
        let view = self.shared.view();
        lock(&self.shared.contacts).peers(now, view.state.roster(), &me)
    }

    /// Sets what the application adds to each exchange.
    pub fn set_payload(&self, payload: Bytes) {
        *lock(&self.shared.payload) = payload;
    }

    /// Takes the platform's list of VMs: a silent member whose VM it lacks is suspected in half the time.
    pub fn update_vm_list(&self, list: &vms::List) {
        let names = list.vms.iter().map(|vm| vm.name.clone());
        lock(&self.shared.contacts).list(names);
    }

    /// Calls the application of a peer; `path` begins with `/`.
    ///
    /// # Errors
    ///
    /// Whatever the call meets, with its verdict.
    pub async fn call(&self, member: &Member, path: &str, body: Bytes) -> CallResult<Bytes> {
        let Some(address) = self.address(member) else {
            let reason = "no known address";
            return Err(unanswered(member, Verdict::NotRun, reason));
        };
        let from = self.member();
        let body = Blob(body);
        let call = encode(&Call { from, body })?;
        let path = format!("{}{path}", path::APPLICATION);
        self.shared
            .call_address(&address, &path, call, CALL_LIMIT)
            .await
    }

    /// Returns the address of a peer.
    fn address(&self, member: &Member) -> Option<String> {
        let view = self.shared.view();
        if let Some(row) = view.state.roster().members().get(member) {
            return Some(row.peer_address.clone());
        }
        lock(&self.shared.contacts)
            .address(member)
            .map(str::to_owned)
    }

    /// Records the departure of this member and tells what became of the record; from here on there is no lease.
    pub async fn leave(&self) -> Answer {
        self.shared.leaving.store(true, Ordering::Relaxed);
        let leave = Record::Leave(self.member());
        self.submit(leave, None).await
    }

    /// Ends the replica's work.
    pub fn stop(&self) {
        self.shared.stop.cancel();
    }

    /// Registers the replica's metrics.
    pub fn register_metrics(&self, meter: &Meter) {
        let replica = self.clone();
        meter
            .u64_observable_gauge("quetzalpick_replica_applied")
            .with_description("First offset of the control stream that is not applied.")
            .with_callback(move |gauge| gauge.observe(replica.shared.next().0, &[]))
            .build();
        let replica = self.clone();
        meter
            .u64_observable_gauge("quetzalpick_replica_leased")
            .with_description("1 while this process may act on its view of the state.")
            .with_callback(move |gauge| gauge.observe(u64::from(replica.is_leased()), &[]))
            .build();
        let replica = self.clone();
        meter
            .u64_observable_counter("quetzalpick_replica_divergences")
            .with_description("Digests of peers that differed at the same offset.")
            .with_callback(move |counter| counter.observe(replica.divergences(), &[]))
            .build();
    }

    /// Returns how many digests of peers differed at the same offset.
    pub fn divergences(&self) -> u64 {
        self.shared.divergences.load(Ordering::Relaxed)
    }
}

/// Does all work of a replica until it is stopped.
async fn drive<L: Log, T: Transport, A: Application>(
    shared: Arc<Shared<L, T>>,
    listener: T::Listener,
    app: A,
) {
    let stop = shared.stop.clone();
    let service = PeerService {
        shared: Arc::clone(&shared),
        app,
    };
    let work = async {
        tokio::join!(
            shared.transport.serve(listener, service, stop.clone()),
            shared.follow(),
            shared.write(),
            shared.exchange(),
            shared.stay_present(),
            shared.watch_others(),
            shared.publish(),
        );
    };
    tokio::select! {
                biased;
        () = stop.cancelled() => {}
        () = work => {}
    }
}
