//! Definition of the command line.

use std::net::SocketAddr;

use clap::builder::ValueParser;
use clap::{Arg, ArgAction, Command, value_parser};
use quetzalpick_client::wire::engine::Order;
use quetzalpick_client::wire::vms::{Status, Vm};

use super::parse::{parse_copy, parse_vm};
use crate::{engine, platform, service};

/// Help text that every sub-command shows after its options.
const AFTER_HELP: &str = "\
The first line on standard output is `listening on ADDRESS:PORT`. The program runs until SIGTERM or SIGINT.

Faults are switched while it runs:
  POST /admin/fault   {\"fault\": KIND, ...}; `count` limits it to so many calls, `path` to paths that begin so.
                      KIND is outage, refuse, refuse-twice, slow (ms), answer-lost, order-lost, order-delayed (ms),
                      order-doubled (ms), stream-crash (tokens), close-at (bytes) or crossed.
  POST /admin/clear   {} turns all faults off.
  GET  /admin/record  what was recorded: executions, orders, headers, queries, overcommitted memory.
  POST /admin/leaving {\"leaving\": true} (engine, service)
  POST /admin/restart {} new boot, empty memory (engine)
  POST /admin/vms     {\"change\": \"add\"|\"leaving\"|\"remove\", \"name\": ..., ...} (platform)
  POST /admin/retention {\"stream\": \"control\", \"records\": N} (platform)

Exit status: 0 after a signal, 1 if it could not start, 2 if the arguments are wrong.";

/// Builds the definition of the command line.
pub fn command() -> Command {
    Command::new("quetzalpick-standin")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Stands in for the platform, an engine or a service in tests and demonstrations")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(platform())
        .subcommand(engine())
        .subcommand(service())
}

/// Builds an option with a default value.
fn option(
    name: &'static str,
    value: &'static str,
    parser: impl Into<ValueParser>,
    default: impl ToString,
    help: &'static str,
) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name(value)
        .value_parser(parser.into())
        .default_value(default.to_string())
        .help(help)
}

/// Builds the option for the address to listen on.
fn listen() -> Arg {
    let help = "Address to listen on; port 0 takes a free one";
    option(
        "listen",
        "ADDRESS:PORT",
        value_parser!(SocketAddr),
        super::LOOPBACK,
        help,
    )
}

/// Builds an option with a non-negative integer value.
fn number(name: &'static str, default: impl ToString, help: &'static str) -> Arg {
    option(name, "N", value_parser!(u64), default, help)
}

/// Builds an option with an integer value of at least 1.
fn positive(name: &'static str, default: impl ToString, help: &'static str) -> Arg {
    let parser = value_parser!(u32).range(1..);
    option(name, "N", parser, default, help)
}

/// Builds the sub-command `platform`.
fn platform() -> Command {
    let options = platform::Options::default();
    let weights = options.weights;
    Command::new("platform")
        .about("Log service, VM list and weight store")
        .after_help(AFTER_HELP)
        .arg(listen())
        .arg(positive(
            "retention-records",
            options.retention_records,
            "Records kept of each stream",
        ))
        .arg(positive(
            "appends-per-second",
            options.appends_per_second,
            "Appends taken in a second; others get status 429",
        ))
        .arg(number(
            "vms-lag-ms",
            options.vms_lag.as_millis(),
            "Time until a change shows in the VM list, in ms",
        ))
        .arg(
            Arg::new("vm")
                .long("vm")
                .value_name("NAME,DOMAIN,ADDRESS")
                .value_parser(vm_parser())
                .action(ArgAction::Append)
                .help("VM or endpoint listed at the start; may be repeated"),
        )
        .arg(positive(
            "loads-per-second",
            weights.loads_per_second,
            "Model loads that may begin in a second",
        ))
        .arg(positive(
            "loads-at-full-speed",
            weights.loads_at_full_speed,
            "Model loads at a time before they slow each other",
        ))
        .arg(number(
            "load-ms",
            weights.load.as_millis(),
            "Time of a model load at full speed, in ms",
        ))
        .arg(positive(
            "adapters-at-full-speed",
            weights.adapters_at_full_speed,
            "Adapter loads at a time before they slow each other",
        ))
        .arg(number(
            "adapter-ms",
            weights.adapter.as_millis(),
            "Time of an adapter load at full speed, in ms",
        ))
}

/// Builds the parser for the value of `--vm`.
fn vm_parser() -> ValueParser {
    ValueParser::new(|text: &str| -> Result<Vm, String> { parse_vm(text, Status::Live) })
}

/// Builds the parser for the value of `--preload`.
fn copy_parser() -> ValueParser {
    ValueParser::new(|text: &str| -> Result<Order, String> { parse_copy(text) })
}

/// Builds the sub-command `engine`.
fn engine() -> Command {
    let options = engine::Options::default();
    Command::new("engine")
        .about("Model engine: completions, orders to load and unload, load reports, cache events")
        .after_help(AFTER_HELP)
        .arg(listen())
        .arg(name(options.name))
        .arg(
            Arg::new("platform")
                .long("platform")
                .value_name("ADDRESS:PORT")
                .value_parser(value_parser!(SocketAddr))
                .help("Platform whose weight store is used; without it loads take --load-ms"),
        )
        .arg(
            Arg::new("preload")
                .long("preload")
                .value_name("ARTIFACT,VERSION,MB[,BASE]")
                .value_parser(copy_parser())
                .action(ArgAction::Append)
                .help("Copy loaded at the start; may be repeated"),
        )
        .arg(number(
            "memory-mb",
            options.memory_mb,
            "Memory for copies, in MB",
        ))
        .arg(
            Arg::new("no-fencing")
                .long("no-fencing")
                .action(ArgAction::SetTrue)
                .help("Take orders whatever their fencing number"),
        )
        .arg(positive(
            "batch",
            options.batch,
            "Requests that run at a time",
        ))
        .arg(number(
            "waiting",
            options.waiting,
            "Requests that may wait; others get status 429",
        ))
        .arg(number(
            "token-us",
            options.token.as_micros(),
            "Time of a token when nothing else runs, in us",
        ))
        .arg(number(
            "token-per-running-us",
            options.token_per_running.as_micros(),
            "Time that each other running request adds to a token, in us",
        ))
        .arg(number(
            "prompt-token-us",
            options.prompt_token.as_micros(),
            "Time of a prompt token that is not cached, in us",
        ))
        .arg(positive(
            "stop-after",
            options.stop_after,
            "Tokens after which an answer ends",
        ))
        .arg(number(
            "cache-blocks",
            options.cache_blocks,
            "Blocks of 256 bytes that are cached",
        ))
        .arg(number(
            "event-lag-ms",
            options.event_lag.as_millis(),
            "Time until a cache event shows, in ms",
        ))
        .arg(number(
            "event-gap",
            options.event_gap,
            "Leave out every N-th cache event; 0 for none",
        ))
        .arg(number(
            "report-lag-ms",
            options.report_lag.as_millis(),
            "Time between two samples of the load, in ms",
        ))
        .arg(number(
            "load-ms",
            options.load.as_millis(),
            "Time of a model load without --platform, in ms",
        ))
        .arg(number(
            "adapter-load-ms",
            options.adapter_load.as_millis(),
            "Time of an adapter load without --platform, in ms",
        ))
}

/// Builds the option for the name of the stand-in.
fn name(default: String) -> Arg {
    option(
        "name",
        "NAME",
        value_parser!(String),
        default,
        "Name that answers carry",
    )
}

/// Builds the sub-command `service`.
fn service() -> Command {
    let options = service::Options::default();
    let work = options.work.as_millis();
    Command::new("service")
        .about("Plain service that takes bookings and counts how often each was made")
        .after_help(AFTER_HELP)
        .arg(listen())
        .arg(name(options.name))
        .arg(number("work-ms", work, "Time that a call takes, in ms"))
}
