//! Service for the calls of peers.

use std::sync::Arc;

use bytes::Bytes;
use quetzalpick_client::traits::Log;
use quetzalpick_core::state::Snapshot;
use serde::de::DeserializeOwned;

use crate::peer::{
    Application, Blob, Call, Entries, Exchange, Fetch, Service, Transport, encode, path,
};
use crate::replica::shared::Shared;

/// Maximum total size of the entries in one answer, in bytes.
const ENTRIES_MAX_BYTES: usize = 1024 * 1024;

/// `PeerService` answers exchanges, requests for entries or state, and calls to the application.
#[derive(Debug)]
pub(crate) struct PeerService<L, T, A> {
    pub(crate) shared: Arc<Shared<L, T>>,
    pub(crate) app: A,
}

impl<L, T, A: Clone> Clone for PeerService<L, T, A> {
    fn clone(&self) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
            app: self.app.clone(),
        }
    }
}

/// Decodes a request body; `None` if it is malformed.
fn parse<B: DeserializeOwned>(body: &[u8]) -> Option<B> {
    rmp_serde::from_slice(body).ok()
}

impl<L: Log, T: Transport, A: Application> PeerService<L, T, A> {
    /// Records a peer's exchange and answers with this process's own.
    fn exchange(&self, body: &[u8]) -> Option<Bytes> {
        let exchange: Exchange = parse(body)?;
        self.shared.receive_exchange(exchange);
        encode(&self.shared.own_exchange()).ok()
    }

    /// Answers with the kept entries from an offset on.
    fn entries(&self, body: &[u8]) -> Option<Bytes> {
        let Fetch { from } = parse(body)?;
        let recent = self
            .shared
            .folded()
            .recent
            .entries_from(from, ENTRIES_MAX_BYTES);
        let entries = recent.map(|entries| entries.into_iter().map(Blob).collect());
        encode(&Entries { entries }).ok()
    }

    /// Answers with a snapshot of the state, once one is loaded.
    fn state(&self) -> Option<Bytes> {
        let folded = self.shared.folded();
        let snapshot = folded
            .loaded
            .then(|| Snapshot::try_new(&folded.state))?
            .ok()?;
        drop(folded);
        snapshot.to_bytes().ok().map(Bytes::from)
    }

    /// Passes a call to the application.
    async fn call(&self, path: &str, body: &[u8]) -> Option<Bytes> {
        let Call { from, body } = parse(body)?;
        self.app.call(&from, path, body.0).await
    }
}

impl<L: Log, T: Transport, A: Application> Service for PeerService<L, T, A> {
    async fn answer(&self, path: &str, body: Bytes) -> Option<Bytes> {
        match path {
            path::EXCHANGE => self.exchange(&body),
            path::ENTRIES => self.entries(&body),
            path::STATE => self.state(),
            path => {
                self.call(path.strip_prefix(path::APPLICATION)?, &body)
                    .await
            }
        }
    }
}
