//! Metric instruments of a process, exported in the Prometheus text format.

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::error::OTelSdkError;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Name of the meter that creates all instruments.
const METER_NAME: &str = "hornbeamshunt";

/// Registry of the metric instruments of a process.
#[derive(Clone, Debug)]
pub struct MetricRegistry {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl MetricRegistry {
    /// Builds an empty registry.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter can't be registered.
    pub fn new() -> Result<Self, OTelSdkError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|error| OTelSdkError::InternalFailure(error.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { registry, provider })
    }

    /// Returns the meter, which creates instruments.
    pub fn meter(&self) -> Meter {
        self.provider.meter(METER_NAME)
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        // Errors are ignored, so that a scrape shows the metrics that could be gathered.
        let _ = self.provider.force_flush();
        let mut text = Vec::new();
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}
