//! What the parts of a gate share.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use quetzalpick_client::http::Pool;
use quetzalpick_client::traits::Log;
use quetzalpick_core::id::{Member, Workspace};
use quetzalpick_core::retry;
use quetzalpick_node::replica::Replica;
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

use crate::admission::Admission;
use crate::api::refusal::{Kind, Refusal};
use crate::claim::ClaimCloser;
use crate::clock::Clock;
use crate::demand::Recorder;
use crate::fleet::Fleet;
use crate::meters::Meters;
use crate::options::Options;
use crate::share::{GatherLimits, Shares, TokenCharge};
use crate::standing::Standing;

/// `Context` is what the parts of a gate share.
#[derive(Debug)]
pub(crate) struct Context<L: Log> {
    pub(crate) replica: Replica<L>,
    pub(crate) pool: Pool,
    pub(crate) clock: Clock,
    pub(crate) options: Options,
    pub(crate) shares: Arc<Shares>,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) admission: Arc<Admission>,
    pub(crate) demand: Arc<Recorder>,
    pub(crate) closer: Arc<ClaimCloser>,
    pub(crate) budget: Mutex<retry::Budget>,
    pub(crate) standing: watch::Receiver<Standing>,
    pub(crate) meters: Meters,
    /// Work that outlives its caller and that a planned stop waits for.
    pub(crate) tasks: TaskTracker,
}

impl<L: Log> Context<L> {
    /// Returns the lease's member, under which this gate may act now.
    ///
    /// # Errors
    ///
    /// A refusal that did not run if there is no lease.
    pub(crate) async fn lease(&self) -> Result<Member, Refusal> {
        self.replica.check_lease().await.map_err(|no_lease| {
            let message = "this VM is cut off from the others";
            Refusal::not_run(Kind::UnavailableError, message).after(no_lease.retry_after)
        })?;
        let member = self.replica.member();
        self.replica.read(|state| self.shares.sync(&member, state));
        if self.replica.is_leased_as(&member) {
            return Ok(member);
        }
        // The process has lost its membership, or is about to join anew.
        let message = "this VM has just joined";
        Err(Refusal::not_run(Kind::UnavailableError, message).after(Duration::from_secs(1)))
    }

    /// Charges tokens to a workspace, with a lease: without one the shares may belong to others.
    ///
    /// # Errors
    ///
    /// A refusal that did not run if there is no lease or the tokens are not to be had.
    pub(crate) async fn charge(
        &self,
        workspace: &Workspace,
        tokens: u64,
    ) -> Result<TokenCharge, Refusal> {
        self.lease().await?;
        let limits = GatherLimits {
            timeout: self.options.gather_timeout,
            peers_max: self.options.gather_tries,
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
