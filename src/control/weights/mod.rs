//! Moves engines to the weight versions that the manifest names.
//!
//! Only the holder of the weights' lease sends orders, under its fencing number and on
//! connections that close at the lease's deadline. [`wave`] decides which engines load now,
//! [`table`] keeps what is known of them. What a former holder ordered shows in the engines'
//! own reports.

mod table;
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
use crate::lease::Held;
use crate::log::ConfigLog;
use crate::manifest::Manifest;
use crate::names::ServerId;
use crate::peer::Peers;
use crate::wire::{EngineLoad, EngineOrder, Role};

use super::leases::Leases;
use table::{EngineTable, LoadOrder, Ordered};

/// Time between two looks.
const LOOK: Duration = Duration::from_millis(250);
/// Time between two readings of the backend server interface.
const LIST: Duration = Duration::from_secs(1);
/// Time within which an engine must report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);

/// Loads weights while this process holds the lease.
#[derive(Debug)]
pub(super) struct Weights {
    config: Arc<ConfigLog>,
    peers: Arc<Peers>,
    leases: Arc<Leases>,
    servers: HttpServers,
    client: Client,
    engines: Gauge<u64>,
}

impl Weights {
    /// A loader that knows no engine yet.
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
            engines: engines.build(),
        }
    }

    /// Works for ever; without the lease it forgets what it knew.
    pub async fn run(self) {
        let mut table = EngineTable::default();
        let mut listed: Option<Instant> = None;
        loop {
            if self.leases.held(Role::Weights).is_none() {
                table = EngineTable::default();
                listed = None;
            } else {
                if listed.is_none_or(|listed| listed.elapsed() >= LIST) {
                    self.list(&mut table).await;
                    listed = Some(Instant::now());
                }
                self.step(&mut table).await;
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    async fn list(&self, table: &mut EngineTable) {
        match self.servers.list().await {
            Ok(list) => {
                let manifest = &self.config.state().manifest;
                table.replace(&list.servers, manifest, Instant::now());
            }
            Err(error) => {
                spdlog::warn!("server list failed", kv: { error = error.to_string() });
            }
        }
    }

    /// Reads the reports that are due, then orders the next wave.
    async fn step(&self, table: &mut EngineTable) {
        let manifest = Arc::clone(&self.config.state().manifest);
        let before = table.clone();
        let due = table.due(Instant::now());
        let reports = due.iter().map(|(_, address)| self.report(address));
        for ((id, _), report) in due.iter().zip(join_all(reports).await) {
            table.report(id, report, &manifest, Instant::now());
            log_failure(id, &before, table);
        }
        // An old manifest must not take engines back to an old version.
        if self.peers.is_fresh(Instant::now()) {
            self.order(table, &manifest).await;
        }
        self.show(&before, table, &manifest);
    }

    async fn report(&self, address: &str) -> Option<EngineLoad> {
        let request = Request::get(format!("http://{address}/load"));
        let request = request.body(Bytes::new()).ok()?;
        let answer = self.client.fetch(request, REPORT_TIMEOUT).await.ok()?;
        serde_json::from_slice(answer.body()).ok()
    }

    async fn order(&self, table: &mut EngineTable, manifest: &Manifest) {
        let Some(guard) = self.leases.begin(Role::Weights) else {
            return;
        };
        let orders = table.wave(manifest, Instant::now());
        let sent = orders.iter().map(|order| send(order, guard.held));
        for (order, ordered) in orders.iter().zip(join_all(sent).await) {
            table.ordered(&order.server, ordered, Instant::now());
        }
    }

    /// Records how far each model's engines are.
    fn show(&self, before: &EngineTable, table: &EngineTable, manifest: &Manifest) {
        for (model, spec) in &manifest.models {
            let progress = table.progress(model, manifest);
            let states = [
                ("current", progress.current),
                ("behind", progress.behind),
                ("out", progress.out),
            ];
            for (state, count) in states {
                let labels = [
                    KeyValue::new("model", model.to_string()),
                    KeyValue::new("state", state),
                ];
                self.engines.record(count as u64, &labels);
            }
            if before.progress(model, manifest) != progress {
                spdlog::info!("weights progress", kv: {
                    model = model.as_str(),
                    version = spec.version,
                    current = progress.current,
                    behind = progress.behind,
                    out = progress.out,
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

/// Sends an order under the lease.
async fn send(order: &LoadOrder, held: Held) -> Ordered {
    let Some(request) = request(order, held.claim) else {
        return Ordered::Failed;
    };
    let sent = FencedClient::new(held, "weights-connected")
        .send(request)
        .await;
    let (ordered, outcome) = match &sent {
        Ok(answer) if answer.status().is_success() => (Ordered::Taken, "taken".to_owned()),
        Ok(answer) if answer.status() == StatusCode::CONFLICT => {
            (Ordered::Failed, "old fencing number".to_owned())
        }
        Ok(answer) => (Ordered::Failed, answer.status().to_string()),
        Err(error @ (FencedError::Lapsed | FencedError::Address | FencedError::Connect { .. })) => {
            (Ordered::Failed, error.to_string())
        }
        Err(error) => (Ordered::Taken, error.to_string()),
    };
    spdlog::info!("weights ordered", kv: {
        server = order.server.as_str(),
        version = order.version,
        fence = held.claim,
        outcome,
    });
    ordered
}

fn request(order: &LoadOrder, fence: u64) -> Option<Request<Bytes>> {
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
