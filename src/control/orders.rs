//! Orders backend servers, under the lease of the servers' role.
//!
//! Each order is written to the log as an intent and read back before it is sent. Intents
//! without an outcome are resolved first, also those of earlier holders.

mod drain;
mod execute;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use opentelemetry::metrics::{Counter, Meter};

use crate::edge::{EdgeResult, Log, Servers, Stream};
use crate::http::Client;
use crate::lease::HeldLease;
use crate::log::{Backoff, ConfigLog, OrderFold, Started};
use crate::names::{Pool, ServerId, Zone};
use crate::peer::Peers;
use crate::wire::{BackendServer, ConfigBody, ConfigRecord, Daemon, Role, ServerList};

use super::leases::Leases;
use super::plan::{Action, Inputs, PlanMemory, plan};
use drain::Drains;

/// Pause before each pass of the reconcile loop.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which a started server counts although it is not listed yet.
const LIST_GRACE: Duration = Duration::from_secs(30);
/// Time for which no cheap server is ordered in a pool and zone after a refusal there.
const CHEAP_COOLDOWN: Duration = Duration::from_secs(60);
/// Timeout for a record that marks a server as leaving, or removes the mark, to be appended to the
/// configuration log and read back.
const MARK_TIMEOUT: Duration = Duration::from_secs(3);

/// Time after which the role is given up if every pass has failed.
const STUCK_AFTER: Duration = Duration::from_secs(10);
/// Time for which this process does not claim a role again that it gave up, so that another
/// process can.
const CLAIM_COOLDOWN: Duration = Duration::from_secs(20);

/// State of the reconcile loop under one claim; each claim starts with a new one.
#[derive(Debug, Default)]
struct Term {
    claim: u64,
    /// Since when every pass has failed.
    failing_since: Option<Instant>,
    memory: PlanMemory,
    drains: Drains,
    /// End of the time without orders for cheap servers, by pool and zone.
    cheap_cooldowns: BTreeMap<(Pool, Zone), Instant>,
    /// End of the time in which a started server counts although not listed, by order id.
    list_deadlines: BTreeMap<String, Instant>,
}

/// Starts and stops backend servers while this process holds the servers' role.
#[derive(Debug)]
pub struct Orders {
    pub(super) log: Arc<dyn Log>,
    pub(super) servers: Arc<dyn Servers>,
    pub(super) leases: Arc<Leases>,
    pub(super) config: Arc<ConfigLog>,
    pub(super) peers: Arc<Peers>,
    pub(super) client: Client,
    pub(super) metrics: OrderMetrics,
}

/// Counters of orders and of resolved intents.
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
    /// Reconciles the servers with the plan whenever the role is held; never returns.
    pub async fn run(self: Arc<Self>) {
        let mut fold = OrderFold::default();
        let mut term: Option<Term> = None;
        let mut backoff = Backoff::default();
        loop {
            tokio::time::sleep(RECONCILE_INTERVAL).await;
            let Some(guard) = self.leases.begin(Role::Servers) else {
                term = None;
                continue;
            };
            let claim = guard.held.claim;
            if term.as_ref().is_none_or(|term| term.claim != claim) {
                term = Some(Term {
                    claim,
                    ..Term::default()
                });
            }
            let Some(term) = &mut term else { continue };
            match self.reconcile(term, &mut fold).await {
                Ok(()) => {
                    term.failing_since = None;
                    backoff.reset();
                }
                Err(error) => {
                    spdlog::warn!("orders held up", kv: { error = error.to_string() });
                    self.check_stuck(term, Instant::now());
                    drop(guard);
                    backoff.pause().await;
                }
            }
        }
    }

    /// Gives up the role if every pass has failed for `STUCK_AFTER`: another process may succeed.
    fn check_stuck(&self, term: &mut Term, now: Instant) {
        let since = *term.failing_since.get_or_insert(now);
        if now >= since + STUCK_AFTER {
            term.failing_since = None;
            self.leases.step_down(Role::Servers, now + CLAIM_COOLDOWN);
        }
    }

    /// Makes one pass: resolves open intents, then plans and executes the plan.
    async fn reconcile(&self, term: &mut Term, fold: &mut OrderFold) -> EdgeResult<()> {
        self.catch_up(fold).await?;
        let list = self.servers.list().await?;
        self.resolve(term, fold, &list).await?;
        let now = Instant::now();
        term.drains.update(&self.config.state().leaving, now);
        let drained = self.drained(&term.drains, &list, now).await;
        for action in self.plan(term, fold, &list, &drained) {
            if !self.execute(term, fold, action).await? {
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
        term: &mut Term,
        fold: &OrderFold,
        list: &ServerList,
        drained: &BTreeSet<ServerId>,
    ) -> Vec<Action> {
        let now = Instant::now();
        let state = self.config.state();
        let unlisted = term.unlisted(fold, list, now);
        term.cheap_cooldowns.retain(|_, until| now < *until);
        let cheap_refused = term.cheap_cooldowns.keys().cloned().collect();
        let inputs = Inputs {
            manifest: &state.manifest,
            servers: &list.servers,
            unlisted: &unlisted,
            leaving: &state.leaving,
            drained,
            cheap_refused: &cheap_refused,
            demand: &self.demand(&list.servers),
        };
        plan(&inputs, &mut term.memory, now)
    }

    /// Requests in flight by pool, from the digests of entries.
    fn demand(&self, servers: &[BackendServer]) -> BTreeMap<Pool, u64> {
        let pools: BTreeMap<&str, &str> = servers
            .iter()
            .map(|server| (server.id.as_str(), server.pool.as_str()))
            .collect();
        let mut demand = BTreeMap::new();
        let digests = self.peers.digests();
        let entries = digests.iter().filter(|d| d.digest.daemon == Daemon::Entry);
        // Entries report only servers with work. A pool without a report counts as idle only
        // if a majority of the instances' entries reports; otherwise its demand is unknown.
        if entries.clone().count() * 2 > self.peers.listed().len() {
            let all = pools.values().map(|pool| (Pool::from(*pool), 0));
            demand.extend(all);
        }
        for load in entries.flat_map(|entry| &entry.digest.loads) {
            if let Some(pool) = pools.get(load.server.as_str()) {
                *demand.entry(Pool::from(*pool)).or_default() += u64::from(load.inflight);
            }
        }
        demand
    }

    /// The lease of the role, if this process still holds it under `claim`.
    fn held(&self, claim: u64) -> Option<HeldLease> {
        let held = self.leases.held(Role::Servers);
        held.filter(|held| held.claim == claim)
    }

    /// Marks a server as leaving, or removes the mark.
    async fn mark(&self, server: &ServerId, leaving: bool) {
        let record = ConfigRecord {
            id: crate::util::random_id(),
            body: ConfigBody::ServerMark {
                leaving,
                server: server.to_string(),
            },
        };
        let verdict = self
            .config
            .submit(&record, Instant::now() + MARK_TIMEOUT)
            .await;
        spdlog::info!("server marked", kv: {
            server = server.to_string(),
            leaving,
            folded = verdict.is_some(),
        });
    }
}

impl Term {
    /// Started servers that are not listed yet.
    ///
    /// If the list names the order but not its server, the server has already ended.
    fn unlisted(&mut self, fold: &OrderFold, list: &ServerList, now: Instant) -> Vec<Started> {
        let servers = list.servers.iter().map(|server| server.id.as_str());
        let servers: BTreeSet<&str> = servers.collect();
        let orders = list.orders.iter().map(|result| result.order.as_str());
        let orders: BTreeSet<&str> = orders.collect();
        let mut unlisted = Vec::new();
        for started in fold.started() {
            let until = self.list_deadlines.entry(started.order.clone());
            let until = *until.or_insert(now + LIST_GRACE);
            let is_reported = orders.contains(started.order.as_str())
                || servers.contains(started.server.as_str());
            if now < until && !is_reported {
                unlisted.push(started.clone());
            }
        }
        unlisted
    }
}
