//! Metrics, exposed in the Prometheus text format.

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

use crate::errors::{Error, Result};

/// `Metrics` collects the metrics of the process; clones share them.
#[derive(Debug, Clone)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Metrics {
    /// Creates an empty registry and its exporter.
    ///
    /// # Errors
    ///
    /// `Error::Metrics` if the exporter cannot be registered.
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

    /// Returns the meter of a component, whose name its metrics carry as their scope.
    pub fn meter(&self, component: &'static str) -> Meter {
        self.provider.meter(component)
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        // Encoding fails only for a metric without samples, which the exporter never yields.
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_default()
    }
}
