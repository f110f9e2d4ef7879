//! Metrics, scraped as text.

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use crate::errors::{Error, Result};

/// `Metrics` collects the process's metrics; clones share them.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Metrics {
    /// Sets up the collection.
    ///
    /// # Errors
    ///
    /// `Error::Metrics` if the exporter refuses.
    pub fn try_new() -> Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|e| Error::Metrics {
                reason: e.to_string(),
            })?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { registry, provider })
    }

    /// Returns the meter of a part of the process.
    pub fn meter(&self, part: &'static str) -> Meter {
        self.provider.meter(part)
    }

    /// Returns all metrics in the text form that scrapers read.
    pub fn text(&self) -> String {
        // Encoding fails only for a metric without samples, which the exporter never yields.
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_default()
    }
}
