//! Runs a gate from its start to the end of a planned stop.

use std::time::Duration;

use quetzalpick_client::http::{self, Pool, Timeouts};
use quetzalpick_client::{engine, log as log_service, vms};
use quetzalpick_core::memory::Kind;
use quetzalpick_core::record::Role;
use quetzalpick_node::lifecycle::stop_signal;
use snafu::{ResultExt, ensure};

use crate::errors::{Result, SignalSnafu, UnfinishedSnafu};
use crate::gate::{Gate, Listeners, Platform};
use crate::settings::Settings;

/// How long a claim is attempted during a log outage before the caller is told to retry.
const NOT_SENT_AFTER: Duration = Duration::from_millis(250);

/// Runs a gate until it receives a stop signal, then stops it without interrupting a request.
///
/// # Errors
///
/// `Error::Node` if a listener or the replica cannot be started, `Error::Signal` if the signal handlers cannot be
/// registered, `Error::Unfinished` if a request or a claim was not finished within the stop's timeouts.
pub async fn run(settings: Settings) -> Result<()> {
    let memory = settings.memory();
    let pool = |kind| Pool::with_memory(http::Options::default(), memory.of_kind(kind));
    let log = log_service::Client::new(
        pool(Kind::Control),
        settings.platform.log.clone(),
        log_service::Options::default(),
    );
    let platform = Platform {
        log,
        engine: engine::Client::new(pool(Kind::Answer), Timeouts::default()),
        vms: vms::Client::new(
            pool(Kind::Control),
            settings.platform.vms.clone(),
            Timeouts::default(),
        ),
        memory: memory.clone(),
    };
    let listeners = Listeners {
        callers: settings.callers.listen.clone(),
        admin: settings.metrics.listen.clone(),
        limits: settings.callers.server.clone(),
    };
    let mut replica = settings
        .peers
        .options(&settings.vm, &settings.platform, Role::Gate);
    replica.not_sent_after = NOT_SENT_AFTER;
    let gate = Gate::try_start(platform, listeners, replica, settings.options()).await?;
    let signal = stop_signal().await.context(SignalSnafu)?;
    log::info!("gate: stops on {signal}");
    ensure!(gate.stop().await, UnfinishedSnafu);
    Ok(())
}
