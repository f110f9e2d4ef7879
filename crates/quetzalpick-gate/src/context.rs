//! State shared by the components of a gate.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use quetzalpick_client::http::Pool;
use quetzalpick_client::traits::Log;
use quetzalpick_core::id::{Member, Workspace};
use quetzalpick_core::retry;
use quetzalpick_node::http::memory::Memory;
use quetzalpick_node::replica::Replica;
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

use crate::admission::Admission;
use crate::api::refusal::{Kind, Refusal};
use crate::claim::ClaimCloser;
use crate::clock::Clock;
use crate::config_status::ConfigStatus;
use crate::demand::DemandTracker;
use crate::fleet::Fleet;
use crate::meters::Meters;
use crate::options::Options;
use crate::share::{GatherLimits, Shares, TokenCharge};

/// `Context` holds the state that the components of a gate share.
#[derive(Debug)]
pub(crate) struct Context<L: Log> {
    pub(crate) replica: Replica<L>,
    pub(crate) pool: Pool,
    pub(crate) clock: Clock,
    pub(crate) options: Options,
    pub(crate) shares: Arc<Shares>,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) admission: Arc<Admission>,
    pub(crate) demand: Arc<DemandTracker>,
    pub(crate) closer: Arc<ClaimCloser>,
    pub(crate) budget: Mutex<retry::Budget>,
    pub(crate) config_status: watch::Receiver<ConfigStatus>,
    pub(crate) meters: Meters,
    /// Memory for the bodies of requests.
    pub(crate) memory: Memory,
    /// Tasks that continue without their caller; a planned stop waits for them.
    pub(crate) tasks: TaskTracker,
}

impl<L: Log> Context<L> {
    /// Returns the member that holds the lease, on whose behalf this gate is allowed to act now.
    ///
    /// # Errors
    ///
    /// A refusal with verdict `not-run` if there is no lease.
    pub(crate) async fn lease(&self) -> Result<Member, Refusal> {
        self.replica.check_lease().await.map_err(|no_lease| {
            let message = "this VM is cut off from the others";
            Refusal::not_run(Kind::UnavailableError, message).with_retry_after(no_lease.retry_after)
        })?;
        let member = self.replica.member();
        self.replica.read(|state| self.shares.sync(&member, state));
        if self.replica.is_leased_as(&member) {
            return Ok(member);
        }
        // The process is no longer a member, or is about to join again.
        let message = "this VM has just joined";
        Err(Refusal::not_run(Kind::UnavailableError, message)
            .with_retry_after(Duration::from_secs(1)))
    }

    /// Charges tokens to a workspace; this requires a lease, because without one the shares may belong to other gates.
    ///
    /// # Errors
    ///
    /// A refusal with verdict `not-run` if there is no lease or the workspace lacks tokens.
    pub(crate) async fn charge(
        &self,
        workspace: &Workspace,
        tokens: u64,
    ) -> Result<TokenCharge, Refusal> {
        self.lease().await?;
        let limits = GatherLimits {
            answer_timeout: self.options.gather_answer_timeout,
            waits_max: self.options.gather_waits_max,
            peers_max: self.options.gather_peers_max,
        };
        let charging = self.shares.charge(&self.replica, workspace, tokens, limits);
        charging.await
    }

    /// Changes the retry budget.
    pub(crate) fn with_budget<R>(&self, change: impl FnOnce(&mut retry::Budget) -> R) -> R {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut budget)
    }
}
