//! HTTP server of the engine.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};

use hyper::{Method, StatusCode};
use quetzalpick_client::http::Pool;
use quetzalpick_client::wire::engine::{Order, Report};
use serde_json::json as value;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use super::Options;
use super::batch::Batch;
use super::cache::Cache;
use super::completion::{Kind, complete};
use super::memory::Memory;
use super::order;
use super::record::{Record, Tally};
use super::session::{Session, Sessions};
use crate::errors::{Result, preload_error};
use crate::fault::{Fault, Faults};
use crate::recorded::Recorder;
use crate::server::{
    Application, Call, Leaving, Listener, Reply, confirm, error, json, no_such_route,
};

/// `Server` runs an engine until it is dropped, which closes its connections.
#[derive(Debug)]
pub struct Server {
    listener: Listener,
    app: Arc<App>,
}

/// `App` holds the state of an engine, including what survives a restart.
#[derive(Debug)]
pub(crate) struct App {
    /// Configuration.
    pub(crate) options: Options,
    /// Running batch.
    pub(crate) batch: Arc<Batch>,
    /// Enabled faults.
    pub(crate) faults: Faults,
    /// Connections to the weight store.
    pub(crate) pool: Pool,
    recorder: Recorder,
    leaving: AtomicBool,
    ids: AtomicU64,
    state: Mutex<State>,
}

/// `State` holds what changes with requests and orders.
#[derive(Debug)]
pub(crate) struct State {
    /// Loaded copies.
    pub(crate) memory: Memory,
    /// Prefix cache.
    pub(crate) cache: Cache,
    /// Recent requests.
    pub(crate) sessions: Sessions,
    /// Recorded requests and orders.
    pub(crate) tally: Tally,
    restart_token: CancellationToken,
    sample: Sample,
}

/// `Sample` holds the load at the time of the last sample.
#[derive(Debug, Clone, Copy)]
struct Sample {
    at: Instant,
    running: u32,
    waiting: u32,
}

impl Server {
    /// Starts an engine without copies.
    ///
    /// # Errors
    ///
    /// `Error::Listen` if the address is not free.
    pub async fn try_start(options: Options) -> Result<Self> {
        let listen = options.listen;
        let app = Arc::new(App {
            batch: Arc::new(Batch::new(options.batch, options.waiting)),
            faults: Faults::default(),
            pool: Pool::default(),
            recorder: Recorder::default(),
            leaving: AtomicBool::new(false),
            ids: AtomicU64::new(0),
            state: Mutex::new(State::new(&options, Tally::default())),
            options,
        });
        let listener = Listener::try_start(listen, Arc::clone(&app)).await?;
        tokio::spawn(sample(Arc::downgrade(&app)));
        Ok(Self { listener, app })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Returns the enabled faults.
    pub fn faults(&self) -> &Faults {
        &self.app.faults
    }

    /// Returns the record up to now.
    pub fn record(&self) -> Record {
        self.app.record()
    }

    /// Returns the report with the last sample of the load.
    pub fn report(&self) -> Report {
        self.app.report()
    }

    /// Marks a copy as loaded without delay, as if it had been loaded before the start.
    ///
    /// # Panics
    ///
    /// If the engine refuses to load it.
    pub fn preload(&self, order: &Order) {
        self.try_preload(order)
            .unwrap_or_else(|error| panic!("{error}"));
    }

    /// Marks a copy as loaded without delay, as if it had been loaded before the start.
    ///
    /// # Errors
    ///
    /// `Error::Preload` if the engine refuses to load it.
    pub fn try_preload(&self, order: &Order) -> Result<()> {
        let mut state = self.app.lock();
        let result = state.memory.apply(order);
        result.map_err(|refusal| preload_error(order, refusal))?;
        state.memory.finish_load(&order.copy);
        Ok(())
    }

    /// Starts refusing new requests, or accepts them again.
    pub fn set_leaving(&self, leaving: bool) {
        self.app.leaving.store(leaving, Ordering::SeqCst);
    }

    /// Restarts the engine with a new incarnation and empty memory, and aborts all running requests.
    pub fn restart(&self) {
        self.app.restart();
    }

    /// Closes all connections and returns when the port is free.
    pub async fn stop(self) {
        self.listener.stop().await;
    }
}

impl State {
    /// Creates the state of an engine that has just started.
    fn new(options: &Options, tally: Tally) -> Self {
        let incarnation = rand::random::<u32>();
        let (blocks, lag) = (options.cache_blocks, options.event_lag);
        Self {
            memory: Memory::new(u64::from(incarnation), options.memory_mb, options.fencing),
            cache: Cache::new(blocks, lag, options.event_gap),
            sessions: Sessions::default(),
            tally,
            restart_token: CancellationToken::new(),
            sample: Sample {
                at: Instant::now(),
                running: 0,
                waiting: 0,
            },
        }
    }
}

impl App {
    /// Locks the state; a poisoned lock is usable because each change leaves the state consistent.
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the token that is cancelled when the engine restarts.
    pub(crate) fn restart_token(&self) -> CancellationToken {
        self.lock().restart_token.clone()
    }

    /// Gives the session of an earlier request a new cancellation token.
    pub(crate) fn with_new_cancellation(&self, session: Session) -> Session {
        let cancel = self.restart_token().child_token();
        Session { cancel, ..session }
    }

    /// Returns true if new requests are refused.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Generates an id for a request without one.
    pub(crate) fn next_id(&self) -> String {
        let number = self.ids.fetch_add(1, Ordering::SeqCst);
        format!("{}-{number}", self.options.name)
    }

    /// Returns the record up to now.
    fn record(&self) -> Record {
        let state = self.lock();
        Record {
            incarnation: state.memory.incarnation,
            requests: self.recorder.requests(),
            ..state.tally.to_record()
        }
    }

    /// Returns the report with the last sample of the load.
    fn report(&self) -> Report {
        let state = self.lock();
        let age = state.sample.at.elapsed().as_millis();
        Report {
            running: state.sample.running,
            waiting: state.sample.waiting,
            load_age_ms: u64::try_from(age).unwrap_or(u64::MAX),
            leaving: self.is_leaving(),
            ..state.memory.report()
        }
    }

    /// Starts a new incarnation; the record is kept.
    fn restart(&self) {
        let mut state = self.lock();
        let tally = std::mem::take(&mut state.tally);
        let former = std::mem::replace(&mut *state, State::new(&self.options, tally));
        drop(state);
        former.restart_token.cancel();
    }

    /// Cancels a request.
    fn cancel(&self, id: &str) -> Reply {
        let mut state = self.lock();
        let Some(session) = state.sessions.get(id) else {
            return error(StatusCode::NOT_FOUND, "not_found", "no such request");
        };
        session.cancel.cancel();
        state.tally.record.cancelled += 1;
        json(StatusCode::OK, &value!({"cancelled": id}))
    }

    /// Builds the answer that lists the loaded models and adapters.
    fn models(&self) -> Reply {
        let report = self.lock().memory.report();
        let models = report.loaded.iter();
        let models = models.map(|copy| value!({"id": copy.artifact, "object": "model"}));
        let models: Vec<_> = models.collect();
        json(StatusCode::OK, &value!({"object": "list", "data": models}))
    }
}

/// Samples the load periodically until the engine is dropped.
async fn sample(app: Weak<App>) {
    while let Some(app) = app.upgrade() {
        let (running, waiting) = app.batch.load();
        let at = Instant::now();
        app.lock().sample = Sample {
            at,
            running,
            waiting,
        };
        let lag = app.options.report_lag;
        drop(app);
        sleep(lag).await;
    }
}

impl Application for App {
    const CONTINUES_AFTER_DISCONNECT: bool = false;

    fn supports(_: Fault) -> bool {
        true
    }

    fn faults(&self) -> &Faults {
        &self.faults
    }

    fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    fn admin(self: &Arc<Self>, name: &str, call: &Call) -> Option<Reply> {
        match (&call.head.method, name) {
            (&Method::GET, "record") => Some(json(StatusCode::OK, &self.record())),
            (&Method::POST, "restart") => {
                self.restart();
                Some(confirm(Ok(())))
            }
            (&Method::POST, "leaving") => {
                let body = call.json::<Leaving>();
                Some(confirm(body.map(|body| {
                    self.leaving.store(body.leaving, Ordering::SeqCst);
                })))
            }
            _ => None,
        }
    }

    async fn handle(self: &Arc<Self>, call: Call) -> Reply {
        let path = call.path();
        match (&call.head.method, path) {
            (&Method::POST, "/v1/chat/completions") => complete(self, &call, Kind::Chat).await,
            (&Method::POST, "/v1/completions") => complete(self, &call, Kind::Text).await,
            (&Method::GET, "/v1/models") => self.models(),
            (&Method::GET, "/engine/report") => json(StatusCode::OK, &self.report()),
            (&Method::POST, "/engine/orders") => order::receive(self, &call),
            (&Method::GET, "/engine/events") => {
                let from = call.query_number("from").unwrap_or(0);
                let state = self.lock();
                json(
                    StatusCode::OK,
                    &state.cache.events(state.memory.incarnation, from),
                )
            }
            (&Method::DELETE, _) if path.starts_with("/v1/requests/") => {
                self.cancel(&path["/v1/requests/".len()..])
            }
            _ => no_such_route(&call),
        }
    }
}
