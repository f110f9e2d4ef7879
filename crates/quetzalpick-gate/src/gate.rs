//! Start of a gate and its components, and the planned stop.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use quetzalpick_client::http::{self, Pool};
use quetzalpick_client::traits::{Engine, Log, Vms};
use quetzalpick_core::memory::Kind;
use quetzalpick_core::retry::Budget;
use quetzalpick_core::route::PrefixCache;
use quetzalpick_node::http::admin::{Admin, Readiness};
use quetzalpick_node::http::memory::Memory;
use quetzalpick_node::http::server::{self, Server};
use quetzalpick_node::lifecycle::{Lifecycle, Phase};
use quetzalpick_node::peer::Http;
use quetzalpick_node::replica::{self, Replica};
use quetzalpick_node::telemetry::metrics::Metrics;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::admission::Admission;
use crate::claim::ClaimCloser;
use crate::clock::Clock;
use crate::config_status::{self, ConfigStatus};
use crate::context::Context;
use crate::demand::DemandTracker;
use crate::errors::Result;
use crate::fleet::{Fleet, poll_engines, poll_vms, refresh_on_change};
use crate::meters::Meters;
use crate::options::Options;
use crate::serve::Handler;
use crate::share::{PeerHandler, Shares, hand_over, maintain};

/// `Platform` holds the clients of the external systems that a gate uses.
#[derive(Debug, Clone)]
pub struct Platform<L, E, V> {
    /// Client of the log service.
    pub log: L,
    /// Client of the engines' administration API.
    pub engine: E,
    /// Client of the VM list.
    pub vms: V,
    /// Memory for what the process holds of bodies and answers; the clients' pools share it.
    pub memory: Memory,
}

/// `Listeners` holds the addresses that a gate listens on, and the limits of connections.
#[derive(Debug, Clone)]
pub struct Listeners {
    /// IP address and port for callers.
    pub callers: String,
    /// IP address and port for health, readiness and metrics.
    pub admin: String,
    /// Limits of the callers' listener.
    pub limits: server::Options,
}

/// `Gate` represents a running gate; `stop` ends it as planned.
#[derive(Debug)]
pub struct Gate<L: Log> {
    context: Arc<Context<L>>,
    lifecycle: Lifecycle,
    address: SocketAddr,
    admin_address: SocketAddr,
    callers: JoinHandle<bool>,
    callers_stop: CancellationToken,
    background: CancellationToken,
}

/// `GateReadiness` reports whether a gate accepts requests, for the readiness check.
#[derive(Debug, Clone)]
struct GateReadiness<L: Log> {
    replica: Replica<L>,
    lifecycle: Lifecycle,
    shares: Arc<Shares>,
}

impl<L: Log> Readiness for GateReadiness<L> {
    fn unready_reason(&self) -> Option<String> {
        let phase = self.lifecycle.phase();
        if phase != Phase::Serving {
            return Some(format!("the process is {phase}"));
        }
        if !self.replica.is_leased() {
            return Some("no lease".to_owned());
        }
        let can_gather = self.shares.can_gather();
        (!can_gather).then(|| "other gates were not heard yet".to_owned())
    }
}

impl<L: Log> Gate<L> {
    /// Starts a gate; it is ready once it has loaded the state and holds a lease.
    ///
    /// # Errors
    ///
    /// `Error::Node` if a listener cannot be bound or the replica cannot start.
    pub async fn try_start(
        platform: Platform<L, impl Engine, impl Vms>,
        listeners: Listeners,
        replica: replica::Options,
        options: Options,
    ) -> Result<Self> {
        let metrics = Metrics::try_new()?;
        let callers = Server::try_bind(&listeners.callers, listeners.limits.clone()).await?;
        let admin = Server::try_bind(&listeners.admin, server::Options::default()).await?;
        let (address, admin_address) = (callers.address(), admin.address());
        let clock = Clock::new();
        let domain = replica.domain.clone();
        let shares = Arc::new(Shares::new(
            clock,
            replica.member.clone(),
            options.quota.clone(),
        ));
        let peer_handler = PeerHandler::new(Arc::clone(&shares));
        let control = platform.memory.of_kind(Kind::Control);
        let transport = Http::new(&replica.secret)
            .with_pool(Pool::with_memory(http::Options::default(), control));
        let (replica, driver) =
            Replica::try_new(platform.log, transport, replica, peer_handler.clone()).await?;
        tokio::spawn(driver);
        peer_handler.set_replica(replica.clone());
        replica.register_metrics(&metrics.meter("quetzalpick-node"));
        let (status_sender, config_status) = watch::channel(ConfigStatus::default());
        let age_ms = options.prefix_age.as_millis() as u64;
        let prefix_cache = PrefixCache::new(options.prefix_capacity, age_ms);
        // An answer to a caller is not broken off for the body of another one.
        let answers = platform.memory.of_kind(Kind::Body);
        let context = Arc::new(Context {
            pool: Pool::with_memory(http::Options::default(), answers),
            clock,
            shares,
            fleet: Arc::new(Fleet::new(
                clock,
                domain,
                options.route.clone(),
                prefix_cache,
            )),
            admission: Arc::new(Admission::new(clock, options.admit.clone())),
            demand: Arc::new(DemandTracker::new(clock)),
            closer: Arc::new(ClaimCloser::default()),
            budget: Mutex::new(Budget::new(clock.now_ms(), options.retry.clone())),
            config_status,
            meters: Meters::new(&metrics.meter("quetzalpick-gate")),
            memory: platform.memory,
            tasks: TaskTracker::new(),
            replica,
            options,
        });
        let meter = metrics.meter("quetzalpick-node");
        context.memory.register_metrics(&meter);
        let background = CancellationToken::new();
        start_background(
            &context,
            platform.engine,
            platform.vms,
            status_sender,
            &background,
        );
        let lifecycle = Lifecycle::default();
        let readiness = GateReadiness {
            replica: context.replica.clone(),
            lifecycle: lifecycle.clone(),
            shares: Arc::clone(&context.shares),
        };
        tokio::spawn(admin.run(Admin::new(readiness, metrics), background.clone()));
        let callers_stop = CancellationToken::new();
        let handler = Handler::new(Arc::clone(&context));
        let callers = tokio::spawn(callers.run(handler, callers_stop.clone()));
        lifecycle.advance(Phase::Serving);
        log::info!("gate: callers on {address}, admin on {admin_address}");
        Ok(Self {
            context,
            lifecycle,
            address,
            admin_address,
            callers,
            callers_stop,
            background,
        })
    }

    /// Returns the address of the callers' listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address of the admin listener.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Returns this gate's copy of the agreed state.
    pub fn replica(&self) -> &Replica<L> {
        &self.context.replica
    }

    /// Stops as planned: finishes every request, closes claims, hands shares over and leaves.
    ///
    /// Returns whether all requests were finished and all claims closed.
    pub async fn stop(self) -> bool {
        let options = &self.context.options;
        // Requests are still served during the grace period, so that the load balancer can see the unready state.
        self.lifecycle.advance(Phase::Unready);
        tokio::time::sleep(options.grace).await;
        self.lifecycle.advance(Phase::Draining);
        self.callers_stop.cancel();
        let finished = self.callers.await.unwrap_or(false);
        self.context.tasks.close();
        self.context.tasks.wait().await;
        let time_limit = options.hand_over_timeout;
        let closed = self.context.closer.wait_until_recorded(time_limit).await;
        self.lifecycle.advance(Phase::HandingOver);
        let replica = &self.context.replica;
        let handed = hand_over(replica, &self.context.shares, time_limit).await;
        self.lifecycle.advance(Phase::Leaving);
        let departure = replica.leave().await;
        log::info!(
            "lifecycle: departure {departure}, claims closed={closed}, shares handed={handed}"
        );
        self.background.cancel();
        self.lifecycle.advance(Phase::Stopped);
        finished && closed
    }
}

/// Starts the background tasks that run as long as the gate.
fn start_background<L: Log>(
    context: &Arc<Context<L>>,
    engine: impl Engine,
    vms: impl Vms,
    status_sender: watch::Sender<ConfigStatus>,
    stop: &CancellationToken,
) {
    let options = &context.options;
    let replica = || context.replica.clone();
    let lease = options.lease;
    spawn_until_cancelled(stop, config_status::track(replica(), status_sender, lease));
    let shares = Arc::clone(&context.shares);
    let demand = Arc::clone(&context.demand);
    spawn_until_cancelled(
        stop,
        maintain(replica(), shares, demand, options.share_interval),
    );
    let closer = Arc::clone(&context.closer);
    let closer_replica = replica();
    spawn_until_cancelled(stop, async move { closer.run(closer_replica).await });
    let (fleet, replica_handle) = (Arc::clone(&context.fleet), replica());
    spawn_until_cancelled(stop, async move {
        refresh_on_change(&fleet, replica_handle).await
    });
    let (fleet, interval) = (Arc::clone(&context.fleet), options.vms_interval);
    spawn_until_cancelled(stop, async move { poll_vms(&fleet, vms, interval).await });
    let (fleet, interval) = (Arc::clone(&context.fleet), options.report_interval);
    let reader = replica();
    spawn_until_cancelled(stop, async move {
        let engines = || reader.read(|state| fleet.engines_to_poll(state));
        poll_engines(&fleet, engine, interval, engines).await;
    });
}

/// Spawns a task that runs until the token is cancelled.
fn spawn_until_cancelled(
    stop: &CancellationToken,
    task: impl Future<Output = ()> + Send + 'static,
) {
    let stop = stop.clone();
    tokio::spawn(async move { stop.run_until_cancelled(task).await });
}
