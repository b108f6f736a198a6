//! Updates engines to the weight versions that the manifest names, in waves of load orders.
//!
//! Only the holder of the weights lease sends load orders, with its fencing token and on
//! connections that close at the lease's deadline. [`wave`] chooses the engines that load now,
//! [`engines`] tracks the state of all engines. Orders of an earlier lease holder are visible in
//! the load reports of the engines.

mod engines;
mod wave;

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::join_all;
use http::{Method, Request, StatusCode, header};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Gauge, Meter};

use crate::edge::{FencedClient, FencedError, HttpServers, Servers as _};
use crate::http::Client;
use crate::lease::HeldLease;
use crate::log::ConfigLog;
use crate::manifest::Manifest;
use crate::names::ServerId;
use crate::peer::Peers;
use crate::wire::{EngineLoad, EngineOrder, Role};

use super::leases::Leases;
use engines::{EngineTable, LoadOrder, SendOutcome};

/// Time between two waves.
const WAVE_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two reads of the list of backend servers.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a request for an engine's load report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Orders engines to load weights while this process holds the weights lease.
#[derive(Debug)]
pub(super) struct Weights {
    config: Arc<ConfigLog>,
    peers: Arc<Peers>,
    leases: Arc<Leases>,
    servers: HttpServers,
    client: Client,
    engine_counts: Gauge<u64>,
}

impl Weights {
    /// Creates a loader without known engines.
    pub fn new(
        config: Arc<ConfigLog>,
        peers: Arc<Peers>,
        leases: Arc<Leases>,
        servers: HttpServers,
        client: &Client,
        meter: &Meter,
    ) -> Self {
        let engines = meter
            .u64_gauge("basillead_weight_servers")
            .with_description("Model engines by model and state, as the lease holder sees them.");
        Self {
            config,
            peers,
            leases,
            servers,
            client: client.clone(),
            engine_counts: engines.build(),
        }
    }

    /// Runs waves while the lease is held, and discards the engines' state otherwise; never
    /// returns.
    pub async fn run(self) {
        let mut table = EngineTable::default();
        let mut listed: Option<Instant> = None;
        loop {
            if self.leases.held(Role::Weights).is_none() {
                table = EngineTable::default();
                listed = None;
            } else {
                if listed.is_none_or(|listed| listed.elapsed() >= LIST_INTERVAL) {
                    self.update_servers(&mut table).await;
                    listed = Some(Instant::now());
                }
                self.run_wave(&mut table).await;
            }
            tokio::time::sleep(WAVE_INTERVAL).await;
        }
    }

    async fn update_servers(&self, table: &mut EngineTable) {
        match self.servers.list().await {
            Ok(list) => {
                let manifest = &self.config.state().manifest;
                table.update_servers(&list.servers, manifest, Instant::now());
            }
            Err(error) => {
                spdlog::warn!("server list failed", kv: { error = error.to_string() });
            }
        }
    }

    /// Fetches the reports that are due, then sends the orders of the next wave.
    async fn run_wave(&self, table: &mut EngineTable) {
        let manifest = Arc::clone(&self.config.state().manifest);
        let before = table.clone();
        let due = table.due_reports(Instant::now());
        let reports = due.iter().map(|(_, address)| self.fetch_report(address));
        for ((id, _), report) in due.iter().zip(join_all(reports).await) {
            table.record_report(id, report, &manifest, Instant::now());
            log_failure(id, &before, table);
        }
        // An outdated manifest must not return engines to an earlier version.
        if self.peers.is_fresh(Instant::now()) {
            self.send_orders(table, &manifest).await;
        }
        self.record_progress(&before, table, &manifest);
    }

    async fn fetch_report(&self, address: &str) -> Option<EngineLoad> {
        let request = Request::get(format!("http://{address}/load"));
        let request = request.body(Bytes::new()).ok()?;
        let answer = self.client.fetch(request, REPORT_TIMEOUT).await.ok()?;
        serde_json::from_slice(answer.body()).ok()
    }

    async fn send_orders(&self, table: &mut EngineTable, manifest: &Manifest) {
        let Some(guard) = self.leases.begin(Role::Weights) else {
            return;
        };
        let orders = table.wave(manifest, Instant::now());
        let sent = orders.iter().map(|order| send_order(order, guard.held));
        for (order, outcome) in orders.iter().zip(join_all(sent).await) {
            table.record_outcome(&order.server, outcome, Instant::now());
        }
    }

    /// Records the progress of each model's weight update as metrics, and logs changes.
    fn record_progress(&self, before: &EngineTable, table: &EngineTable, manifest: &Manifest) {
        for (model, spec) in &manifest.models {
            let progress = table.progress(model, manifest);
            let states = [
                ("current", progress.current),
                ("behind", progress.behind),
                ("out", progress.excluded),
            ];
            for (state, count) in states {
                let labels = [
                    KeyValue::new("model", model.to_string()),
                    KeyValue::new("state", state),
                ];
                self.engine_counts.record(count as u64, &labels);
            }
            if before.progress(model, manifest) != progress {
                spdlog::info!("weights progress", kv: {
                    model = model.as_str(),
                    version = spec.version,
                    current = progress.current,
                    behind = progress.behind,
                    out = progress.excluded,
                });
            }
        }
    }
}

fn log_failure(id: &ServerId, before: &EngineTable, table: &EngineTable) {
    let failures = table.failures(id);
    if failures > before.failures(id) {
        let left_out = failures >= wave::FAILURES_MAX;
        spdlog::warn!("weights load failed", kv: { server = id.as_str(), failures, left_out });
    }
}

/// Sends an order to its engine while the lease is held.
///
/// An order counts as failed only if the engine certainly did not take it.
async fn send_order(order: &LoadOrder, held: HeldLease) -> SendOutcome {
    let Some(request) = order_request(order, held.claim) else {
        return SendOutcome::Failed;
    };
    let sent = FencedClient::new(held, "weights-connected")
        .send(request)
        .await;
    let (send_outcome, outcome) = match &sent {
        Ok(answer) if answer.status().is_success() => (SendOutcome::Taken, "taken".to_owned()),
        Ok(answer) if answer.status() == StatusCode::CONFLICT => {
            (SendOutcome::Failed, "old fencing number".to_owned())
        }
        Ok(answer) => (SendOutcome::Failed, answer.status().to_string()),
        Err(error @ (FencedError::Lapsed | FencedError::Address | FencedError::Connect { .. })) => {
            (SendOutcome::Failed, error.to_string())
        }
        Err(error) => (SendOutcome::Taken, error.to_string()),
    };
    spdlog::info!("weights ordered", kv: {
        server = order.server.as_str(),
        version = order.version,
        fence = held.claim,
        outcome,
    });
    send_outcome
}

fn order_request(order: &LoadOrder, fence: u64) -> Option<Request<Bytes>> {
    let body = EngineOrder {
        fence,
        model: order.model.to_string(),
        version: order.version,
    };
    Request::builder()
        .method(Method::POST)
        .uri(format!("http://{}/orders", order.address))
        .header(header::CONTENT_TYPE, "application/json")
        .body(Bytes::from(serde_json::to_vec(&body).ok()?))
        .ok()
}
