//! Runs what the command line asks for.

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use clap::ArgMatches;
use quetzalpick_client::wire::engine::Order;
use quetzalpick_client::wire::vms::Vm;
use snafu::ResultExt;
use tokio::signal::unix::{Signal, SignalKind, signal};

use super::parse::address;
use crate::errors::{ProcessSnafu, Result};
use crate::platform::weights;
use crate::{engine, platform, service};

/// Runs the stand-in that the arguments name until SIGTERM or SIGINT.
///
/// # Errors
///
/// `Error::Listen` if the address is not free, `Error::Process` if signals or standard output cannot be used.
pub async fn run(matches: &ArgMatches) -> Result<()> {
    // Signals are caught before anybody can know that the program runs.
    let catch = |kind| {
        signal(kind).context(ProcessSnafu {
            what: "catch signals",
        })
    };
    let signals = (
        catch(SignalKind::terminate())?,
        catch(SignalKind::interrupt())?,
    );
    match matches.subcommand() {
        Some(("platform", matches)) => {
            let server = platform::Server::try_start(platform_options(matches)).await?;
            announce(server.address())?;
            wait(signals).await;
            server.stop().await;
        }
        Some(("engine", matches)) => {
            let server = engine::Server::try_start(engine_options(matches)).await?;
            for order in matches.get_many::<Order>("preload").into_iter().flatten() {
                server.try_preload(order)?;
            }
            announce(server.address())?;
            wait(signals).await;
            server.stop().await;
        }
        Some(("service", matches)) => {
            let server = service::Server::try_start(service_options(matches)).await?;
            announce(server.address())?;
            wait(signals).await;
            server.stop().await;
        }
        _ => unreachable!("the command line requires a known sub-command"),
    }
    Ok(())
}

/// Prints the address listened on.
fn announce(address: SocketAddr) -> Result<()> {
    let mut out = std::io::stdout();
    let what = "write to standard output";
    writeln!(out, "listening on {address}").context(ProcessSnafu { what })?;
    out.flush().context(ProcessSnafu { what })
}

/// Waits for either signal.
async fn wait((mut terminate, mut interrupt): (Signal, Signal)) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

/// Returns an option with a default value.
fn get<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    let value: &T = matches
        .get_one(name)
        .expect("the option has a default value");
    value.clone()
}

/// Returns a time given in ms.
fn millis(matches: &ArgMatches, name: &str) -> Duration {
    Duration::from_millis(get(matches, name))
}

/// Returns a time given in microseconds.
fn micros(matches: &ArgMatches, name: &str) -> Duration {
    Duration::from_micros(get(matches, name))
}

/// Returns a number of things that are kept in memory.
fn size(matches: &ArgMatches, name: &str) -> usize {
    usize::try_from(get::<u64>(matches, name)).unwrap_or(usize::MAX)
}

/// Makes the options of a platform.
fn platform_options(matches: &ArgMatches) -> platform::Options {
    let vms = matches.get_many::<Vm>("vm").into_iter().flatten();
    platform::Options {
        listen: address(matches, "listen"),
        retention_records: get::<u32>(matches, "retention-records") as usize,
        appends_per_second: get(matches, "appends-per-second"),
        vms_lag: millis(matches, "vms-lag-ms"),
        vms: vms.cloned().collect(),
        weights: weights::Options {
            loads_per_second: get(matches, "loads-per-second"),
            loads_at_full_speed: get(matches, "loads-at-full-speed"),
            load: millis(matches, "load-ms"),
            adapters_at_full_speed: get(matches, "adapters-at-full-speed"),
            adapter: millis(matches, "adapter-ms"),
        },
    }
}

/// Makes the options of an engine.
fn engine_options(matches: &ArgMatches) -> engine::Options {
    engine::Options {
        listen: address(matches, "listen"),
        name: get(matches, "name"),
        platform: matches.get_one("platform").copied(),
        memory_mb: get(matches, "memory-mb"),
        fencing: !matches.get_flag("no-fencing"),
        batch: get(matches, "batch"),
        waiting: size(matches, "waiting"),
        token: micros(matches, "token-us"),
        token_per_running: micros(matches, "token-per-running-us"),
        prompt_token: micros(matches, "prompt-token-us"),
        stop_after: get(matches, "stop-after"),
        cache_blocks: size(matches, "cache-blocks"),
        event_lag: millis(matches, "event-lag-ms"),
        event_gap: get(matches, "event-gap"),
        report_lag: millis(matches, "report-lag-ms"),
        load: millis(matches, "load-ms"),
        adapter_load: millis(matches, "adapter-load-ms"),
    }
}

/// Makes the options of a service.
fn service_options(matches: &ArgMatches) -> service::Options {
    service::Options {
        listen: address(matches, "listen"),
        name: get(matches, "name"),
        work: millis(matches, "work-ms"),
    }
}
