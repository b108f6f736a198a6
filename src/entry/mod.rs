//! The entry daemon: the callers' side.
//!
//! One request passes [`serve`] (which page), [`auth`] (whose key), then either
//! [`generate`] (model engines) or [`plain`] (plain services).

mod address;
mod api;
mod auth;
mod choose;
mod engine;
mod generate;
mod leak;
mod metrics;
mod path;
mod plain;
mod sample;
mod serve;
mod servers;
mod stream;
mod usage;

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::edge::{HttpLog, HttpServers};
use crate::http::{Client, Server};
use crate::log::ConfigLog;
use crate::names::Incarnation;
use crate::settings::Settings;
use crate::telemetry::Metrics;

pub(crate) use auth::bearer;
pub use leak::{KEY_DIGITS, KEY_PREFIX};
pub use servers::ServerTable;
pub use usage::{UsageBatch, UsageCopies, UsageCounters};

/// Time in which the last counters must reach the log at shutdown.
const FLUSH: Duration = Duration::from_secs(5);

/// All state of one entry daemon.
#[derive(Debug)]
pub struct Entry {
    settings: Settings,
    incarnation: Incarnation,
    config: Arc<ConfigLog>,
    servers: ServerTable,
    log: Arc<HttpLog>,
    usage: UsageCounters,
    appends: tokio::sync::Mutex<usage::AppendState>,
    usage_metrics: usage::UsageMetrics,
    client: Client,
    metrics: Metrics,
    counts: metrics::EntryMetrics,
}

impl Entry {
    /// An entry that has read nothing yet.
    ///
    /// # Errors
    /// Its metrics cannot be set up.
    pub fn new(settings: Settings) -> std::io::Result<Self> {
        let client = Client::new();
        let log = Arc::new(HttpLog::new(&client, &settings.platform.log));
        let servers = HttpServers::new(&client, &settings.platform.servers);
        let metrics = Metrics::new().map_err(std::io::Error::other)?;
        Ok(Self {
            incarnation: Incarnation::random(),
            config: Arc::new(ConfigLog::new(log.clone())),
            log,
            servers: ServerTable::new(Arc::new(servers)),
            usage: UsageCounters::default(),
            appends: tokio::sync::Mutex::default(),
            usage_metrics: usage::UsageMetrics::new(&metrics.meter()),
            counts: metrics::EntryMetrics::new(&metrics.meter()),
            metrics,
            client,
            settings,
        })
    }

    /// Runs until the process is told to stop.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn run(self) -> std::io::Result<()> {
        let entry = Arc::new(self);
        tokio::spawn(follow_config(Arc::clone(&entry)));
        tokio::spawn(follow_servers(Arc::clone(&entry)));
        tokio::spawn(usage::follow(Arc::clone(&entry)));
        let address = entry.settings.entry.http;
        let threads = entry.settings.threads;
        let state = Arc::clone(&entry);
        let server = Server::start(address, threads, move |request| {
            serve::answer(Arc::clone(&state), request)
        })?;
        spdlog::info!("entry started", kv: {
            address = address.to_string(),
            incarnation = entry.incarnation.to_string(),
        });
        crate::util::stop_signal().await?;
        drop(server);
        usage::flush(&entry, Instant::now() + FLUSH).await;
        Ok(())
    }
}

async fn follow_config(entry: Arc<Entry>) {
    entry.config.follow().await;
}

async fn follow_servers(entry: Arc<Entry>) {
    entry.servers.follow().await;
}
