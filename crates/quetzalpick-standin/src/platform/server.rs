//! The platform as a server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::{Method, StatusCode};
use quetzalpick_client::memory;
use quetzalpick_client::traits::{Log, Stream};
use quetzalpick_client::wire::vms::Vm;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::vms::{Change, Vms};
use super::weights::{Counts, Fetch, Weights};
use super::{log, weights};
use crate::command::LOOPBACK;
use crate::errors::Result;
use crate::fault::{Fault, Faults};
use crate::seen::{Recorder, Seen};
use crate::server::{Application, Call, Listener, Reply, confirm, error, invalid, json, unknown};

/// `Options` sets up a platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Records kept of each stream.
    pub retention_records: usize,
    /// Appends taken in a second.
    pub appends_per_second: u32,
    /// Time until a change shows in the VM list.
    pub vms_lag: Duration,
    /// VMs listed at the start.
    pub vms: Vec<Vm>,
    /// The weight store.
    pub weights: weights::Options,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            listen: LOOPBACK,
            retention_records: 100_000,
            appends_per_second: 300,
            vms_lag: Duration::from_secs(1),
            vms: Vec::new(),
            weights: weights::Options::default(),
        }
    }
}

/// `Record` is everything that a platform recorded.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Record {
    /// Offset that the next append to the control stream gets.
    pub control_head: u64,
    /// Offset that the next append to the snapshots gets.
    pub snapshots_head: u64,
    /// Appends that arrived, however many records they had.
    pub appends: u64,
    /// Loads of models.
    pub models: Counts,
    /// Loads of adapters.
    pub adapters: Counts,
    /// Headers and queries that arrived.
    pub seen: Seen,
}

/// `Retention` is the body of the call that changes how long records are kept.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Retention {
    /// Name of the stream.
    pub stream: String,
    /// Records kept.
    pub records: usize,
}

/// `Server` is a running platform; dropping it cuts its connections.
#[derive(Debug)]
pub struct Server {
    listener: Listener,
    app: Arc<App>,
}

/// `App` is what the platform knows, and the faults of one of its servers.
#[derive(Debug)]
struct App {
    log: memory::Log,
    vms: Arc<Vms>,
    weights: Arc<Weights>,
    faults: Faults,
    recorder: Recorder,
}

impl Server {
    /// Starts a platform.
    ///
    /// # Errors
    ///
    /// `Error::Listen` if the address is not free.
    pub async fn try_start(options: Options) -> Result<Self> {
        let log = memory::Log::new();
        log.retain(Stream::Control, options.retention_records);
        log.retain(Stream::Snapshots, options.retention_records);
        log.limit_rate(Some(options.appends_per_second));
        let app = Arc::new(App {
            log,
            vms: Arc::new(Vms::new(options.vms, options.vms_lag)),
            weights: Arc::new(Weights::new(options.weights)),
            faults: Faults::default(),
            recorder: Recorder::default(),
        });
        let listener = Listener::try_start(options.listen, Arc::clone(&app)).await?;
        Ok(Self { listener, app })
    }

    /// Starts another server of the same platform on a free port, with faults of its own.
    ///
    /// So one VM can be cut off from the platform while others are not.
    ///
    /// # Errors
    ///
    /// `Error::Listen` if no port is free.
    pub async fn try_start_another(&self) -> Result<Self> {
        let app = Arc::new(App {
            log: self.app.log.clone(),
            vms: Arc::clone(&self.app.vms),
            weights: Arc::clone(&self.app.weights),
            faults: Faults::default(),
            recorder: Recorder::default(),
        });
        let listener = Listener::try_start(LOOPBACK, Arc::clone(&app)).await?;
        Ok(Self { listener, app })
    }

    /// Returns the address listened on.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Returns the faults to show.
    pub fn faults(&self) -> &Faults {
        &self.app.faults
    }

    /// Returns the log behind the service, to look at its records or to change its bounds.
    pub fn log(&self) -> &memory::Log {
        &self.app.log
    }

    /// Changes the VM list.
    pub fn change_vms(&self, change: Change) {
        self.app.vms.change(change);
    }

    /// Returns what was recorded so far.
    pub fn record(&self) -> Record {
        self.app.record()
    }

    /// Cuts all connections and returns when the port is free.
    pub async fn stop(self) {
        self.listener.stop().await;
    }
}

impl App {
    /// Returns what was recorded so far.
    fn record(&self) -> Record {
        let head = |stream| {
            let (first, records) = self.log.records(stream);
            first.0 + records.len() as u64
        };
        let (models, adapters) = self.weights.counts();
        Record {
            control_head: head(Stream::Control),
            snapshots_head: head(Stream::Snapshots),
            appends: self.log.appends(),
            models,
            adapters,
            seen: self.recorder.seen(),
        }
    }

    /// Handles a call of the log service; `rest` is the path after `/streams/`.
    async fn stream(&self, rest: &str, call: &Call) -> Reply {
        let (name, appends) = match rest.strip_suffix("/append") {
            Some(name) => (name, true),
            None => (rest, false),
        };
        let Ok(stream) = name.parse::<Stream>() else {
            return error(StatusCode::NOT_FOUND, "not_found", "no such stream");
        };
        match (&call.head.method, appends) {
            (&Method::POST, true) => self.append(stream, call).await,
            (&Method::GET, false) => log::read(&self.log, stream, call).await,
            _ => unknown(call),
        }
    }

    /// Appends records, at once or later as the faults say.
    async fn append(&self, stream: Stream, call: &Call) -> Reply {
        let append = match log::decode(call) {
            Ok(append) => append,
            Err(reply) => return reply,
        };
        let path = call.path();
        if self.faults.meets(path, Fault::OrderLost) {
            return Reply::Close;
        }
        let Some(delay) = self.faults.delay(path) else {
            return log::append(&self.log, stream, append).await;
        };
        let log = self.log.clone();
        tokio::spawn(async move {
            sleep(delay).await;
            // Beyond the rate the append is lost for good, as its caller must expect.
            let _ = log.append(stream, append.records).await;
        });
        Reply::Close
    }

    /// Loads the weights that a call asks for.
    async fn fetch(&self, call: &Call, adapter: bool) -> Reply {
        let fetch = match call.json::<Fetch>() {
            Ok(fetch) => fetch,
            Err(reply) => return reply,
        };
        if adapter {
            self.weights.load_adapter().await;
        } else {
            self.weights.load_model().await;
        }
        json(StatusCode::OK, &fetch)
    }
}

impl Application for App {
    const OUTLIVES_CALLER: bool = true;

    fn shows(fault: Fault) -> bool {
        matches!(fault, Fault::OrderLost | Fault::OrderDelayed { .. })
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
            (&Method::POST, "vms") => {
                let change = call.json::<Change>();
                Some(confirm(change.map(|change| self.vms.change(change))))
            }
            (&Method::POST, "retention") => {
                Some(confirm(call.json::<Retention>().and_then(|body| {
                    let stream = body.stream.parse::<Stream>();
                    let stream = stream.map_err(|_| invalid("no such stream"))?;
                    self.log.retain(stream, body.records);
                    Ok(())
                })))
            }
            _ => None,
        }
    }

    async fn handle(self: &Arc<Self>, call: Call) -> Reply {
        let path = call.path().to_owned();
        if let Some(rest) = path.strip_prefix("/streams/") {
            return self.stream(rest, &call).await;
        }
        match (&call.head.method, path.as_str()) {
            (&Method::GET, "/vms") => json(StatusCode::OK, &self.vms.list()),
            (&Method::POST, "/weights/fetch") => self.fetch(&call, false).await,
            (&Method::POST, "/weights/adapter") => self.fetch(&call, true).await,
            _ => unknown(&call),
        }
    }
}
