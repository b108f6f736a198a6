//! The entry daemon, which receives callers' requests and forwards them to backend servers.
//!
//! `serve` finds the endpoint of a request, `auth` identifies the caller by the API key,
//! and then `generate` (model engines) or `plain` (plain services) runs the request.

mod address;
mod admit;
mod api;
mod auth;
mod burn;
mod choose;
mod drain;
mod eject;
mod engine;
mod fair;
mod generate;
mod gossip;
mod idempotency;
mod intake;
mod key_check;
mod key_filter;
mod load_estimate;
mod load_poll;
mod marked_servers;
mod metrics;
mod other_entries;
mod path;
mod placement;
mod plain;
mod poison;
pub mod prefix;
mod rate_limit;
mod retry;
mod sample;
mod serve;
mod servers;
mod stream;
mod subset;
mod suspect;
mod usage;

use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;

use crate::drain::Drain;
use crate::edge::{HttpInstances, HttpLog, HttpServers};
use crate::http::{Client, Server};
use crate::log::ConfigLog;
use crate::names::Incarnation;
use crate::peer::Peers;
use crate::settings::Settings;
use crate::telemetry::Metrics;
use crate::wire::Daemon;

pub(crate) use auth::bearer;
pub use burn::BurnTable;
pub use key_filter::{KEY_DIGITS, KEY_PREFIX};
pub use servers::ServerTable;
pub use usage::{COPY_TIMEOUT, UsageBatch, UsageCopies, UsageCounters};

/// Time allowed at shutdown for writing the last usage counters to the log.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(5);

/// All state of one entry daemon.
#[derive(Debug)]
pub struct Entry {
    settings: Settings,
    incarnation: Incarnation,
    config: Arc<ConfigLog>,
    peers: Arc<Peers>,
    drain: Arc<Drain>,
    dedup: idempotency::DedupTable,
    address_expiry: drain::AddressExpiry,
    servers: ServerTable,
    log: Arc<HttpLog>,
    burn: BurnTable,
    usage: UsageCounters,
    copies: UsageCopies,
    appends: tokio::sync::Mutex<usage::AppendState>,
    usage_metrics: usage::UsageMetrics,
    admission: admit::Admission,
    limits: rate_limit::Limits,
    retries: retry::RetryBudget,
    suspects: Arc<suspect::Suspects>,
    other_entries: ArcSwap<other_entries::OtherEntries>,
    client: Client,
    metrics: Metrics,
    counts: metrics::EntryMetrics,
}

impl Entry {
    /// Creates an entry that has not yet read the configuration or the server list.
    ///
    /// # Errors
    /// The metrics cannot be set up.
    pub fn new(settings: Settings) -> std::io::Result<Self> {
        let client = Client::new();
        let log = Arc::new(HttpLog::new(&client, &settings.platform.log));
        let metrics = Metrics::new().map_err(std::io::Error::other)?;
        let incarnation = Incarnation::random();
        let config = Arc::new(ConfigLog::new(log.clone()));
        let marked = marked_servers::MarkedServers {
            inner: HttpServers::new(&client, &settings.platform.servers),
            config: Arc::clone(&config),
        };
        let instances = Arc::new(HttpInstances::new(&client, &settings.platform.instances));
        let peers = Peers::new(
            &settings,
            Daemon::Entry,
            &incarnation,
            Arc::clone(&config),
            instances,
            &metrics.meter(),
        );
        Ok(Self {
            incarnation,
            config,
            peers,
            drain: Arc::default(),
            dedup: idempotency::DedupTable::default(),
            address_expiry: drain::AddressExpiry::default(),
            log,
            servers: ServerTable::new(Arc::new(marked)),
            burn: BurnTable::default(),
            usage: UsageCounters::default(),
            copies: UsageCopies::default(),
            appends: tokio::sync::Mutex::default(),
            usage_metrics: usage::UsageMetrics::new(&metrics.meter()),
            admission: admit::Admission::default(),
            limits: rate_limit::Limits::default(),
            retries: retry::RetryBudget::default(),
            suspects: Arc::default(),
            other_entries: ArcSwap::default(),
            counts: metrics::EntryMetrics::new(&metrics.meter()),
            metrics,
            client,
            settings,
        })
    }

    /// Serves requests until the process receives a stop signal, then drains and returns.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn run(self) -> std::io::Result<()> {
        let entry = Arc::new(self);
        tokio::spawn(follow_config(Arc::clone(&entry)));
        tokio::spawn(follow_servers(Arc::clone(&entry)));
        idempotency::serve_forwarded(&entry);
        usage::serve_copies(&entry);
        entry.peers.run().await?;
        tokio::spawn(drain::track_address_ttl(Arc::clone(&entry)));
        tokio::spawn(usage::follow(Arc::clone(&entry)));
        tokio::spawn(usage::replicate(Arc::clone(&entry)));
        tokio::spawn(usage::append_for_failed(Arc::clone(&entry)));
        tokio::spawn(intake::follow_bounds(Arc::clone(&entry)));
        tokio::spawn(load_poll::follow(Arc::clone(&entry)));
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
        tokio::select! {
            () = drain::drain(&entry) => {}
            again = crate::util::stop_signal() => again?,
        }
        drop(server);
        usage::flush(&entry, Instant::now() + FLUSH_TIMEOUT).await;
        Ok(())
    }
}

async fn follow_config(entry: Arc<Entry>) {
    entry.config.follow(|| entry.peers.reads_log()).await;
}

async fn follow_servers(entry: Arc<Entry>) {
    entry.servers.follow().await;
}
