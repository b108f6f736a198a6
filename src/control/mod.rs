//! The control daemon: the operators' and the platform's side.

pub mod leases;
mod operator;
mod rounds;
mod serve;
mod weights;

use std::sync::Arc;

use crate::edge::{HttpInstances, HttpLog, HttpServers};
use crate::http::{Client, Server};
use crate::log::ConfigLog;
use crate::names::Incarnation;
use crate::settings::Settings;
use crate::telemetry::Metrics;

use rounds::Rounds;
use weights::Weights;

/// All state of one control daemon.
#[derive(Debug)]
pub struct Control {
    settings: Settings,
    incarnation: Incarnation,
    config: Arc<ConfigLog>,
    servers: HttpServers,
    leases: Arc<leases::Leases>,
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
        let instances = Arc::new(HttpInstances::new(&client, &settings.platform.instances));
        let leases = leases::Leases::new(log.clone(), instances, &settings.instance, &incarnation);
        Ok(Self {
            incarnation,
            leases: Arc::new(leases),
            config: Arc::new(ConfigLog::new(log)),
            servers: HttpServers::new(&client, &settings.platform.servers),
            client: client.clone(),
            metrics: Metrics::new().map_err(std::io::Error::other)?,
            settings,
        })
    }

    /// Runs until the process is told to stop.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn run(self) -> std::io::Result<()> {
        let control = Arc::new(self);
        let config = Arc::clone(&control.config);
        tokio::spawn(async move { config.follow().await });
        let leases = Arc::clone(&control.leases);
        tokio::spawn(async move { leases.run().await });
        let address = control.settings.control.http;
        let threads = control.settings.threads;
        let rounds = Rounds::new(
            &control.settings,
            &control.client,
            Arc::clone(&control.config),
        );
        let rounds = Arc::new(rounds);
        tokio::spawn(Arc::clone(&rounds).follow());
        let weights = Weights::new(
            Arc::clone(&control.config),
            Arc::clone(&control.leases),
            control.servers.clone(),
            &control.client,
            &control.metrics.meter(),
        );
        tokio::spawn(weights.run());
        let state = Arc::clone(&control);
        let server = Server::start(address, threads, move |request| {
            serve::answer(Arc::clone(&state), Arc::clone(&rounds), request)
        })?;
        spdlog::info!("control started", kv: {
            address = address.to_string(),
            incarnation = control.incarnation.to_string(),
        });
        crate::util::stop_signal().await?;
        control.leases.release().await;
        drop(server);
        Ok(())
    }
}
