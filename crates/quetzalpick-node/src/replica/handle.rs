//! Handle through which the process reads and writes the replicated state.

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

/// Time limit of a caller's wait for a lease.
const QUICK_READ_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which callers do not wait after a wait for a lease has timed out.
const QUICK_READ_PAUSE: Duration = Duration::from_millis(250);

/// Time after which a caller without a lease may retry.
const NO_LEASE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Timeout of a call to a peer's application.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// `Replica` gives access to this process's copy of the replicated state, its lease and its writes; clones share them.
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
        let applied = self.shared.next_offset();
        f.debug_struct("Replica")
            .field("member", &member)
            .field("applied", &applied)
            .finish_non_exhaustive()
    }
}

impl<L: Log> Replica<L> {
    /// Starts a replica that calls its peers over HTTP; it is ready once `is_loaded` and `is_leased` return true.
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
    /// Opens the peer listener and creates a replica, with the future that must be polled for it to work.
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
        options.validate()?;
        let (listener, address) = transport.bind(&options.listen).await?;
        // With port 0 the system chooses the port, and peers need the chosen one.
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

    /// Calls `f` with the state locked; `f` must be quick, because it delays the fold, and must not use the replica.
    pub fn read<R>(&self, f: impl FnOnce(&State) -> R) -> R {
        f(&self.shared.folded().state)
    }

    /// Returns a receiver for changes of the first offset not applied.
    pub fn changed(&self) -> watch::Receiver<Offset> {
        self.shared.changed.subscribe()
    }

    /// Returns whether the replica has loaded a state.
    pub fn is_loaded(&self) -> bool {
        self.shared.folded().loaded
    }

    /// Waits until all entries are applied that the log holds when this is called; returns whether they are. It takes up to a second.
    pub async fn reach_head(&self) -> bool {
        self.shared.reach_head().await
    }

    /// Appends a record with this member as author and returns the result.
    pub async fn submit(&self, record: Record, expect: Option<Revision>) -> Answer {
        self.shared.submit(record, expect).await
    }

    /// Appends a record on behalf of an author; a command that was already applied is not appended again.
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

    /// Returns where a command was first applied and its outcome, if the state still has it.
    pub fn command_outcome(&self, command: Command) -> Option<(Offset, Outcome)> {
        self.shared.folded().command_outcome(command)
    }

    /// Checks the lease; without one it first waits briefly for an immediate read and exchange.
    ///
    /// # Errors
    ///
    /// `NoLease` if this process must not act on its copy of the state.
    pub async fn check_lease(&self) -> Result<(), NoLease> {
        if self.is_leased() {
            return Ok(());
        }
        let retry_after = NO_LEASE_RETRY_AFTER;
        let now = self.shared.clock.now();
        let until = &self.shared.no_quick_read_until;
        if now < until.load(Ordering::Relaxed) {
            return Err(NoLease { retry_after });
        }
        if timeout(QUICK_READ_TIMEOUT, self.wait_for_lease())
            .await
            .is_ok()
        {
            return Ok(());
        }
        let pause = millis(QUICK_READ_TIMEOUT + QUICK_READ_PAUSE);
        until.store(now + pause, Ordering::Relaxed);
        Err(NoLease { retry_after })
    }

    /// Requests an immediate read and exchange, and waits for the lease.
    async fn wait_for_lease(&self) {
        let mut renewals = self.shared.renewals.subscribe();
        self.shared.read_now.notify_one();
        self.shared.exchange_now.notify_one();
        while !self.is_leased() {
            // The sender lives as long as this handle.
            let _ = renewals.changed().await;
        }
    }

    /// Returns whether this process has a lease and is allowed to act on its copy of the state.
    pub fn is_leased(&self) -> bool {
        let leaving = self.shared.leaving.load(Ordering::Relaxed);
        !leaving && self.shared.holds_lease(&self.member())
    }

    /// Returns whether this process has a lease and is still `member`, so that grants to that member are still valid.
    pub fn is_leased_as(&self, member: &Member) -> bool {
        let leaving = self.shared.leaving.load(Ordering::Relaxed);
        let is_same = *self.shared.member.borrow() == *member;
        !leaving && is_same && self.shared.holds_lease(member)
    }

    /// Returns the member id of this process; it changes when the process rejoins after it was retired.
    pub fn member(&self) -> Member {
        self.shared.own_member()
    }

    /// Returns the other active members from which a message was received.
    pub fn peers(&self) -> Vec<Peer> {
        let now = self.shared.clock.now();
        let own_member = self.member();
        let folded = self.shared.folded();
        lock(&self.shared.peer_reports).peers(now, folded.state.roster(), &own_member)
    }

    /// Sets the application data that is sent in each exchange.
    pub fn set_payload(&self, payload: Bytes) {
        *lock(&self.shared.payload) = payload;
    }

    /// Updates the platform's list of VMs; a silent member whose VM is missing from it is suspected in half the time.
    pub fn update_vm_list(&self, list: &vms::List) {
        let names = list.vms.iter().map(|vm| vm.name.clone());
        lock(&self.shared.peer_reports).update_vm_list(names);
    }

    /// Calls the application of a peer; `path` begins with `/`.
    ///
    /// # Errors
    ///
    /// Returns the error of the call with its verdict.
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
            .call_address(&address, &path, call, CALL_TIMEOUT)
            .await
    }

    /// Returns the address of a peer.
    fn address(&self, member: &Member) -> Option<String> {
        let folded = self.shared.folded();
        if let Some(row) = folded.state.roster().members().get(member) {
            return Some(row.peer_address.clone());
        }
        lock(&self.shared.peer_reports)
            .address(member)
            .map(str::to_owned)
    }

    /// Records the departure of this member and returns the result; the lease ends at once, even if the record fails.
    pub async fn leave(&self) -> Answer {
        self.shared.leaving.store(true, Ordering::Relaxed);
        let leave = Record::Leave(self.member());
        self.submit(leave, None).await
    }

    /// Stops all work of the replica.
    pub fn stop(&self) {
        self.shared.stop.cancel();
    }

    /// Registers the replica's metrics.
    pub fn register_metrics(&self, meter: &Meter) {
        let replica = self.clone();
        meter
            .u64_observable_gauge("quetzalpick_replica_applied")
            .with_description("First offset of the control stream that is not applied.")
            .with_callback(move |gauge| gauge.observe(replica.shared.next_offset().0, &[]))
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

/// Runs all tasks of a replica until it is stopped.
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
    let tasks = async {
        tokio::join!(
            shared.transport.serve(listener, service, stop.clone()),
            shared.follow(),
            shared.write(),
            shared.exchange(),
            shared.maintain_membership(),
            shared.monitor_members(),
            shared.publish(),
        );
    };
    tokio::select! {
        biased;
        () = stop.cancelled() => {}
        () = tasks => {}
    }
}
