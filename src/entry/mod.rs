//! The entry daemon: the callers' side.
//!
//! One request passes [`serve`] (which page), [`auth`] (whose key), then either
//! [`generate`] (model engines) or [`plain`] (plain services).

mod address;
mod admit;
mod api;
mod auth;
mod choose;
mod eject;
mod engine;
mod enter;
mod fair;
mod generate;
mod leak;
mod limit;
mod metrics;
mod others;
mod path;
mod place;
mod plain;
mod poison;
pub mod prefix;
mod report;
mod retry;
mod sample;
mod serve;
mod servers;
mod share;
mod stream;
mod subset;
mod suspect;
mod usage;

use std::sync::Arc;

use arc_swap::ArcSwap;

use crate::edge::{HttpLog, HttpServers};
use crate::http::{Client, Server};
use crate::log::ConfigLog;
use crate::names::Incarnation;
use crate::settings::Settings;
use crate::telemetry::Metrics;

pub(crate) use auth::bearer;
pub use leak::{KEY_DIGITS, KEY_PREFIX};
pub use servers::ServerTable;
pub use usage::UsageCounters;

/// All state of one entry daemon.
#[derive(Debug)]
pub struct Entry {
    settings: Settings,
    incarnation: Incarnation,
    config: Arc<ConfigLog>,
    servers: ServerTable,
    usage: UsageCounters,
    admission: admit::Admission,
    limits: limit::Limits,
    retries: retry::RetryBudget,
    suspects: Arc<suspect::Suspects>,
    others: ArcSwap<others::Others>,
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
            config: Arc::new(ConfigLog::new(log)),
            servers: ServerTable::new(Arc::new(servers)),
            usage: UsageCounters::default(),
            admission: admit::Admission::default(),
            limits: limit::Limits::default(),
            retries: retry::RetryBudget::default(),
            suspects: Arc::default(),
            others: ArcSwap::default(),
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
        tokio::spawn(enter::follow_bounds(Arc::clone(&entry)));
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
        Ok(())
    }
}

async fn follow_config(entry: Arc<Entry>) {
    entry.config.follow().await;
}

async fn follow_servers(entry: Arc<Entry>) {
    entry.servers.follow().await;
}
