//! Answers the other VMs' calls.

use std::sync::Arc;

use bytes::Bytes;
use quetzalpick_node::peer::Service;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::clock::Clock;
use crate::exchange::message::{Draw, path};
use crate::lead::Lead;
use crate::place::EngineControl;
use crate::rate::Rates;

/// `PeerHandler` answers the calls that reach the peer listener; its clones are one handler.
#[derive(Debug)]
pub(crate) struct PeerHandler<N> {
    pub(crate) lead: Arc<Lead<N>>,
    pub(crate) rates: Arc<Rates>,
    pub(crate) clock: Clock,
}

impl<N> Clone for PeerHandler<N> {
    fn clone(&self) -> Self {
        Self {
            lead: Arc::clone(&self.lead),
            rates: Arc::clone(&self.rates),
            clock: self.clock,
        }
    }
}

impl<N: EngineControl> Service for PeerHandler<N> {
    async fn answer(&self, path: &str, body: Bytes) -> Option<Bytes> {
        match path {
            path::STATUS => encode(&self.lead.status(decode(&body)?)),
            path::DRAW => encode(&self.lead.draw(&decode(&body)?)),
            path::LEND => encode(&self.lend(&decode(&body)?)),
            path::WANT => encode(&self.lead.want(decode(&body)?).await),
            _ => None,
        }
    }
}

impl<N> PeerHandler<N> {
    /// Lends units that this VM has.
    fn lend(&self, draw: &Draw) -> u64 {
        let now_ms = self.clock.now_ms();
        self.rates.lend(now_ms, &draw.workspace, draw.units)
    }
}

/// Decodes a call; `None` if it cannot be read, which the caller is told.
pub(crate) fn decode<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    let message = rmp_serde::from_slice(body);
    message
        .inspect_err(|error| log::warn!("exchange: message passed over reason=\"{error}\""))
        .ok()
}

/// Encodes a message; `None` if the codec refuses, which no message of ours provokes.
pub(crate) fn encode(message: &impl Serialize) -> Option<Bytes> {
    let bytes = rmp_serde::to_vec(message);
    bytes
        .inspect_err(|error| log::error!("exchange: message not encoded reason=\"{error}\""))
        .ok()
        .map(Bytes::from)
}
