//! Orders backend servers, under the lease of the servers' role.
//!
//! Each order is written to the log as an intent and read back before it is sent. Intents
//! without an outcome are resolved first, also those of earlier holders.

mod drain;
mod send;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use opentelemetry::metrics::{Counter, Meter};

use crate::edge::{EdgeResult, Log, Servers, Stream};
use crate::http::Client;
use crate::lease::Held;
use crate::log::{Backoff, ConfigLog, OrderFold, Started};
use crate::names::{Pool, ServerId, Zone};
use crate::peer::Peers;
use crate::wire::{BackendServer, ConfigBody, ConfigRecord, Daemon, Role, ServerList};

use super::leases::Leases;
use super::plan::{Action, Inputs, PlanMemory, plan};
use drain::Drains;

/// Time between two rounds.
const ROUND: Duration = Duration::from_millis(500);
/// Time for which a started server may be missing in the list.
const UNLISTED: Duration = Duration::from_secs(30);
/// Time for which no cheap server is ordered where one was lacking.
const LACKING: Duration = Duration::from_secs(60);
/// Time within which a mark must be folded.
const MARK: Duration = Duration::from_secs(3);

/// Time without a round that works after which the role is given up.
const STUCK: Duration = Duration::from_secs(10);
/// Time for which a role that was given up is left to others.
const REST: Duration = Duration::from_secs(20);

/// What one holder knows; it starts anew with each claim.
#[derive(Debug, Default)]
struct Reign {
    claim: u64,
    /// Since when no round has worked.
    stuck: Option<Instant>,
    memory: PlanMemory,
    drains: Drains,
    lacking: BTreeMap<(Pool, Zone), Instant>,
    /// Until when the server of each order counts although it is not listed.
    started: BTreeMap<String, Instant>,
}

/// Orders backend servers for as long as this process holds the role.
#[derive(Debug)]
pub struct Orders {
    pub(super) log: Arc<dyn Log>,
    pub(super) servers: Arc<dyn Servers>,
    pub(super) leases: Arc<Leases>,
    pub(super) config: Arc<ConfigLog>,
    pub(super) peers: Arc<Peers>,
    pub(super) client: Client,
    pub(super) counts: OrderMetrics,
}

/// Instruments of orders.
#[derive(Debug)]
pub(super) struct OrderMetrics {
    orders: Counter<u64>,
    resolved: Counter<u64>,
}

impl OrderMetrics {
    pub(super) fn new(meter: &Meter) -> Self {
        let orders = meter
            .u64_counter("basillead_orders")
            .with_description("Orders for backend servers by outcome.");
        let resolved = meter
            .u64_counter("basillead_orders_resolved")
            .with_description("Intents without an outcome that were resolved, by outcome.");
        Self {
            orders: orders.build(),
            resolved: resolved.build(),
        }
    }
}

impl Orders {
    /// Plans and orders for ever, whenever this process holds the role.
    pub async fn run(self: Arc<Self>) {
        let mut fold = OrderFold::default();
        let mut reign: Option<Reign> = None;
        let mut backoff = Backoff::default();
        loop {
            tokio::time::sleep(ROUND).await;
            let Some(guard) = self.leases.begin(Role::Servers) else {
                reign = None;
                continue;
            };
            let claim = guard.held.claim;
            if reign.as_ref().is_none_or(|reign| reign.claim != claim) {
                reign = Some(Reign {
                    claim,
                    ..Reign::default()
                });
            }
            let Some(reign) = &mut reign else { continue };
            match self.round(reign, &mut fold).await {
                Ok(()) => {
                    reign.stuck = None;
                    backoff.reset();
                }
                Err(error) => {
                    spdlog::warn!("orders held up", kv: { error = error.to_string() });
                    self.check_stuck(reign, Instant::now());
                    drop(guard);
                    backoff.pause().await;
                }
            }
        }
    }

    /// Gives the role up when nothing has worked for a while: others may do better.
    fn check_stuck(&self, reign: &mut Reign, now: Instant) {
        let since = *reign.stuck.get_or_insert(now);
        if now >= since + STUCK {
            reign.stuck = None;
            self.leases.rest(Role::Servers, now + REST);
        }
    }

    /// Resolves open intents, then plans and carries the plan out.
    async fn round(&self, reign: &mut Reign, fold: &mut OrderFold) -> EdgeResult<()> {
        self.catch_up(fold).await?;
        let list = self.servers.list().await?;
        self.resolve(reign, fold, &list).await?;
        let now = Instant::now();
        reign.drains.watch(&self.config.state().leaving, now);
        let drained = self.drained(&reign.drains, &list, now).await;
        for action in self.plan(reign, fold, &list, &drained) {
            if !self.carry_out(reign, fold, action).await? {
                break;
            }
        }
        Ok(())
    }

    /// Reads the order stream to its head.
    async fn catch_up(&self, fold: &mut OrderFold) -> EdgeResult<()> {
        loop {
            let page = self.log.read(Stream::Orders, fold.next(), Duration::ZERO);
            let page = page.await?;
            fold.apply_page(&page);
            if fold.next() >= page.next {
                return Ok(());
            }
        }
    }

    fn plan(
        &self,
        reign: &mut Reign,
        fold: &OrderFold,
        list: &ServerList,
        drained: &BTreeSet<ServerId>,
    ) -> Vec<Action> {
        let now = Instant::now();
        let state = self.config.state();
        let unlisted = reign.unlisted(fold, list, now);
        reign.lacking.retain(|_, until| now < *until);
        let lacking = reign.lacking.keys().cloned().collect();
        let inputs = Inputs {
            manifest: &state.manifest,
            servers: &list.servers,
            unlisted: &unlisted,
            leaving: &state.leaving,
            drained,
            lacking: &lacking,
            demand: &self.demand(&list.servers),
        };
        plan(&inputs, &mut reign.memory, now)
    }

    /// Requests in flight by pool, as the entries' digests tell it.
    fn demand(&self, servers: &[BackendServer]) -> BTreeMap<Pool, u64> {
        let pools: BTreeMap<&str, &str> = servers
            .iter()
            .map(|server| (server.id.as_str(), server.pool.as_str()))
            .collect();
        let mut demand = BTreeMap::new();
        let digests = self.peers.digests();
        let entries = digests.iter().filter(|d| d.digest.daemon == Daemon::Entry);
        for load in entries.flat_map(|entry| &entry.digest.loads) {
            if let Some(pool) = pools.get(load.server.as_str()) {
                *demand.entry(Pool::from(*pool)).or_default() += u64::from(load.inflight);
            }
        }
        demand
    }

    /// The lease, if it is still held under the same claim.
    fn held(&self, claim: u64) -> Option<Held> {
        let held = self.leases.held(Role::Servers);
        held.filter(|held| held.claim == claim)
    }

    /// Marks a server as leaving, or takes the mark away.
    async fn mark(&self, server: &ServerId, leaving: bool) {
        let record = ConfigRecord {
            id: crate::util::random_id(),
            body: ConfigBody::ServerMark {
                leaving,
                server: server.to_string(),
            },
        };
        let verdict = self.config.submit(&record, Instant::now() + MARK).await;
        spdlog::info!("server marked", kv: {
            server = server.to_string(),
            leaving,
            folded = verdict.is_some(),
        });
    }
}

impl Reign {
    /// Started servers that the list does not show yet.
    ///
    /// A list that shows the order but not its server says that the server is gone.
    fn unlisted(&mut self, fold: &OrderFold, list: &ServerList, now: Instant) -> Vec<Started> {
        let servers = list.servers.iter().map(|server| server.id.as_str());
        let servers: BTreeSet<&str> = servers.collect();
        let orders = list.orders.iter().map(|result| result.order.as_str());
        let orders: BTreeSet<&str> = orders.collect();
        let mut unlisted = Vec::new();
        for started in fold.started() {
            let until = self.started.entry(started.order.clone());
            let until = *until.or_insert(now + UNLISTED);
            let is_shown = orders.contains(started.order.as_str())
                || servers.contains(started.server.as_str());
            if now < until && !is_shown {
                unlisted.push(started.clone());
            }
        }
        unlisted
    }
}
