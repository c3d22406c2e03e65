//! Metrics by OpenTelemetry, shown on a page in the Prometheus text form.

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, TextEncoder};
use snafu::{ResultExt, Snafu};

/// Bounds of latency histograms, in seconds.
pub const LATENCY_SECONDS: &[f64] = &[
    0.000_5, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 1.5, 2.0, 5.0, 10.0, 30.0,
];

/// The metrics could not be set up or written.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The exporter could not be built.
    #[snafu(display("could not build the metrics exporter: {source}"))]
    Build {
        /// What the library said.
        source: opentelemetry_sdk::error::OTelSdkError,
    },
    /// The page could not be written.
    #[snafu(display("could not write the metrics page: {source}"))]
    Encode {
        /// What the library said.
        source: prometheus::Error,
    },
}

/// The metrics of one daemon.
#[derive(Clone)]
pub struct Metrics {
    registry: prometheus::Registry,
    provider: SdkMeterProvider,
}

impl Metrics {
    /// An empty set of metrics.
    ///
    /// # Errors
    ///
    /// If the exporter could not be built.
    pub fn new() -> Result<Self, Error> {
        let registry = prometheus::Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .context(BuildSnafu)?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { registry, provider })
    }

    /// The meter from which a part of the daemon makes its instruments.
    pub fn meter(&self, part: &'static str) -> Meter {
        self.provider.meter(part)
    }

    /// The page in the Prometheus text form.
    ///
    /// # Errors
    ///
    /// If a metric could not be encoded.
    pub fn render(&self) -> Result<String, Error> {
        let mut page = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut page)
            .context(EncodeSnafu)?;
        Ok(String::from_utf8_lossy(&page).into_owned())
    }
}
