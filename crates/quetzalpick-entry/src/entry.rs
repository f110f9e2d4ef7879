//! Starts the components of an entry and stops them gracefully.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

use quetzalpick_client::http::Pool;
use quetzalpick_client::topic::Topics;
use quetzalpick_core::election::Candidate;
use quetzalpick_core::id::Incarnation;
use quetzalpick_node::http::admin::{Admin, Readiness};
use quetzalpick_node::http::memory::Memory;
use quetzalpick_node::http::server::{self, Server};
use quetzalpick_node::lifecycle::{Lifecycle, Phase, stop_signal};
use quetzalpick_node::peer::Transport;
use quetzalpick_node::telemetry::metrics::Metrics;
use snafu::{ResultExt, ensure};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout};
use tokio_util::sync::CancellationToken;

use crate::clock::Clock;
use crate::errors::{Result, SignalSnafu, UnfinishedSnafu};
use crate::exchange::{Client, PeerHandler};
use crate::fleet::Fleet;
use crate::lead::{ElectionDriver, Leadership, PlanExecutor};
use crate::link::{Link, Monitor};
use crate::meters::Meters;
use crate::options::Options;
use crate::origin::Origins;
use crate::place::EngineControl;
use crate::quarantine::Quarantine;
use crate::rate::Rates;
use crate::reload::{Changes, reload};
use crate::serve::{Context, Handler, PeerClient, Stop};
use crate::view::{
    ConfigFollower, EndpointFollower, EvacuationMonitor, Membership, OriginFollower,
    QuarantineFollower, View,
};
use crate::wire::{HeadCodec, RecordCodec};

/// `Platform` holds the clients, codecs and clock through which an entry reaches other systems.
#[derive(Debug, Clone)]
pub struct Platform<T, E, C, N, P> {
    /// The log service.
    pub topics: T,
    /// Codec of request and answer heads.
    pub head_codec: E,
    /// Codec of the records that operators and endpoints write.
    pub record_codec: C,
    /// Client of the administration API of model engines.
    pub engines: N,
    /// Transport for calls between VMs.
    pub transport: P,
    /// Connection pool for endpoints.
    pub pool: Pool,
    /// Memory for what the process holds of bodies and answers; the pools share it.
    pub memory: Memory,
    /// Clock for leases, ages and rates.
    pub clock: Clock,
}

/// `Listeners` holds the addresses and limits of an entry's listeners.
#[derive(Debug, Clone)]
pub struct Listeners {
    /// IP address and port for callers.
    pub callers: String,
    /// IP address and port for health, readiness and metrics.
    pub admin: String,
    /// IP address and port for the other VMs.
    pub peers: String,
    /// Limits of the callers' listener.
    pub limits: server::Options,
}

/// `Entry` controls a running entry: applies changed options and stops it.
#[derive(Debug)]
pub struct Entry<T, E, N, P> {
    context: Arc<Context<E, Client<N, P>>>,
    election_driver: ElectionDriver<T, N>,
    /// Stops participation in the election.
    election_stop: CancellationToken,
    callers: JoinHandle<bool>,
    callers_stop: CancellationToken,
    /// Serves the other VMs.
    peers: JoinHandle<()>,
    /// Stops all tasks but the callers' listener.
    background_stop: CancellationToken,
    /// Addresses of the callers' and the admin listener.
    addresses: [SocketAddr; 2],
}

/// `EntryReadiness` reports an entry ready while it serves with a sufficiently fresh configuration.
#[derive(Debug)]
struct EntryReadiness<E, S> {
    context: Arc<Context<E, S>>,
}

impl<E, S> Clone for EntryReadiness<E, S> {
    fn clone(&self) -> Self {
        let context = Arc::clone(&self.context);
        Self { context }
    }
}

impl<E: HeadCodec, S: PeerClient> Readiness for EntryReadiness<E, S> {
    fn unready_reason(&self) -> Option<String> {
        let phase = self.context.lifecycle.phase();
        if phase != Phase::Serving {
            return Some(format!("the process is {phase}"));
        }
        if self.context.view.config().is_none() {
            return Some("no configuration was read".to_owned());
        }
        let age_ms = self.context.view.age_ms(self.context.clock.now_ms());
        let fresh = age_ms.is_some_and(|age| age <= self.context.options().key_age_max_ms());
        (!fresh).then(|| format!("the view is {age_ms:?} ms old"))
    }
}

impl<T: Topics, E: HeadCodec, N: EngineControl, P: Transport + Debug> Entry<T, E, N, P> {
    /// Starts an entry, which becomes ready once it has read a configuration.
    ///
    /// # Errors
    ///
    /// `Error::Node` if a listener cannot be bound or the metrics cannot be set up.
    pub async fn try_start<C: RecordCodec>(
        platform: Platform<T, E, C, N, P>,
        listeners: Listeners,
        options: Options,
    ) -> Result<Self> {
        let (connections, buffer_bytes) =
            (listeners.limits.connections, platform.memory.limit_bytes());
        log::info!("entry: limits connections={connections} buffer_bytes={buffer_bytes}");
        let metrics = Metrics::try_new()?;
        let callers = Server::try_bind(&listeners.callers, listeners.limits).await?;
        let admin = Server::try_bind(&listeners.admin, server::Options::default()).await?;
        let (peers, peer_address) = platform.transport.bind(&listeners.peers).await?;
        let addresses = [callers.address(), admin.address()];
        let clock = platform.clock;
        let view = Arc::new(View::default());
        let fleet = Arc::new(Fleet::new(options.domain.clone(), options.route.clone()));
        let rates = Arc::new(Rates::new(options.floor_permille, options.overdraft));
        let origins = Arc::new(Origins::default());
        let quarantine = Arc::new(Quarantine::default());
        let link = Arc::new(Link::new(Arc::clone(&fleet), platform.pool.clone(), clock));
        let lead = Arc::new(new_leadership(
            &platform,
            &view,
            &fleet,
            &quarantine,
            &options,
            peer_address,
        ));
        let client = Arc::new(Client {
            lead: Arc::clone(&lead),
            transport: platform.transport.clone(),
            fleet: Arc::clone(&fleet),
            rates: Arc::clone(&rates),
            view: Arc::clone(&view),
            clock,
            leader_fence: AtomicU64::default(),
            copies_version: AtomicU64::default(),
            endpoints_version: AtomicU64::default(),
            paces_version: AtomicU64::default(),
            peers: Mutex::default(),
            registrars: Mutex::default(),
            origins: Arc::clone(&origins),
            quarantine: Arc::clone(&quarantine),
            link: Arc::clone(&link),
            avoided: Mutex::default(),
        });
        let vm = options.vm.clone();
        let context = Arc::new(Context {
            head_codec: platform.head_codec.clone(),
            clock,
            pool: platform.pool.clone(),
            view,
            fleet,
            rates,
            origins,
            quarantine,
            link,
            peer_client: client,
            budgets: Mutex::default(),
            leaderless_until_ms: AtomicU64::default(),
            refusal_rates: Mutex::default(),
            lifecycle: Lifecycle::default(),
            stop: Stop::default(),
            meters: Meters::new(&metrics.meter("quetzalpick-entry")),
            memory: platform.memory.clone(),
            options: RwLock::new(Arc::new(options)),
        });
        let meter = metrics.meter("quetzalpick-node");
        context.memory.register_metrics(&meter);
        let background_stop = CancellationToken::new();
        let peer_handler = PeerHandler {
            head_codec: platform.head_codec.clone(),
            lead: Arc::clone(&lead),
            rates: Arc::clone(&context.rates),
            fleet: Arc::clone(&context.fleet),
            origins: Arc::clone(&context.origins),
            link: Arc::clone(&context.link),
            lifecycle: context.lifecycle.clone(),
            pool: context.pool.clone(),
            clock,
        };
        let transport = platform.transport.clone();
        let stop = background_stop.clone();
        let peers = tokio::spawn(async move { transport.serve(peers, peer_handler, stop).await });
        let new_driver = || ElectionDriver {
            topics: platform.topics.clone(),
            lead: Arc::clone(&lead),
            link: Arc::clone(&context.link),
            view: Arc::clone(&context.view),
            clock,
        };
        let election_driver = new_driver();
        let election_stop = background_stop.child_token();
        spawn(&election_stop, new_driver().run());
        spawn_background(&context, &lead, platform, &background_stop);
        let readiness = EntryReadiness {
            context: Arc::clone(&context),
        };
        tokio::spawn(admin.run(Admin::new(readiness, metrics), background_stop.clone()));
        let callers_stop = CancellationToken::new();
        let handler = Handler::new(Arc::clone(&context));
        let callers = tokio::spawn(callers.run(handler, callers_stop.clone()));
        context.lifecycle.advance(Phase::Serving);
        let [address, admin] = addresses;
        log::info!("entry: started vm={vm} callers={address} admin={admin}");
        Ok(Self {
            context,
            election_driver,
            election_stop,
            callers,
            callers_stop,
            peers,
            background_stop,
            addresses,
        })
    }

    /// Returns the address of the callers' listener.
    pub fn address(&self) -> SocketAddr {
        self.addresses[0]
    }

    /// Returns the address of the admin listener.
    pub fn admin_address(&self) -> SocketAddr {
        self.addresses[1]
    }

    /// Serves and applies option changes until the process receives a stop signal, then stops gracefully.
    ///
    /// # Errors
    ///
    /// `Error::Signal` if signals cannot be awaited, `Error::Unfinished` if the stop timed out.
    pub async fn run(self, changes: impl Changes) -> Result<()> {
        let hangup = signal(SignalKind::hangup()).context(SignalSnafu)?;
        let reloads = tokio::spawn(reload(Arc::clone(&self.context), changes, hangup));
        let stop = stop_signal().await.context(SignalSnafu)?;
        log::info!("entry: stopping signal={stop}");
        let finished = self.stop().await;
        reloads.abort();
        ensure!(finished, UnfinishedSnafu);
        Ok(())
    }

    /// Applies the options that may change while the process runs.
    pub fn update_options(&self, options: &Options) {
        self.context.update_options(options);
    }

    /// Stops gracefully and returns whether all requests in flight finished in time.
    pub async fn stop(self) -> bool {
        let options = self.context.options();
        // Requests are still served until the load balancer has noticed.
        let began = Instant::now();
        self.context
            .stop
            .begin(self.context.clock, options.stop_timeout);
        self.context.lifecycle.advance(Phase::Unready);
        self.election_stop.cancel();
        self.election_driver.resign().await;
        tokio::time::sleep(options.unready_delay).await;
        self.context.lifecycle.advance(Phase::Draining);
        self.callers_stop.cancel();
        let left = || options.stop_timeout.saturating_sub(began.elapsed());
        let finished = wait_for_callers(self.callers, left()).await;
        self.background_stop.cancel();
        // Requests of other VMs that were passed on may still be under way.
        let finished = timeout(left(), self.peers).await.is_ok() && finished;
        self.context.lifecycle.advance(Phase::Stopped);
        log::info!("entry: stopped finished={finished}");
        finished
    }
}

/// Waits for the callers' listener; returns whether it finished all requests within the limit.
async fn wait_for_callers(callers: JoinHandle<bool>, limit: Duration) -> bool {
    let ended = timeout(limit, callers).await;
    matches!(ended, Ok(Ok(true)))
}

/// Creates the leadership state of this VM, with a random incarnation.
fn new_leadership<T, E, C, N: EngineControl, P>(
    platform: &Platform<T, E, C, N, P>,
    view: &Arc<View>,
    fleet: &Arc<Fleet>,
    quarantine: &Arc<Quarantine>,
    options: &Options,
    address: String,
) -> Leadership<N> {
    let me = Candidate {
        vm: options.vm.clone(),
        incarnation: Incarnation(rand::random()),
        address,
    };
    Leadership::new(
        me,
        options,
        platform.clock,
        Arc::clone(view),
        Arc::clone(fleet),
        Arc::clone(quarantine),
        platform.engines.clone(),
    )
}

/// Spawns the background tasks, which run until the entry stops.
fn spawn_background<
    T: Topics,
    E: HeadCodec,
    C: RecordCodec,
    N: EngineControl,
    P: Transport + Debug,
>(
    context: &Arc<Context<E, Client<N, P>>>,
    lead: &Arc<Leadership<N>>,
    platform: Platform<T, E, C, N, P>,
    stop: &CancellationToken,
) {
    let options = context.options();
    let clock = platform.clock;
    let config = ConfigFollower {
        topics: platform.topics.clone(),
        record_codec: platform.record_codec.clone(),
        view: Arc::clone(&context.view),
        clock,
        fleet: Arc::clone(&context.fleet),
        wait: options.config_wait,
    };
    let endpoints = EndpointFollower {
        topics: platform.topics.clone(),
        record_codec: platform.record_codec,
        fleet: Arc::clone(&context.fleet),
        view: Arc::clone(&context.view),
        clock,
        interval: options.endpoints_interval,
        grace: options.expiry_grace,
    };
    let quarantine = QuarantineFollower {
        topics: platform.topics.clone(),
        quarantine: Arc::clone(&context.quarantine),
        lead: Arc::clone(lead),
        view: Arc::clone(&context.view),
    };
    let origins = OriginFollower {
        topics: platform.topics.clone(),
        origins: Arc::clone(&context.origins),
        fleet: Arc::clone(&context.fleet),
        lead: Arc::clone(lead),
        view: Arc::clone(&context.view),
        clock,
    };
    let membership = Membership {
        topics: platform.topics,
        rates: Arc::clone(&context.rates),
        fleet: Arc::clone(&context.fleet),
        lead: Arc::clone(lead),
        view: Arc::clone(&context.view),
        clock,
        join_delay: options.join_delay,
        member_timeout: options.member_timeout,
    };
    let plan_executor = PlanExecutor {
        lead: Arc::clone(lead),
        fleet: Arc::clone(&context.fleet),
        link: Arc::clone(&context.link),
        view: Arc::clone(&context.view),
        clock,
        meters: context.meters.clone(),
    };
    let evacuation = EvacuationMonitor {
        view: Arc::clone(&context.view),
        fleet: Arc::clone(&context.fleet),
        grace: options.evacuation,
        meters: context.meters.clone(),
        clock,
    };
    let monitor = Monitor {
        link: Arc::clone(&context.link),
    };
    spawn(stop, monitor.run());
    spawn(stop, evacuation.run());
    spawn(stop, config.run());
    spawn(stop, endpoints.run());
    spawn(stop, membership.run());
    spawn(stop, quarantine.run());
    spawn(stop, origins.run());
    spawn(stop, plan_executor.run());
    spawn(stop, Arc::clone(&context.peer_client).run());
    let peer_client = Arc::clone(&context.peer_client);
    spawn(stop, async move { peer_client.report_rooms().await });
    let peer_client = Arc::clone(&context.peer_client);
    spawn(stop, async move { peer_client.report_origins().await });
}

/// Runs a task until the token is cancelled.
fn spawn(stop: &CancellationToken, task: impl Future<Output = ()> + Send + 'static) {
    let stop = stop.clone();
    tokio::spawn(async move { stop.run_until_cancelled(task).await });
}
