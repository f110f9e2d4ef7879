//! Shared state of an entry's requests.

use std::fmt::Debug;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;

use quetzalpick_client::errors::Result as CallResult;
use quetzalpick_client::http::{Pool, Request, Response, Timeouts};
use quetzalpick_core::id::{Artifact, Endpoint, Service, Workspace};
use quetzalpick_core::limit::Need;
use quetzalpick_core::retry::{Budget, RefusalRate, RetryAfter};
use quetzalpick_core::room::Report;
use quetzalpick_core::table::Table;
use quetzalpick_node::http::memory::Memory;
use quetzalpick_node::lifecycle::{Lifecycle, Phase};
use rand::random;

use crate::clock::Clock;
use crate::exchange::{DrawResult, PermitResult};
use crate::fleet::{Build, Fleet, Notice};
use crate::link::Link;
use crate::meters::Meters;
use crate::options::Options;
use crate::origin::{Origin, Origins};
use crate::quarantine::{Block, Quarantine};
use crate::rate::Rates;
use crate::serve::Stop;
use crate::serve::request::Admitted;
use crate::sync::lock;
use crate::view::View;

/// `OriginSearch` holds what other VMs know of where a stream began.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct OriginSearch {
    /// Where it began, if one of them knows.
    pub(crate) origin: Option<Origin>,
    /// Builds at which it may have begun, as far as they know.
    pub(crate) builds: Vec<Build>,
    /// Whether one of them knows all of these.
    pub(crate) is_complete: bool,
    /// Number of VMs that were asked.
    pub(crate) asked: usize,
    /// Number of VMs that answered.
    pub(crate) answered: usize,
}

/// `PeerClient` requests units, adapters and knowledge that this VM lacks from the leader and other VMs.
pub(crate) trait PeerClient: Debug + Send + Sync + 'static {
    /// Draws units of a workspace's rate from the leader.
    fn draw(&self, workspace: &Workspace, units: u64) -> impl Future<Output = DrawResult> + Send;

    /// Requests the permit for one request to an endpoint from the leader; `report` is set if the endpoint may fall over.
    fn request_permit(
        &self,
        limit: Notice,
        need: Need,
        report: Option<Report>,
    ) -> impl Future<Output = PermitResult> + Send;

    /// Borrows units of a workspace's rate from other VMs, used while no leader answers; returns the number lent.
    fn borrow(&self, workspace: &Workspace, units: u64) -> impl Future<Output = u64> + Send;

    /// Asks other VMs where the stream of a service began that an attempt brought.
    fn find_origin(
        &self,
        service: &Service,
        attempt: Option<&str>,
    ) -> impl Future<Output = OriginSearch> + Send;

    /// Sends a request to an endpoint through another VM.
    fn forward(
        &self,
        endpoint: &Endpoint,
        request: Request,
        timeouts: Timeouts,
    ) -> impl Future<Output = CallResult<Response>> + Send;

    /// Requests an adapter that no endpoint holds; returns once an endpoint holds it or none will soon.
    fn request_adapter(&self, adapter: &Artifact) -> impl Future<Output = ()> + Send;
}

/// `Context` holds the state shared by all requests of an entry.
#[derive(Debug)]
pub(crate) struct Context<E, S> {
    pub(crate) head_codec: E,
    pub(crate) clock: Clock,
    pub(crate) options: RwLock<Arc<Options>>,
    pub(crate) pool: Pool,
    pub(crate) view: Arc<View>,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) rates: Arc<Rates>,
    pub(crate) origins: Arc<Origins>,
    pub(crate) quarantine: Arc<Quarantine>,
    pub(crate) link: Arc<Link>,
    pub(crate) peer_client: Arc<S>,
    /// Retries that this VM may make, by service.
    pub(crate) budgets: Mutex<Table<Service, Budget>>,
    /// No permit is requested before this time, in ms, because no leader answered.
    pub(crate) leaderless_until_ms: AtomicU64,
    /// Rate at which endpoints refuse requests, by service.
    pub(crate) refusal_rates: Mutex<Table<Service, RefusalRate>>,
    pub(crate) lifecycle: Lifecycle,
    pub(crate) stop: Stop,
    pub(crate) meters: Meters,
    /// Memory for what is held for callers.
    pub(crate) memory: Memory,
}

impl<E, S> Context<E, S> {
    /// Returns the current options.
    pub(crate) fn options(&self) -> Arc<Options> {
        let options = self.options.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&options)
    }

    /// Applies the options that may change while the process runs: the bounds set by the operator.
    pub(crate) fn update_options(&self, new: &Options) {
        let mut options = self.options.write().unwrap_or_else(PoisonError::into_inner);
        *options = Arc::new(Options {
            revocation: new.revocation,
            stop_timeout: new.stop_timeout,
            overdraft: new.overdraft,
            retry: new.retry,
            ..Options::clone(&options)
        });
        self.rates.set_overdraft(new.overdraft);
    }

    /// Returns whether the process is stopping, so that connections are closed after the answer.
    pub(crate) fn is_stopping(&self) -> bool {
        self.lifecycle.phase() > Phase::Serving
    }

    /// Returns why a request must not be sent to endpoints as it may crash them, if so.
    pub(crate) fn block(&self, admitted: &Admitted) -> Option<Block> {
        let now_ms = self.clock.now_ms();
        self.quarantine.block(now_ms, admitted.features())
    }

    /// Adds the fraction of a retry that each request earns to the budget of its service.
    pub(crate) fn deposit(&self, service: &Service) {
        self.with_budget(service, |budget, _| budget.deposit());
    }

    /// Withdraws a retry from the budget of a service; returns whether it held one.
    pub(crate) fn withdraw(&self, service: &Service) -> bool {
        self.with_budget(service, |budget, now_ms| budget.withdraw(now_ms))
    }

    /// Records that an endpoint of a service accepted a request.
    pub(crate) fn record_acceptance(&self, service: &Service) {
        let now_ms = self.clock.now_ms();
        self.with_refusal_rate(service, |refusal_rate, options| {
            refusal_rate.record(now_ms, false, options);
        });
    }

    /// Records that the endpoints of a service refused a request, and returns the retry delay.
    pub(crate) fn record_refusal(&self, service: &Service) -> Duration {
        let now_ms = self.clock.now_ms();
        let after_ms = self.with_refusal_rate(service, |refusal_rate, options| {
            refusal_rate.record(now_ms, true, options);
            refusal_rate.retry_after_ms(options, random())
        });
        Duration::from_millis(after_ms)
    }

    fn with_refusal_rate<T>(
        &self,
        service: &Service,
        act: impl FnOnce(&mut RefusalRate, &RetryAfter) -> T,
    ) -> T {
        let mut refusal_rates = lock(&self.refusal_rates);
        let refusal_rate = refusal_rates.get_or_insert_with(service.clone(), RefusalRate::default);
        act(refusal_rate, &RetryAfter::default())
    }

    /// Calls `act` with the budget of a service, adjusted to the present number of VMs, and the current time, in ms.
    fn with_budget<T>(&self, service: &Service, act: impl FnOnce(&mut Budget, u64) -> T) -> T {
        let now_ms = self.clock.now_ms();
        let retries = self.options().retry;
        // While the number of VMs is not known, no part of the budget is this VM's own.
        let members = self.rates.member_count().unwrap_or(usize::MAX);
        let options = retries.share(members);
        let mut budgets = lock(&self.budgets);
        // Nothing is saved at first, as all VMs may have started at once.
        let new_budget = || Budget::new(now_ms, retries.share(usize::MAX));
        let budget = budgets.get_or_insert_with(service.clone(), new_budget);
        budget.adjust(now_ms, options);
        act(budget, now_ms)
    }
}
