//! What the requests of an entry share.

use std::fmt::Debug;
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;

use quetzalpick_client::http::Pool;
use quetzalpick_core::id::{Artifact, Service, Workspace};
use quetzalpick_core::retry::{Budget, RefusalRate, RetryAfter};
use quetzalpick_core::table::Table;
use quetzalpick_node::lifecycle::{Lifecycle, Phase};
use rand::random;

use crate::clock::Clock;
use crate::exchange::DrawResult;
use crate::fleet::Fleet;
use crate::meters::Meters;
use crate::options::Options;
use crate::rate::Rates;
use crate::view::View;

/// `Supply` gets from the leader what this VM lacks.
pub(crate) trait Supply: Debug + Send + Sync + 'static {
    /// Draws units of a workspace's rate.
    fn draw(&self, workspace: &Workspace, units: u64) -> impl Future<Output = DrawResult> + Send;

    /// Borrows units of a workspace's rate from other VMs, for when no leader answers; returns how many are lent.
    fn borrow(&self, workspace: &Workspace, units: u64) -> impl Future<Output = u64> + Send;

    /// Asks for an adapter that no endpoint holds, and waits until an endpoint holds it or that will not be soon.
    fn want(&self, adapter: &Artifact) -> impl Future<Output = ()> + Send;
}

/// `Context` is what the requests of an entry share.
#[derive(Debug)]
pub(crate) struct Context<E, S> {
    pub(crate) head_codec: E,
    pub(crate) clock: Clock,
    pub(crate) options: RwLock<Arc<Options>>,
    pub(crate) pool: Pool,
    pub(crate) view: Arc<View>,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) rates: Arc<Rates>,
    pub(crate) supply: Arc<S>,
    pub(crate) budget: Mutex<Budget>,
    /// How hard it is to find a place, by service.
    pub(crate) refusal_rates: Mutex<Table<Service, RefusalRate>>,
    pub(crate) lifecycle: Lifecycle,
    pub(crate) meters: Meters,
}

impl<E, S> Context<E, S> {
    /// Returns the options in force.
    pub(crate) fn options(&self) -> Arc<Options> {
        let options = self.options.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&options)
    }

    /// Takes over those options that may change while the process runs: what operators may rely on.
    pub(crate) fn adopt(&self, new: &Options) {
        let mut options = self.options.write().unwrap_or_else(PoisonError::into_inner);
        *options = Arc::new(Options {
            revocation: new.revocation,
            stop: new.stop,
            overdraft: new.overdraft,
            retry: new.retry,
            ..Options::clone(&options)
        });
        self.rates.set_overdraft(new.overdraft);
    }

    /// Tells whether the process is stopping, so that connections are not to be kept.
    pub(crate) fn is_stopping(&self) -> bool {
        self.lifecycle.phase() > Phase::Serving
    }

    /// Notes a request, which earns a part of a retry.
    pub(crate) fn deposit(&self) {
        self.with_budget(Budget::deposit);
    }

    /// Takes a retry from the budget if it holds one.
    pub(crate) fn withdraw(&self) -> bool {
        let now_ms = self.clock.now_ms();
        let options = self.options().retry.share(self.rates.members());
        self.with_budget(|budget| {
            budget.adjust(now_ms, options);
            budget.withdraw(now_ms)
        })
    }

    /// Notes that a request for a service found a place.
    pub(crate) fn note_place(&self, service: &Service) {
        let now_ms = self.clock.now_ms();
        self.with_refusal_rate(service, |refusal_rate, options| {
            refusal_rate.record(now_ms, false, options);
        });
    }

    /// Notes that a request for a service found no place, and returns when it is to come back.
    pub(crate) fn note_refusal(&self, service: &Service) -> Duration {
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
        let refusal_rates = self.refusal_rates.lock();
        let mut refusal_rates = refusal_rates.unwrap_or_else(PoisonError::into_inner);
        let refusal_rate = refusal_rates.get_or_insert_with(service.clone(), RefusalRate::default);
        act(refusal_rate, &RetryAfter::default())
    }

    fn with_budget<T>(&self, act: impl FnOnce(&mut Budget) -> T) -> T {
        act(&mut self.budget.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
