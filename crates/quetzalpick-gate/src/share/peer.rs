//! Messages between gates about shares.

use std::future::Future;
use std::sync::{Arc, OnceLock};

use bytes::Bytes;
use quetzalpick_client::traits::Log;
use quetzalpick_core::id::Member;
use quetzalpick_core::quota::{Ack, Transfer, TransferRequest};
use quetzalpick_node::peer::Application;
use quetzalpick_node::replica::Replica;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::share::Shares;

/// Path of requests for tokens; the answer is a transfer, or none.
const REQUEST_PATH: &str = "/quota/ask";

/// Path of transfers; the answer is the acknowledgement.
const TRANSFER_PATH: &str = "/quota/transfer";

/// Path of acknowledgements.
const ACK_PATH: &str = "/quota/ack";

/// `PeerTransport` sends messages about shares to other gates.
pub(crate) trait PeerTransport {
    /// Requests tokens from a gate; `None` if it donates none or does not answer.
    fn request_tokens(
        &self,
        donor: &Member,
        request: &TransferRequest,
    ) -> impl Future<Output = Option<Transfer>> + Send;

    /// Sends a transfer; `None` if it was not answered.
    fn send_transfer(&self, transfer: &Transfer) -> impl Future<Output = Option<Ack>> + Send;

    /// Sends an acknowledgement without waiting; if it is lost, the donor repeats the transfer.
    fn send_ack(&self, donor: &Member, ack: Ack);
}

/// Encodes a message as MessagePack.
fn encode(message: &impl Serialize) -> Bytes {
    // Names and numbers always encode.
    Bytes::from(rmp_serde::to_vec(message).unwrap_or_default())
}

/// Decodes a message from MessagePack; `None` if it is not of the expected type.
fn decode<T: DeserializeOwned>(bytes: &Bytes) -> Option<T> {
    rmp_serde::from_slice(bytes).ok()
}

impl<L: Log> PeerTransport for Replica<L> {
    async fn request_tokens(&self, donor: &Member, request: &TransferRequest) -> Option<Transfer> {
        let answer = self.call(donor, REQUEST_PATH, encode(request)).await.ok()?;
        decode::<Option<Transfer>>(&answer)?
    }

    async fn send_transfer(&self, transfer: &Transfer) -> Option<Ack> {
        let answer = self
            .call(&transfer.to, TRANSFER_PATH, encode(transfer))
            .await;
        decode(&answer.ok()?)
    }

    fn send_ack(&self, donor: &Member, ack: Ack) {
        let (replica, donor) = (self.clone(), donor.clone());
        tokio::spawn(async move { replica.call(&donor, ACK_PATH, encode(&ack)).await });
    }
}

/// `PeerHandler` answers the messages of other gates; its clones share one replica.
#[derive(Debug)]
pub(crate) struct PeerHandler<L: Log> {
    shares: Arc<Shares>,
    replica: Arc<OnceLock<Replica<L>>>,
}

impl<L: Log> Clone for PeerHandler<L> {
    fn clone(&self) -> Self {
        Self {
            shares: Arc::clone(&self.shares),
            replica: Arc::clone(&self.replica),
        }
    }
}

impl<L: Log> PeerHandler<L> {
    /// Creates a handler that donates nothing until its replica is set.
    pub(crate) fn new(shares: Arc<Shares>) -> Self {
        Self {
            shares,
            replica: Arc::default(),
        }
    }

    /// Sets the replica, whose lease allows donations.
    pub(crate) fn set_replica(&self, replica: Replica<L>) {
        // The replica is set only once in the life of the process.
        let _ = self.replica.set(replica);
    }

    /// Updates the shares from the fold, because messages of peers may depend on its latest records.
    fn sync(&self) -> Option<&Replica<L>> {
        let replica = self.replica.get()?;
        let member = replica.member();
        replica.read(|state| self.shares.sync(&member, state));
        Some(replica)
    }

    /// Answers a request for tokens; without a lease nothing is donated.
    fn donate(&self, from: &Member, request: &TransferRequest) -> Option<Transfer> {
        let replica = self.sync()?;
        if !replica.is_leased_as(&self.shares.member()) {
            return None;
        }
        self.shares
            .with(|quota, now_ms| quota.donate(now_ms, from, request))
    }
}

impl<L: Log> Application for PeerHandler<L> {
    async fn call(&self, from: &Member, path: &str, body: Bytes) -> Option<Bytes> {
        match path {
            REQUEST_PATH => Some(encode(&self.donate(from, &decode(&body)?))),
            TRANSFER_PATH => {
                self.sync()?;
                Some(encode(&self.shares.accept(&decode(&body)?)))
            }
            ACK_PATH => {
                let ack: Ack = decode(&body)?;
                self.shares.with(|quota, now_ms| quota.settle(now_ms, &ack));
                Some(Bytes::new())
            }
            _ => None,
        }
    }
}
