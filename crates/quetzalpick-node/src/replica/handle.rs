//! The handle through which the process reads and writes the agreed state.

use std::future::Future;

use bytes::Bytes;
use quetzalpick_core::id::{Command, Member, Offset, Revision};
use quetzalpick_core::record::{Author, Record};
use quetzalpick_core::state::{Outcome, State};
use quetzalpick_platform::errors::Result as CallResult;
use quetzalpick_platform::traits::Log;
use tokio::sync::watch;

use crate::errors::Result;
use crate::peer::{Application, Http, Transport};
use crate::replica::{Answer, Options, Peer, Unleased};

/// `Replica` is this process's copy of the agreed state; clones share it.
#[derive(Debug, Clone)]
pub struct Replica<L: Log, T: Transport = Http> {
    log: L,
    transport: T,
}

impl<L: Log> Replica<L> {
    /// Starts a replica that calls its peers over HTTP; it is ready once `is_loaded` tells so.
    ///
    /// # Errors
    ///
    /// `Error::Bind` if the peer listener cannot be opened, `Error::Invalid` if an option is out of range.
    pub async fn try_start(log: L, options: Options, app: impl Application) -> Result<Self> {
        let transport = Http::new(options.secret.clone());
        let (replica, driver) = Self::try_new(log, transport, options, app)?;
        tokio::spawn(driver);
        Ok(replica)
    }
}

impl<L: Log, T: Transport> Replica<L, T> {
    /// Makes a replica and the future that does all of its work.
    ///
    /// # Errors
    ///
    /// `Error::Invalid` if an option is out of range.
    pub fn try_new(
        log: L,
        transport: T,
        options: Options,
        app: impl Application,
    ) -> Result<(Self, impl Future<Output = ()> + Send)> {
        options.check()?;
        let _ = app;
        Ok((Self { log, transport }, async {}))
    }

    /// Calls a function with the state; it must be quick, as it holds up the fold.
    pub fn read<R>(&self, look: impl FnOnce(&State) -> R) -> R {
        let _ = (look, &self.log, &self.transport);
        todo!()
    }

    /// Returns a receiver of the first offset not applied.
    pub fn changed(&self) -> watch::Receiver<Offset> {
        todo!()
    }

    /// Tells whether the replica has loaded a state and reached a head of the stream since it started.
    pub fn is_loaded(&self) -> bool {
        todo!()
    }

    /// Appends a record in this member's name and tells what became of it.
    pub async fn submit(&self, record: Record, expect: Option<Revision>) -> Answer {
        let _ = (record, expect);
        todo!()
    }

    /// Appends a record in another author's name; a command in use is not appended again.
    pub async fn submit_as(
        &self,
        author: Author,
        command: Command,
        record: Record,
        expect: Option<Revision>,
    ) -> Answer {
        let _ = (author, command, record, expect);
        todo!()
    }

    /// Draws an unused command id.
    pub fn draw_command(&self) -> Command {
        todo!()
    }

    /// Returns what became of a command, if it was applied and is still remembered.
    pub fn ask(&self, command: Command) -> Option<(Offset, Outcome)> {
        let _ = command;
        todo!()
    }

    /// Checks the lease; without one it first tries a quick read.
    ///
    /// # Errors
    ///
    /// `Unleased` if this process must not act on its view of the state.
    pub async fn leased(&self) -> Result<(), Unleased> {
        todo!()
    }

    /// Tells whether this process may act on its view of the state.
    pub fn is_leased(&self) -> bool {
        todo!()
    }

    /// Tells whether `is_leased` and this process is still that member, so that what was given to it is in force.
    pub fn is_leased_as(&self, member: &Member) -> bool {
        let _ = member;
        todo!()
    }

    /// Returns the member that this process is; it changes when the process was retired and has joined again.
    pub fn member(&self) -> Member {
        todo!()
    }

    /// Returns the peers that are active members.
    pub fn peers(&self) -> Vec<Peer> {
        todo!()
    }

    /// Sets what the application adds to each exchange.
    pub fn offer(&self, payload: Bytes) {
        let _ = payload;
        todo!()
    }

    /// Calls the application of a peer.
    ///
    /// # Errors
    ///
    /// Whatever the call meets, with its verdict.
    pub async fn call(&self, member: &Member, path: &str, body: Bytes) -> CallResult<Bytes> {
        let _ = (member, path, body);
        todo!()
    }

    /// Records the departure of this member and ends the replica's work; tells what became of the record.
    pub async fn leave(&self) -> Answer {
        todo!()
    }

    /// Ends the replica's work.
    pub fn stop(&self) {
        todo!()
    }
}
