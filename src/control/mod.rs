//! The control daemon: the operators' and the platform's side.

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

use rounds::Rounds;
use weights::Weights;

/// Time within which calls must end when the daemon leaves; a pull waits up to 30 s.
const FINISH: Duration = Duration::from_secs(35);

/// Time between two checks of what peers should be told.
const TELL: Duration = Duration::from_secs(1);

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
    /// A control daemon that has read nothing yet.
    ///
    /// # Errors
    /// Its metrics cannot be set up.
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
            counts: orders::OrderMetrics::new(&metrics.meter()),
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

    /// Runs until the process is told to stop.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn run(self) -> std::io::Result<()> {
        let control = Arc::new(self);
        control.peers.run().await?;
        control.start_duties();
        let rounds = control.start_rounds();
        let address = control.settings.control.http;
        let threads = control.settings.threads;
        let state = Arc::clone(&control);
        let server = Server::start(address, threads, move |request| {
            serve::answer(Arc::clone(&state), Arc::clone(&rounds), request)
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

    /// Starts what follows the log and what is done under leases.
    fn start_duties(self: &Arc<Self>) {
        let state = Arc::clone(self);
        tokio::spawn(async move { state.config.follow(|| state.peers.reads_log()).await });
        let leases = Arc::clone(&self.leases);
        tokio::spawn(async move { leases.run().await });
        tokio::spawn(withdraw::append_denied(Arc::clone(self)));
        tokio::spawn(tell_leases(Arc::clone(self)));
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

    /// Starts the sessions of rounds.
    fn start_rounds(self: &Arc<Self>) -> Arc<Rounds> {
        let rounds = Rounds::new(
            &self.settings,
            &self.client,
            Arc::clone(&self.config),
            Arc::clone(&self.peers),
        );
        let rounds = Arc::new(rounds);
        tokio::spawn(Arc::clone(&rounds).follow());
        tokio::spawn(Arc::clone(&rounds).leave(self.drain.watch()));
        rounds
    }

    /// Leaves: hands leases on, refuses new calls, and finishes those that run.
    async fn drain(&self) {
        self.drain.leave();
        self.peers.update(|own| own.leaving = true);
        self.drain.close();
        self.leases.release().await;
        let left = self.drain.finish(Instant::now() + FINISH).await;
        spdlog::info!("leaving", kv: { left });
    }
}

/// Tells peers which leases this process holds, for the operators' status.
async fn tell_leases(control: Arc<Control>) {
    let mut told = Vec::new();
    loop {
        let held = control.leases.all();
        if held != told {
            told.clone_from(&held);
            control.peers.update(|own| own.leases = held);
        }
        tokio::time::sleep(TELL).await;
    }
}
