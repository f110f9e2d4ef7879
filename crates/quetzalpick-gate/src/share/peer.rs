//! Calls between gates about shares.

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

/// Path that asks for tokens; the answer is a transfer or nothing.
const ASK: &str = "/quota/ask";

/// Path that delivers a transfer; the answer is its acknowledgement.
const TRANSFER: &str = "/quota/transfer";

/// Path that delivers an acknowledgement.
const ACK: &str = "/quota/ack";

/// `Peers` carries messages about shares to other gates.
pub(crate) trait Peers {
    /// Asks a gate for tokens; `None` if it gives none or does not answer.
    fn ask(
        &self,
        donor: &Member,
        request: &TransferRequest,
    ) -> impl Future<Output = Option<Transfer>> + Send;

    /// Delivers a transfer; `None` if it was not answered.
    fn transfer(&self, transfer: &Transfer) -> impl Future<Output = Option<Ack>> + Send;

    /// Delivers an acknowledgement without waiting; a lost one is asked for again by a repeated transfer.
    fn acknowledge(&self, donor: &Member, ack: Ack);
}

/// Encodes a message.
fn encode(message: &impl Serialize) -> Bytes {
    // Names and numbers always encode.
    Bytes::from(rmp_serde::to_vec(message).unwrap_or_default())
}

/// Decodes a message; `None` if it is not of the expected type.
fn decode<T: DeserializeOwned>(bytes: &Bytes) -> Option<T> {
    rmp_serde::from_slice(bytes).ok()
}

impl<L: Log> Peers for Replica<L> {
    async fn ask(&self, donor: &Member, request: &TransferRequest) -> Option<Transfer> {
        let answer = self.call(donor, ASK, encode(request)).await.ok()?;
        decode::<Option<Transfer>>(&answer)?
    }

    async fn transfer(&self, transfer: &Transfer) -> Option<Ack> {
        let answer = self.call(&transfer.to, TRANSFER, encode(transfer)).await;
        decode(&answer.ok()?)
    }

    fn acknowledge(&self, donor: &Member, ack: Ack) {
        let (replica, donor) = (self.clone(), donor.clone());
        tokio::spawn(async move { replica.call(&donor, ACK, encode(&ack)).await });
    }
}

/// `Answerer` answers the calls of other gates.
#[derive(Debug)]
pub(crate) struct Answerer<L: Log> {
    shares: Arc<Shares>,
    replica: Arc<OnceLock<Replica<L>>>,
}

impl<L: Log> Clone for Answerer<L> {
    fn clone(&self) -> Self {
        Self {
            shares: Arc::clone(&self.shares),
            replica: Arc::clone(&self.replica),
        }
    }
}

impl<L: Log> Answerer<L> {
    /// Makes an answerer that gives nothing until it is connected.
    pub(crate) fn new(shares: Arc<Shares>) -> Self {
        Self {
            shares,
            replica: Arc::default(),
        }
    }

    /// Connects the replica whose lease allows giving.
    pub(crate) fn connect(&self, replica: Replica<L>) {
        // There is one replica for the life of the process.
        let _ = self.replica.set(replica);
    }

    /// Brings the shares in step with the fold, as what peers send may rest on it.
    fn sync(&self) -> Option<&Replica<L>> {
        let replica = self.replica.get()?;
        let member = replica.member();
        replica.read(|state| self.shares.sync(&member, state));
        Some(replica)
    }

    /// Answers a request for tokens; without a lease nothing is given.
    fn donate(&self, from: &Member, request: &TransferRequest) -> Option<Transfer> {
        let replica = self.sync()?;
        if !replica.is_leased_as(&self.shares.member()) {
            return None;
        }
        self.shares
            .with(|quota, now_ms| quota.donate(now_ms, from, request))
    }
}

impl<L: Log> Application for Answerer<L> {
    async fn call(&self, from: &Member, path: &str, body: Bytes) -> Option<Bytes> {
        match path {
            ASK => Some(encode(&self.donate(from, &decode(&body)?))),
            TRANSFER => {
                self.sync()?;
                Some(encode(&self.shares.take(&decode(&body)?)))
            }
            ACK => {
                let ack: Ack = decode(&body)?;
                self.shares.with(|quota, now_ms| quota.settle(now_ms, &ack));
                Some(Bytes::new())
            }
            _ => None,
        }
    }
}
