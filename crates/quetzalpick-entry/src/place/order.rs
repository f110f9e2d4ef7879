//! Orders to model engines, and what engines say of them.

use std::fmt::Debug;
use std::future::Future;
use std::net::SocketAddr;

use quetzalpick_client::errors::Result;
use quetzalpick_core::id::{Artifact, Endpoint};
use strum::Display;

/// `Action` is what an order asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Action {
    /// Load the model or adapter.
    Load,
    /// Unload it.
    Unload,
}

/// `Order` asks an engine to change what it holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// What to do.
    pub action: Action,
    /// With which model, or the model of the adapter.
    pub model: Artifact,
    /// With which adapter, named `model/adapter`; `None` for the model itself.
    pub adapter: Option<Artifact>,
    /// Orders that the engine has accepted so far; with any other number the order is void, whenever it arrives.
    pub expected_orders: u64,
}

impl Order {
    /// Returns the model or adapter that the order is about.
    pub fn artifact(&self) -> &Artifact {
        self.adapter.as_ref().unwrap_or(&self.model)
    }
}

/// `OrderResult` is an engine's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum OrderResult {
    /// The order is carried out.
    Accepted,
    /// What it asks for holds already.
    #[strum(serialize = "holds")]
    AlreadyDone,
    /// Another order is under way, or the number of accepted orders differs.
    Conflict,
    /// The engine has seen a higher fencing number.
    Fenced,
    /// The engine will never do it.
    Refused,
    /// Another engine, or another start of it, has the address.
    Misdirected,
}

/// `Report` is what an engine says of itself when asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Orders accepted since its start.
    pub orders: u64,
    /// Whether an order for a model is under way.
    pub busy: bool,
    /// Models and adapters held; sorted.
    pub copies: Vec<Artifact>,
    /// Adapters that are on their way.
    pub coming: Vec<Artifact>,
}

/// `EngineControl` is the administration side of model engines.
pub trait EngineControl: Clone + Debug + std::marker::Send + Sync + 'static {
    /// Sends an order to the start of an engine that an address belonged to.
    ///
    /// # Errors
    ///
    /// Whatever the call meets; the verdict tells whether the order may take effect.
    fn order(
        &self,
        address: SocketAddr,
        endpoint: &Endpoint,
        holder: &str,
        fence: u64,
        order: &Order,
    ) -> impl Future<Output = Result<OrderResult>> + std::marker::Send;

    /// Asks an engine what it holds.
    ///
    /// # Errors
    ///
    /// Whatever the call meets.
    fn report(
        &self,
        address: SocketAddr,
        endpoint: &Endpoint,
    ) -> impl Future<Output = Result<Report>> + std::marker::Send;
}
