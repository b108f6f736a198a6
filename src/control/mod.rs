//! The control daemon: serves operators and trainers, and does the work under leases.

mod burn;
pub mod leases;
mod operator;
pub mod orders;
pub mod plan;
mod rounds;
mod serve;
mod snapshot;
pub mod usage;
mod weights;
mod withdraw;

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::drain::Drain;
use crate::edge::{HttpInstances, HttpLog, HttpServers, HttpUsage};
use crate::http::{Client, Server};
use crate::log::ConfigLog;
use crate::names::Incarnation;
use crate::peer::Peers;
use crate::settings::Settings;
use crate::telemetry::Metrics;
use crate::wire::Daemon;

use rounds::Sessions;
use weights::Weights;

/// Timeout at shutdown for calls in flight; a pull waits up to 30 s.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(35);

/// Interval between checks whether the leases of this process have changed.
const LEASES_INTERVAL: Duration = Duration::from_secs(1);

/// All state of one control daemon.
#[derive(Debug)]
pub struct Control {
    settings: Settings,
    incarnation: Incarnation,
    config: Arc<ConfigLog>,
    peers: Arc<Peers>,
    drain: Arc<Drain>,
    servers: HttpServers,
    leases: Arc<leases::Leases>,
    usage: Arc<usage::UsageWindows>,
    orders: Arc<orders::Orders>,
    metrics: Metrics,
    client: Client,
}

impl Control {
    /// Creates a control daemon that has not read the log yet.
    ///
    /// # Errors
    /// The metrics cannot be set up.
    pub fn new(settings: Settings) -> std::io::Result<Self> {
        let client = Client::new();
        let log = Arc::new(HttpLog::new(&client, &settings.platform.log));
        let incarnation = Incarnation::random();
        let config = Arc::new(ConfigLog::new(log.clone()));
        let instances = Arc::new(HttpInstances::new(&client, &settings.platform.instances));
        let metrics = Metrics::new().map_err(std::io::Error::other)?;
        let name = &settings.instance;
        let leases = leases::Leases::new(log.clone(), instances.clone(), name, &incarnation);
        let leases = Arc::new(leases);
        leases.observe(&metrics.meter());
        let usage = usage::UsageWindows::new(
            log.clone(),
            Arc::new(HttpUsage::new(&client, &settings.platform.usage)),
            Arc::clone(&leases),
            Arc::clone(&config),
            &metrics.meter(),
        );
        let peers = Peers::new(
            &settings,
            Daemon::Control,
            &incarnation,
            Arc::clone(&config),
            instances,
            &metrics.meter(),
        );
        let servers = HttpServers::new(&client, &settings.platform.servers);
        let orders = orders::Orders {
            log,
            servers: Arc::new(servers.clone()),
            leases: Arc::clone(&leases),
            config: Arc::clone(&config),
            peers: Arc::clone(&peers),
            client: client.clone(),
            metrics: orders::OrderMetrics::new(&metrics.meter()),
        };
        Ok(Self {
            incarnation,
            orders: Arc::new(orders),
            config,
            peers,
            drain: Arc::default(),
            leases,
            usage: Arc::new(usage),
            servers,
            client,
            metrics,
            settings,
        })
    }

    /// Runs until the process receives a stop signal.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn run(self) -> std::io::Result<()> {
        let control = Arc::new(self);
        control.peers.run().await?;
        control.start_tasks();
        let sessions = control.start_sessions();
        let address = control.settings.control.http;
        let threads = control.settings.threads;
        let state = Arc::clone(&control);
        let server = Server::start(address, threads, move |request| {
            serve::answer(Arc::clone(&state), Arc::clone(&sessions), request)
        })?;
        spdlog::info!("control started", kv: {
            address = address.to_string(),
            incarnation = control.incarnation.to_string(),
        });
        crate::util::stop_signal().await?;
        tokio::select! {
            () = control.drain() => {}
            again = crate::util::stop_signal() => again?,
        }
        drop(server);
        Ok(())
    }

    /// Starts the background tasks, which follow the log and work under leases.
    fn start_tasks(self: &Arc<Self>) {
        let state = Arc::clone(self);
        tokio::spawn(async move { state.config.follow(|| state.peers.reads_log()).await });
        let leases = Arc::clone(&self.leases);
        tokio::spawn(async move { leases.run().await });
        tokio::spawn(withdraw::append_denied(Arc::clone(self)));
        tokio::spawn(publish_leases(Arc::clone(self)));
        tokio::spawn(Arc::clone(&self.usage).run());
        let orders = Arc::clone(&self.orders);
        let log = Arc::clone(&orders.log);
        let (config, leases) = (Arc::clone(&orders.config), Arc::clone(&orders.leases));
        tokio::spawn(snapshot::run(log, config, leases));
        tokio::spawn(orders.run());
        let weights = Weights::new(
            Arc::clone(&self.config),
            Arc::clone(&self.peers),
            Arc::clone(&self.leases),
            self.servers.clone(),
            &self.client,
            &self.metrics.meter(),
        );
        tokio::spawn(weights.run());
    }

    /// Starts the tasks that watch and close trainers' sessions.
    fn start_sessions(self: &Arc<Self>) -> Arc<Sessions> {
        let sessions = Sessions::new(
            &self.settings,
            &self.client,
            Arc::clone(&self.config),
            Arc::clone(&self.peers),
        );
        let sessions = Arc::new(sessions);
        tokio::spawn(Arc::clone(&sessions).follow());
        tokio::spawn(Arc::clone(&sessions).leave(self.drain.watch()));
        sessions
    }

    /// Shuts down: refuses new calls, releases leases, and waits for calls in flight.
    async fn drain(&self) {
        self.drain.leave();
        self.peers.update(|status| status.leaving = true);
        self.drain.close();
        self.leases.release().await;
        let left = self.drain.finish(Instant::now() + DRAIN_TIMEOUT).await;
        spdlog::info!("leaving", kv: { left });
    }
}

/// Publishes the leases of this process to peers, for the operators' status.
async fn publish_leases(control: Arc<Control>) {
    let mut published = Vec::new();
    loop {
        let held = control.leases.all();
        if held != published {
            published.clone_from(&held);
            control.peers.update(|status| status.leases = held);
        }
        tokio::time::sleep(LEASES_INTERVAL).await;
    }
}
