//! Starts the stand-in selected on the command line.

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

/// Runs the selected stand-in until SIGTERM or SIGINT.
///
/// # Errors
///
/// `Error::Listen` if the address is not free, `Error::Process` if signals or standard output cannot be used.
pub async fn run(matches: &ArgMatches) -> Result<()> {
    // Handlers are installed before the address is printed, so that no signal sent after that is missed.
    let install_handler = |kind| {
        signal(kind).context(ProcessSnafu {
            operation: "catch signals",
        })
    };
    let signals = (
        install_handler(SignalKind::terminate())?,
        install_handler(SignalKind::interrupt())?,
    );
    match matches.subcommand() {
        Some(("platform", matches)) => {
            let server = platform::Server::try_start(platform_options(matches)).await?;
            print_address(server.address())?;
            wait_for_signal(signals).await;
            server.stop().await;
        }
        Some(("engine", matches)) => {
            let server = engine::Server::try_start(engine_options(matches)).await?;
            for order in matches.get_many::<Order>("preload").into_iter().flatten() {
                server.try_preload(order)?;
            }
            print_address(server.address())?;
            wait_for_signal(signals).await;
            server.stop().await;
        }
        Some(("service", matches)) => {
            let server = service::Server::try_start(service_options(matches)).await?;
            print_address(server.address())?;
            wait_for_signal(signals).await;
            server.stop().await;
        }
        _ => unreachable!("the command line requires a known sub-command"),
    }
    Ok(())
}

/// Prints the bound address.
fn print_address(address: SocketAddr) -> Result<()> {
    let mut stdout = std::io::stdout();
    let operation = "write to standard output";
    writeln!(stdout, "listening on {address}").context(ProcessSnafu { operation })?;
    stdout.flush().context(ProcessSnafu { operation })
}

/// Waits for SIGTERM or SIGINT.
async fn wait_for_signal((mut terminate, mut interrupt): (Signal, Signal)) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

/// Returns the value of an option that has a default.
fn get<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    let value: &T = matches
        .get_one(name)
        .expect("the option has a default value");
    value.clone()
}

/// Returns a duration given in milliseconds.
fn millis(matches: &ArgMatches, name: &str) -> Duration {
    Duration::from_millis(get(matches, name))
}

/// Returns a duration given in microseconds.
fn micros(matches: &ArgMatches, name: &str) -> Duration {
    Duration::from_micros(get(matches, name))
}

/// Returns a capacity, saturated at the largest `usize`.
fn capacity(matches: &ArgMatches, name: &str) -> usize {
    usize::try_from(get::<u64>(matches, name)).unwrap_or(usize::MAX)
}

/// Converts the arguments to the options of a platform.
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

/// Converts the arguments to the options of an engine.
fn engine_options(matches: &ArgMatches) -> engine::Options {
    engine::Options {
        listen: address(matches, "listen"),
        name: get(matches, "name"),
        platform: matches.get_one("platform").copied(),
        memory_mb: get(matches, "memory-mb"),
        fencing: !matches.get_flag("no-fencing"),
        batch: get(matches, "batch"),
        waiting: capacity(matches, "waiting"),
        token: micros(matches, "token-us"),
        token_per_running: micros(matches, "token-per-running-us"),
        prompt_token: micros(matches, "prompt-token-us"),
        stop_after: get(matches, "stop-after"),
        cache_blocks: capacity(matches, "cache-blocks"),
        event_lag: millis(matches, "event-lag-ms"),
        event_gap: get(matches, "event-gap"),
        report_lag: millis(matches, "report-lag-ms"),
        load: millis(matches, "load-ms"),
        adapter_load: millis(matches, "adapter-load-ms"),
    }
}

/// Converts the arguments to the options of a service.
fn service_options(matches: &ArgMatches) -> service::Options {
    service::Options {
        listen: address(matches, "listen"),
        name: get(matches, "name"),
        work: millis(matches, "work-ms"),
    }
}
