//! Orders to model engines, their results, and the engines' reports.

use std::fmt::Debug;
use std::future::Future;
use std::net::SocketAddr;

use quetzalpick_client::errors::Result;
use quetzalpick_core::id::{Artifact, Endpoint};
use strum::Display;

/// `Action` distinguishes orders that load from orders that unload.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Action {
    /// Load the model or adapter.
    Load,
    /// Unload the model or adapter.
    Unload,
}

/// `Order` asks an engine to load or unload a model or adapter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Whether to load or unload.
    pub action: Action,
    /// The model, or the base model of the adapter.
    pub model: Artifact,
    /// The adapter, named `model/adapter`; `None` for the model itself.
    pub adapter: Option<Artifact>,
    /// Orders that the engine has accepted so far; the engine rejects the order if its own count differs on arrival.
    pub expected_orders: u64,
}

impl Order {
    /// Returns the model or adapter to load or unload.
    pub fn artifact(&self) -> &Artifact {
        self.adapter.as_ref().unwrap_or(&self.model)
    }
}

/// `OrderResult` describes how an engine answered an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum OrderResult {
    /// The engine carries out the order.
    Accepted,
    /// The requested state is already in effect.
    #[strum(serialize = "holds")]
    AlreadyDone,
    /// Another order is in progress, or the number of accepted orders differs.
    Conflict,
    /// The engine has received a higher fencing number.
    Fenced,
    /// The engine can never carry out this order.
    Refused,
    /// The address belongs to another engine, or to another incarnation of this one.
    Misdirected,
}

/// `Report` describes the state of an engine, as returned on request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Orders accepted since its start.
    pub accepted_orders: u64,
    /// Whether an order is in progress that excludes others.
    pub busy: bool,
    /// Models and adapters held; sorted.
    pub copies: Vec<Artifact>,
    /// Adapters that are being loaded.
    pub loading_adapters: Vec<Artifact>,
    /// Whether no other report came on its connection before, so that it is not the copy of one that was requested before.
    pub is_first: bool,
}

/// `EngineControl` calls the administration interface of model engines.
pub trait EngineControl: Clone + Debug + Send + Sync + 'static {
    /// Sends an order to the engine at `address`, over a connection that no other call uses; another engine or another incarnation of it
    /// there must reject the order. `holder` identifies the sending VM and its incarnation.
    ///
    /// # Errors
    ///
    /// Returns any error of the call; its verdict states whether the order may still take effect. `Error::Busy` names a pause in which
    /// the engine wants no calls of this VM.
    fn order(
        &self,
        address: SocketAddr,
        endpoint: &Endpoint,
        holder: &str,
        fence: u64,
        order: &Order,
    ) -> impl Future<Output = Result<OrderResult>> + Send;

    /// Requests an engine's report; it is the first on its connection if earlier ones are doubted.
    ///
    /// # Errors
    ///
    /// Returns any error of the call, `Error::Busy` as for an order.
    fn report(
        &self,
        address: SocketAddr,
        endpoint: &Endpoint,
        is_doubted: bool,
    ) -> impl Future<Output = Result<Report>> + Send;
}
