//! Logging and metrics of a daemon.

use std::sync::Arc;

use opentelemetry::metrics::MeterProvider as _;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};
use spdlog::formatter::{Formatter, FullFormatter, JsonFormatter};
use spdlog::sink::{Sink, SinkPropAccess as _, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger};

use crate::settings::{LogFormat, LogLevel};

/// Installs a default logger that writes to standard error.
///
/// # Errors
/// Fails if the logger cannot be built.
pub fn init_log(format: LogFormat, level: LogLevel) -> Result<(), spdlog::Error> {
    let formatter: Box<dyn Formatter> = match format {
        LogFormat::Text => Box::new(FullFormatter::new()),
        LogFormat::Json => Box::new(JsonFormatter::new()),
    };
    let sink = StdStreamSink::builder().stderr().build_arc()?;
    sink.set_formatter(formatter);
    let sink: Arc<dyn Sink> = sink;
    let filter = LevelFilter::MoreSevereEqual(severity(level));
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(filter)
        .flush_level_filter(LevelFilter::All)
        .build_arc()?;
    spdlog::set_default_logger(logger);
    Ok(())
}

fn severity(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warn,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    }
}

/// A daemon's metrics, served as Prometheus text.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Metrics {
    /// Creates a registry without instruments.
    ///
    /// # Errors
    /// Fails if the exporter cannot be built.
    pub fn new() -> Result<Self, opentelemetry_sdk::error::OTelSdkError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { registry, provider })
    }

    /// The meter that creates instruments.
    #[must_use]
    pub fn meter(&self) -> opentelemetry::metrics::Meter {
        self.provider.meter("basillead")
    }

    /// All metrics in the Prometheus text format.
    #[must_use]
    pub fn text(&self) -> String {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_default()
    }
}
