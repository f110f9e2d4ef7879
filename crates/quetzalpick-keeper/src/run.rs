//! Life cycle of a keeper process, from its start to the end of a planned stop.

use bytes::Bytes;
use snafu::ResultExt;
use tokio_util::sync::CancellationToken;

use quetzalpick_client::http::{self, Pool, Timeouts};
use quetzalpick_client::{engine, log as log_service, vms};
use quetzalpick_core::id::Member;
use quetzalpick_core::memory::Kind;
use quetzalpick_core::record::{Record, Role};
use quetzalpick_node::http::admin::{Admin, Readiness};
use quetzalpick_node::http::memory::Memory;
use quetzalpick_node::http::server::{Options, Server};
use quetzalpick_node::lifecycle::{Lifecycle, Phase, stop_signal};
use quetzalpick_node::peer::{Application, Http};
use quetzalpick_node::replica::Replica;
use quetzalpick_node::telemetry::metrics::Metrics;

use crate::errors::{Result, SignalSnafu};
use crate::operator::{Api, Executor};
use crate::place::Leader;
use crate::settings::Settings;

/// `NoCalls` answers no application calls, because a keeper offers none to its peers.
#[derive(Debug, Clone, Copy)]
struct NoCalls;

impl Application for NoCalls {
    async fn call(&self, _: &Member, _: &str, _: Bytes) -> Option<Bytes> {
        None
    }
}

/// `KeeperReadiness` decides whether the keeper accepts requests, for readiness probes.
#[derive(Debug, Clone)]
struct KeeperReadiness {
    replica: Replica<log_service::Client>,
    lifecycle: Lifecycle,
}

impl Readiness for KeeperReadiness {
    fn unready_reason(&self) -> Option<String> {
        if self.lifecycle.phase() > Phase::Serving {
            return Some("stopping".to_owned());
        }
        if !self.replica.is_loaded() {
            return Some("no state loaded".to_owned());
        }
        (!self.replica.is_leased()).then(|| "no lease".to_owned())
    }
}

/// Runs a keeper until it receives a stop signal, then completes running requests and leaves the cluster.
///
/// # Errors
///
/// `Error::Node` if a listener or the replica cannot be started, `Error::Signal` if signals cannot be awaited.
pub async fn run(settings: Settings) -> Result<()> {
    let memory = Memory::default();
    let pool = |kind| Pool::with_memory(http::Options::default(), memory.of_kind(kind));
    let log = log_service::Client::new(
        pool(Kind::Control),
        settings.platform.log.clone(),
        log_service::Options::default(),
    );
    let options = settings
        .peers
        .options(&settings.vm, &settings.platform, Role::Keeper);
    let transport = Http::new(&options.secret).with_pool(pool(Kind::Control));
    let (replica, driver) = Replica::try_new(log, transport, options, NoCalls).await?;
    tokio::spawn(driver);
    let lifecycle = Lifecycle::default();
    let metrics = Metrics::try_new()?;
    replica.register_metrics(&metrics.meter("replica"));
    memory.register_metrics(&metrics.meter("quetzalpick-node"));

    // The admin listener starts first and stops last, so that probes are always answered.
    let admin = Server::try_bind(&settings.metrics.listen, Options::default()).await?;
    let readiness = KeeperReadiness {
        replica: replica.clone(),
        lifecycle: lifecycle.clone(),
    };
    let admin_stop = CancellationToken::new();
    let admin_task =
        tokio::spawn(admin.run(Admin::new(readiness, metrics.clone()), admin_stop.clone()));

    let operator = Server::try_bind(&settings.operator.listen, Options::default()).await?;
    log::info!("keeper: operator API on {}", operator.address());
    let api = Api::new(Executor::new(replica.clone()), &settings.operator.tokens)
        .with_memory(memory.clone());
    let operator_stop = CancellationToken::new();
    let operator_task = tokio::spawn(operator.run(api, operator_stop.clone()));

    let engines = engine::Client::new(pool(Kind::Answer), Timeouts::default());
    let vms = vms::Client::new(
        pool(Kind::Control),
        settings.platform.vms.clone(),
        Timeouts::default(),
    );
    let leader = Leader::new(
        replica.clone(),
        engines,
        vms,
        settings.place.options.clone(),
        &metrics.meter("keeper"),
    );
    let leader_task = tokio::spawn(leader.run());
    lifecycle.advance(Phase::Serving);

    let signal = stop_signal().await.context(SignalSnafu)?;
    log::info!("keeper: stopping on {signal}");
    lifecycle.advance(Phase::Unready);
    tokio::time::sleep(settings.operator.grace).await;
    lifecycle.advance(Phase::Draining);
    operator_stop.cancel();
    let _ = operator_task.await;
    lifecycle.advance(Phase::HandingOver);
    leader_task.abort();
    resign(&replica).await;
    lifecycle.advance(Phase::Leaving);
    let answer = replica.leave().await;
    log::info!("keeper: departure record {answer}");
    lifecycle.advance(Phase::Stopped);
    admin_stop.cancel();
    let _ = admin_task.await;
    Ok(())
}

/// Resigns the placement leadership if this keeper has it.
async fn resign(replica: &Replica<log_service::Client>) {
    let own = replica.member();
    let is_leader = replica.read(|state| {
        state
            .leadership()
            .is_some_and(|leadership| leadership.member == own)
    });
    if is_leader {
        let answer = replica.submit(Record::Resign(own), None).await;
        log::info!("place: resigned leadership, {answer}");
    }
}
