//! Simulated backend servers, all in this process.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use tokio::sync::mpsc;

use crate::util::unix_ms;
use crate::wire::{
    BackendServer, Order, OrderAction, OrderOutcome, OrderResult, Price, ServerList, ServerState,
};

use super::counts::{EngineCounts, InjectedFailure};
use super::engine::{Engine, EngineConfig};
use super::faults::{Reclaim, SetCapacity};
use super::loading::Loaded;
use super::serve::ServerHandle;
use super::service::{self, ServiceRecord};
use super::weights::WeightStore;

/// Most server lists kept to simulate lag.
const HISTORY_MAX: usize = 100;

/// The kind of a pool's servers, with their settings.
#[derive(Clone, Debug)]
pub enum PoolKind {
    /// Engines that hold a model at a weight version when they start.
    Engine {
        /// Capacity and timing of the engines.
        config: EngineConfig,
        /// The model that they hold when they start.
        model: String,
        /// Its weight version.
        version: u64,
    },
    /// Plain services.
    Service {
        /// Time that each call takes.
        work: Duration,
    },
}

#[derive(Debug)]
struct FleetServer {
    /// The server's entry in the server list.
    listed: BackendServer,
    engine: Option<Arc<Engine>>,
    /// Keeps the server's port open while the server is in the fleet.
    _handle: Option<ServerHandle>,
}

/// All backend servers.
#[derive(Debug)]
pub struct Fleet {
    ip: IpAddr,
    /// The weight store that engines load from.
    pub store: Arc<WeightStore>,
    /// Requests received by backend servers.
    pub record: Arc<ServiceRecord>,
    pools: BTreeMap<String, PoolKind>,
    servers: Mutex<BTreeMap<String, FleetServer>>,
    results: Mutex<Vec<OrderResult>>,
    orders: Mutex<Vec<Order>>,
    sequence: Mutex<u64>,
    /// Number of servers that can still be started, by zone and price; unlimited without an entry.
    capacity: Mutex<BTreeMap<(String, Price), u32>>,
    /// Server lists with the instant at which each became current.
    history: Mutex<VecDeque<(Instant, ServerList)>>,
    /// Held while an order takes effect, so that orders are applied one at a time.
    order_lock: tokio::sync::Mutex<()>,
}

impl Fleet {
    /// Creates an empty fleet whose servers listen on `ip`.
    #[must_use]
    pub fn new(ip: IpAddr, store: WeightStore, pools: BTreeMap<String, PoolKind>) -> Arc<Self> {
        Arc::new(Self {
            ip,
            store: Arc::new(store),
            record: Arc::default(),
            pools,
            servers: Mutex::default(),
            results: Mutex::default(),
            orders: Mutex::default(),
            sequence: Mutex::new(0),
            capacity: Mutex::default(),
            history: Mutex::default(),
            order_lock: tokio::sync::Mutex::const_new(()),
        })
    }

    /// The IP address that servers listen on.
    #[must_use]
    pub fn ip(&self) -> IpAddr {
        self.ip
    }

    /// Starts one server and returns its id.
    ///
    /// # Errors
    /// The pool is unknown or no port is free.
    pub async fn start(
        self: &Arc<Self>,
        pool: &str,
        zone: &str,
        price: Price,
    ) -> io::Result<String> {
        let Some(kind) = self.pools.get(pool).cloned() else {
            return Err(io::Error::other(format!("no pool is named {pool}")));
        };
        let id = self.next_id(pool);
        let address = SocketAddr::new(self.ip, 0);
        let (engine, handle) = match kind {
            PoolKind::Engine {
                config,
                model,
                version,
            } => {
                let engine = Engine::new(
                    config,
                    Arc::clone(&self.store),
                    Arc::clone(&self.record),
                    self.crash_sender(&id),
                );
                engine.set_version(&model, version);
                let handle = engine.serve(address).await?;
                (Some(engine), handle)
            }
            PoolKind::Service { work } => {
                let record = Arc::clone(&self.record);
                let handle = service::serve(address, id.clone(), record, work).await?;
                (None, handle)
            }
        };
        let listed = BackendServer {
            address: handle.address.to_string(),
            id: id.clone(),
            notice_ms: None,
            pool: pool.to_owned(),
            price,
            state: ServerState::Running,
            zone: zone.to_owned(),
        };
        let server = FleetServer {
            listed,
            engine,
            _handle: Some(handle),
        };
        self.servers.lock().insert(id.clone(), server);
        self.record_list();
        Ok(id)
    }

    fn next_id(&self, pool: &str) -> String {
        let mut sequence = self.sequence.lock();
        *sequence += 1;
        format!("{pool}-{sequence}")
    }

    /// Returns a channel on which a message crashes the server.
    fn crash_sender(self: &Arc<Self>, id: &str) -> mpsc::UnboundedSender<()> {
        let (sender, mut receiver) = mpsc::unbounded_channel();
        let (fleet, id) = (Arc::downgrade(self), id.to_owned());
        tokio::spawn(async move {
            while receiver.recv().await.is_some() {
                if let Some(fleet) = fleet.upgrade() {
                    fleet.crash(&id);
                }
            }
        });
        sender
    }

    /// Crashes a server: its port closes and its connections break.
    pub fn crash(&self, id: &str) {
        self.servers.lock().remove(id);
        self.record_list();
    }

    /// Limits how many servers can still be started.
    pub fn set_capacity(&self, set: &SetCapacity) {
        let key = (set.zone.clone(), set.price);
        self.capacity.lock().insert(key, set.left);
    }

    /// Gives the cheap servers of a zone notice, and crashes them when the notice expires.
    pub fn reclaim(self: &Arc<Self>, reclaim: &Reclaim) {
        let mut ids = Vec::new();
        for server in self.servers.lock().values_mut() {
            if server.listed.zone == reclaim.zone && server.listed.price == Price::Cheap {
                server.listed.notice_ms = Some(unix_ms() + reclaim.notice_ms);
                ids.push(server.listed.id.clone());
            }
        }
        self.record_list();
        let (fleet, notice) = (Arc::clone(self), Duration::from_millis(reclaim.notice_ms));
        tokio::spawn(async move {
            tokio::time::sleep(notice).await;
            for id in &ids {
                fleet.crash(id);
            }
        });
    }

    /// Takes one server from the remaining capacity; returns false if none is left.
    fn take_capacity(&self, zone: &str, price: Price) -> bool {
        let mut capacity = self.capacity.lock();
        let Some(left) = capacity.get_mut(&(zone.to_owned(), price)) else {
            return true;
        };
        let has_left = *left > 0;
        *left = left.saturating_sub(1);
        has_left
    }

    fn record_list(&self) {
        let list = self.current_list();
        let mut history = self.history.lock();
        history.push_back((Instant::now(), list));
        if history.len() > HISTORY_MAX {
            history.pop_front();
        }
    }

    /// Lists servers and the results of orders, as of `lag` ago.
    #[must_use]
    pub fn list(&self, lag: Duration) -> ServerList {
        if lag.is_zero() {
            return self.current_list();
        }
        let history = self.history.lock();
        let old = history.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        let old = old.or(history.front()).map(|(_, list)| list.clone());
        old.unwrap_or_else(|| self.current_list())
    }

    fn current_list(&self) -> ServerList {
        let servers = self.servers.lock();
        ServerList {
            orders: self.results.lock().clone(),
            servers: servers
                .values()
                .map(|server| server.listed.clone())
                .collect(),
        }
    }

    /// All orders in order of arrival, repeats included.
    #[must_use]
    pub fn orders(&self) -> Vec<Order> {
        self.orders.lock().clone()
    }

    /// The counters of each engine, by server.
    #[must_use]
    pub fn engine_counts(&self) -> BTreeMap<String, EngineCounts> {
        let servers = self.servers.lock();
        let engines = servers
            .iter()
            .filter_map(|(id, server)| Some((id.clone(), server.engine.as_ref()?.counts())));
        engines.collect()
    }

    /// Sets an engine's injected failure; returns false when there is no such engine.
    pub fn set_failure(&self, id: &str, failure: Option<InjectedFailure>) -> bool {
        let servers = self.servers.lock();
        let engine = servers.get(id).and_then(|server| server.engine.as_ref());
        engine.map(|engine| engine.set_failure(failure)).is_some()
    }

    /// Tokens generated by the engines now running.
    #[must_use]
    pub fn generated(&self) -> u64 {
        let servers = self.servers.lock();
        let engines = servers.values().filter_map(|server| server.engine.as_ref());
        engines.map(|engine| engine.generated()).sum()
    }

    /// Records that an order arrived.
    pub fn record_order(&self, order: Order) {
        self.orders.lock().push(order);
    }

    /// The weights of each engine now running, by server.
    #[must_use]
    pub fn loaded(&self) -> BTreeMap<String, Loaded> {
        let servers = self.servers.lock();
        let engine = |(id, server): (&String, &FleetServer)| {
            let engine = server.engine.as_ref()?;
            Some((id.clone(), engine.loaded().clone()))
        };
        servers.iter().filter_map(engine).collect()
    }

    /// Carries out an order; a repeated order returns the first result (idempotent).
    pub async fn order(self: &Arc<Self>, order: Order) -> OrderResult {
        let _guard = self.order_lock.lock().await;
        let known = {
            let results = self.results.lock();
            results
                .iter()
                .find(|result| result.order == order.id)
                .cloned()
        };
        if let Some(known) = known {
            return known;
        }
        let server = match &order.action {
            OrderAction::Start { price, zone, .. } if !self.take_capacity(zone, *price) => None,
            OrderAction::Start { pool, price, zone } => self.start(pool, zone, *price).await.ok(),
            OrderAction::Stop { server } => {
                let removed = self.servers.lock().remove(server);
                removed.map(|server| server.listed.id)
            }
        };
        let outcome = match server {
            Some(_) => OrderOutcome::Applied,
            None => OrderOutcome::Refused,
        };
        let result = OrderResult {
            order: order.id,
            outcome,
            server,
        };
        self.results.lock().push(result.clone());
        self.record_list();
        result
    }
}
