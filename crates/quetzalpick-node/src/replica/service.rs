//! Answers the calls of peers.

use std::sync::Arc;

use bytes::Bytes;
use quetzalpick_client::traits::Log;
use quetzalpick_core::state::Snapshot;
use serde::de::DeserializeOwned;

use crate::peer::{
    Application, Blob, Call, Entries, Exchange, Fetch, Service, Transport, encode, path,
};
use crate::replica::shared::Shared;

/// Most bytes of entries in one answer.
const RUN_MAX_BYTES: usize = 1024 * 1024;

/// `PeerService` answers the calls of peers.
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

/// Decodes a body that a peer sent.
fn parse<B: DeserializeOwned>(body: &[u8]) -> Option<B> {
    rmp_serde::from_slice(body).ok()
}

impl<L: Log, T: Transport, A: Application> PeerService<L, T, A> {
    /// Takes a peer's statement and answers with the own one.
    fn exchange(&self, body: &[u8]) -> Option<Bytes> {
        let exchange: Exchange = parse(body)?;
        self.shared.hear(exchange);
        encode(&self.shared.statement()).ok()
    }

    /// Answers with entries from an offset on.
    fn entries(&self, body: &[u8]) -> Option<Bytes> {
        let Fetch { from } = parse(body)?;
        let run = self.shared.view().ring.run(from, RUN_MAX_BYTES);
        let entries = run.map(|run| run.into_iter().map(Blob).collect());
        encode(&Entries { entries }).ok()
    }

    /// Answers with the state.
    fn state(&self) -> Option<Bytes> {
        let view = self.shared.view();
        let snapshot = view.loaded.then(|| Snapshot::try_new(&view.state))?.ok()?;
        drop(view);
        snapshot.to_bytes().ok().map(Bytes::from)
    }

    /// Hands a call to the application.
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
