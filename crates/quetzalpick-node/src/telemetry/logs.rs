//! Setup of the process's logger.

use std::io;

use log::LevelFilter;
use log4rs::config::{Appender, Config, Logger, Root};
use log4rs::encode::Encode;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;

use crate::errors::{Error, Result};
use crate::settings::sections::{Format, Level, Log, Output};
use crate::telemetry::queue::{self, Queue};

/// Name of the single appender.
const APPENDER: &str = "queue";

/// Format of a text line: UTC time in ms, level, message.
const PATTERN: &str = "{d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} {l} {m}{n}";

impl From<Level> for LevelFilter {
    fn from(level: Level) -> Self {
        match level {
            Level::Off => Self::Off,
            Level::Error => Self::Error,
            Level::Warn => Self::Warn,
            Level::Info => Self::Info,
            Level::Debug => Self::Debug,
            Level::Trace => Self::Trace,
        }
    }
}

/// Installs the logger of the process.
///
/// # Errors
///
/// `Error::Logger` if a logger is already installed or the configuration is invalid.
pub fn try_start(settings: &Log) -> Result<()> {
    let config = config(settings).map_err(logger_error)?;
    log4rs::init_config(config).map_err(logger_error)?;
    Ok(())
}

/// Builds the log4rs configuration.
fn config(settings: &Log) -> Result<Config, log4rs::config::runtime::ConfigErrors> {
    let encoder: Box<dyn Encode> = match settings.format {
        Format::Text => Box::new(PatternEncoder::new(PATTERN)),
        Format::Json => Box::new(JsonEncoder::new()),
    };
    let options = queue::Options::default();
    let queue = match settings.output {
        Output::Stdout => Queue::new(encoder, io::stdout(), options),
        Output::Stderr => Queue::new(encoder, io::stderr(), options),
    };
    let appender = Appender::builder().build(APPENDER, Box::new(queue));
    let logger =
        |(module, level): &(String, Level)| Logger::builder().build(module, (*level).into());
    let root = Root::builder().appender(APPENDER);
    Config::builder()
        .appender(appender)
        .loggers(settings.levels.iter().map(logger))
        .build(root.build(settings.level.into()))
}

/// Builds the error of a logger that could not be started.
fn logger_error(reason: impl ToString) -> Error {
    Error::Logger {
        reason: reason.to_string(),
    }
}
