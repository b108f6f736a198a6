//! The backend servers behind the backend server interface, all in this process.

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

use super::counts::{EngineCounts, Fail};
use super::engine::{Engine, EngineConfig};
use super::faults::{Reclaim, SetCapacity};
use super::loading::Loaded;
use super::serve::Served;
use super::service::{self, ServiceRecord};
use super::weights::WeightStore;

/// Earlier lists that are kept.
const LISTS_KEPT: usize = 100;

/// What the servers of a pool are.
#[derive(Clone, Debug)]
pub enum PoolStandin {
    /// Engines that start with a model at a weight version.
    Engine {
        /// How they behave.
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
struct Member {
    listed: BackendServer,
    engine: Option<Arc<Engine>>,
    /// Keeps the server's port open; none once it crashed.
    _served: Option<Served>,
}

/// All backend servers.
#[derive(Debug)]
pub struct Fleet {
    ip: IpAddr,
    /// The weight store that engines load from.
    pub store: Arc<WeightStore>,
    /// What reached backend servers.
    pub record: Arc<ServiceRecord>,
    pools: BTreeMap<String, PoolStandin>,
    members: Mutex<BTreeMap<String, Member>>,
    results: Mutex<Vec<OrderResult>>,
    orders: Mutex<Vec<Order>>,
    sequence: Mutex<u64>,
    /// Servers that can still be started, where that is limited.
    left: Mutex<BTreeMap<(String, Price), u32>>,
    /// Earlier lists, for a list that lags.
    lists: Mutex<VecDeque<(Instant, ServerList)>>,
    /// Held while an order takes effect.
    turn: tokio::sync::Mutex<()>,
}

impl Fleet {
    /// A fleet with no servers, whose ports open on `ip`.
    #[must_use]
    pub fn new(ip: IpAddr, store: WeightStore, pools: BTreeMap<String, PoolStandin>) -> Arc<Self> {
        Arc::new(Self {
            ip,
            store: Arc::new(store),
            record: Arc::default(),
            pools,
            members: Mutex::default(),
            results: Mutex::default(),
            orders: Mutex::default(),
            sequence: Mutex::new(0),
            left: Mutex::default(),
            lists: Mutex::default(),
            turn: tokio::sync::Mutex::const_new(()),
        })
    }

    /// The address on which ports of servers open.
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
        let (engine, served) = match kind {
            PoolStandin::Engine {
                config,
                model,
                version,
            } => {
                let engine = Engine::new(
                    config,
                    Arc::clone(&self.store),
                    Arc::clone(&self.record),
                    self.crasher(&id),
                );
                engine.set_version(&model, version);
                let served = engine.serve(address).await?;
                (Some(engine), served)
            }
            PoolStandin::Service { work } => {
                let record = Arc::clone(&self.record);
                let served = service::serve(address, id.clone(), record, work).await?;
                (None, served)
            }
        };
        let listed = BackendServer {
            address: served.address.to_string(),
            id: id.clone(),
            notice_ms: None,
            pool: pool.to_owned(),
            price,
            state: ServerState::Running,
            zone: zone.to_owned(),
        };
        let member = Member {
            listed,
            engine,
            _served: Some(served),
        };
        self.members.lock().insert(id.clone(), member);
        self.note_list();
        Ok(id)
    }

    fn next_id(&self, pool: &str) -> String {
        let mut sequence = self.sequence.lock();
        *sequence += 1;
        format!("{pool}-{sequence}")
    }

    /// A channel whose messages crash the server.
    fn crasher(self: &Arc<Self>, id: &str) -> mpsc::UnboundedSender<()> {
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

    /// Breaks a server: its port closes and its connections break.
    pub fn crash(&self, id: &str) {
        self.members.lock().remove(id);
        self.note_list();
    }

    /// Limits the servers that can be started.
    pub fn limit(&self, set: &SetCapacity) {
        let place = (set.zone.clone(), set.price);
        self.left.lock().insert(place, set.left);
    }

    /// Gives the cheap servers of a zone notice, then breaks them.
    pub fn reclaim(self: &Arc<Self>, reclaim: &Reclaim) {
        let mut ids = Vec::new();
        for member in self.members.lock().values_mut() {
            if member.listed.zone == reclaim.zone && member.listed.price == Price::Cheap {
                member.listed.notice_ms = Some(unix_ms() + reclaim.notice_ms);
                ids.push(member.listed.id.clone());
            }
        }
        self.note_list();
        let (fleet, notice) = (Arc::clone(self), Duration::from_millis(reclaim.notice_ms));
        tokio::spawn(async move {
            tokio::time::sleep(notice).await;
            for id in &ids {
                fleet.crash(id);
            }
        });
    }

    /// Takes one of the servers that can still be started.
    fn take_left(&self, zone: &str, price: Price) -> bool {
        let mut left = self.left.lock();
        let Some(left) = left.get_mut(&(zone.to_owned(), price)) else {
            return true;
        };
        let some = *left > 0;
        *left = left.saturating_sub(1);
        some
    }

    fn note_list(&self) {
        let list = self.list_now();
        let mut lists = self.lists.lock();
        lists.push_back((Instant::now(), list));
        if lists.len() > LISTS_KEPT {
            lists.pop_front();
        }
    }

    /// Lists servers and the orders that took effect, as of `lag` ago.
    #[must_use]
    pub fn list(&self, lag: Duration) -> ServerList {
        if lag.is_zero() {
            return self.list_now();
        }
        let lists = self.lists.lock();
        let old = lists.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        let old = old.or(lists.front()).map(|(_, list)| list.clone());
        old.unwrap_or_else(|| self.list_now())
    }

    fn list_now(&self) -> ServerList {
        let members = self.members.lock();
        ServerList {
            orders: self.results.lock().clone(),
            servers: members
                .values()
                .map(|member| member.listed.clone())
                .collect(),
        }
    }

    /// All orders as they came, repeats included.
    #[must_use]
    pub fn orders(&self) -> Vec<Order> {
        self.orders.lock().clone()
    }

    /// What each engine did, by server.
    #[must_use]
    pub fn engine_counts(&self) -> BTreeMap<String, EngineCounts> {
        let members = self.members.lock();
        let engines = members
            .iter()
            .filter_map(|(id, member)| Some((id.clone(), member.engine.as_ref()?.counts())));
        engines.collect()
    }

    /// Makes an engine fail in a way; false when there is no such engine.
    pub fn set_fail(&self, id: &str, fail: Option<Fail>) -> bool {
        let members = self.members.lock();
        let engine = members.get(id).and_then(|member| member.engine.as_ref());
        engine.map(|engine| engine.set_fail(fail)).is_some()
    }

    /// Tokens that all engines now running generated.
    #[must_use]
    pub fn generated(&self) -> u64 {
        let members = self.members.lock();
        let engines = members.values().filter_map(|member| member.engine.as_ref());
        engines.map(|engine| engine.generated()).sum()
    }

    /// Notes that an order arrived.
    pub fn note(&self, order: Order) {
        self.orders.lock().push(order);
    }

    /// What each engine now running holds, by server.
    #[must_use]
    pub fn loaded(&self) -> BTreeMap<String, Loaded> {
        let members = self.members.lock();
        let engine = |(id, member): (&String, &Member)| {
            let engine = member.engine.as_ref()?;
            Some((id.clone(), engine.loaded().clone()))
        };
        members.iter().filter_map(engine).collect()
    }

    /// Carries out an order; a repeated order has the effect of the first.
    pub async fn order(self: &Arc<Self>, order: Order) -> OrderResult {
        let _turn = self.turn.lock().await;
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
            OrderAction::Start { price, zone, .. } if !self.take_left(zone, *price) => None,
            OrderAction::Start { pool, price, zone } => self.start(pool, zone, *price).await.ok(),
            OrderAction::Stop { server } => {
                let removed = self.members.lock().remove(server);
                removed.map(|member| member.listed.id)
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
        self.note_list();
        result
    }
}
