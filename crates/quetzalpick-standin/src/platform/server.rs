//! HTTP server of the platform.

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
use super::weights::{Counts, Fetch, WeightStore};
use super::{log, weights};
use crate::command::LOOPBACK;
use crate::errors::Result;
use crate::fault::{Fault, Faults};
use crate::recorded::{RecordedRequests, Recorder};
use crate::server::{
    Application, Call, Listener, Reply, confirm, error, invalid, json, no_such_route,
};

/// `Options` configures a platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// Records retained per stream.
    pub retention_records: usize,
    /// Appends accepted per second.
    pub appends_per_second: u32,
    /// Delay before a change appears in the VM list.
    pub vms_lag: Duration,
    /// VMs listed at the start.
    pub vms: Vec<Vm>,
    /// Options of the weight store.
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

/// `Record` reports what a platform received and did.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Record {
    /// Offset that the next append to the control stream gets.
    pub control_head: u64,
    /// Offset that the next append to the snapshot stream gets.
    pub snapshots_head: u64,
    /// Append calls received, regardless of their number of records.
    pub appends: u64,
    /// Model loads.
    pub models: Counts,
    /// Adapter loads.
    pub adapters: Counts,
    /// Headers and queries received.
    #[serde(rename = "seen")]
    pub requests: RecordedRequests,
}

/// `Retention` is the body of the admin call that changes how many records a stream retains.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Retention {
    /// Name of the stream.
    pub stream: String,
    /// Records retained.
    pub records: usize,
}

/// `Server` runs a platform until it is dropped, which closes its connections.
#[derive(Debug)]
pub struct Server {
    listener: Listener,
    app: Arc<App>,
}

/// `App` holds the state shared by all servers of a platform, and the faults and recorder of one server.
#[derive(Debug)]
struct App {
    log: memory::Log,
    vms: Arc<Vms>,
    weights: Arc<WeightStore>,
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
        log.set_retention(Stream::Control, options.retention_records);
        log.set_retention(Stream::Snapshots, options.retention_records);
        log.limit_rate(Some(options.appends_per_second));
        let app = Arc::new(App {
            log,
            vms: Arc::new(Vms::new(options.vms, options.vms_lag)),
            weights: Arc::new(WeightStore::new(options.weights)),
            faults: Faults::default(),
            recorder: Recorder::default(),
        });
        let listener = Listener::try_start(options.listen, Arc::clone(&app)).await?;
        Ok(Self { listener, app })
    }

    /// Starts another server of the same platform on a free port, with faults of its own.
    ///
    /// This allows disconnecting one VM from the platform while others stay connected.
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

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Returns the enabled faults.
    pub fn faults(&self) -> &Faults {
        &self.app.faults
    }

    /// Returns the log behind the service, to inspect its records or change its limits.
    pub fn log(&self) -> &memory::Log {
        &self.app.log
    }

    /// Changes the VM list after the configured lag.
    pub fn change_vms(&self, change: Change) {
        self.app.vms.change(change);
    }

    /// Returns the record up to now.
    pub fn record(&self) -> Record {
        self.app.record()
    }

    /// Closes all connections and returns when the port is free.
    pub async fn stop(self) {
        self.listener.stop().await;
    }
}

impl App {
    /// Returns the record up to now.
    fn record(&self) -> Record {
        let head = |stream| {
            let (first, records) = self.log.records(stream);
            first.0 + records.len() as u64
        };
        let (models, adapters) = self.weights.counts();
        Record {
            control_head: head(Stream::Control),
            snapshots_head: head(Stream::Snapshots),
            appends: self.log.append_count(),
            models,
            adapters,
            requests: self.recorder.requests(),
        }
    }

    /// Handles a call to the log service; `rest` is the path after `/streams/`.
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
            _ => no_such_route(call),
        }
    }

    /// Appends records, immediately or delayed by a fault.
    async fn append(&self, stream: Stream, call: &Call) -> Reply {
        let append = match log::decode(call) {
            Ok(append) => append,
            Err(reply) => return reply,
        };
        let path = call.path();
        if self.faults.take_exact(path, Fault::OrderLost) {
            return Reply::Close;
        }
        let Some(delay) = self.faults.take_delay(path) else {
            return log::append(&self.log, stream, append).await;
        };
        let log = self.log.clone();
        tokio::spawn(async move {
            sleep(delay).await;
            // If the rate limit rejects it, the append is dropped: its caller got no answer and must expect this.
            let _ = log.append(stream, append.records).await;
        });
        Reply::Close
    }

    /// Loads the requested weights.
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
    const CONTINUES_AFTER_DISCONNECT: bool = true;

    fn supports(fault: Fault) -> bool {
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
                    self.log.set_retention(stream, body.records);
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
            _ => no_such_route(&call),
        }
    }
}
