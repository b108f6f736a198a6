//! The simulated platform: all its interfaces in one process.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use gumdrop::Options;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde::de::DeserializeOwned;

use crate::wire::{Appended, Instance, Order, UsageReport};

use super::engine::EngineConfig;
use super::faults::{FaultTable, Interface, SetRetention};
use super::fleet::Fleet;
use super::log::LogStore;
use super::relay::Relays;
use super::serve::{self, Answer, ServerHandle, full_response, json, json_with_etag, query};
use super::spec::ServerSpec;
use super::weights::WeightStore;

/// Serves the platform's interfaces and backend servers.
///
/// Servers are given as POOL:KIND:ZONE:COUNT, where KIND is `engine` or `service`;
/// cheap ones as POOL:KIND:ZONE:COUNT:cheap.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this text")]
    help: bool,
    /// Address to listen on.
    #[options(required, help = "address to listen on, such as 127.0.0.1:9000")]
    pub listen: String,
    /// Servers to start.
    #[options(help = "servers to start, as POOL:KIND:ZONE:COUNT", meta = "SPEC")]
    pub server: Vec<String>,
    /// File with the instance list.
    #[options(help = "JSON file with the instance list")]
    pub instances: Option<String>,
    /// Milliseconds for one token of a request that runs alone.
    #[options(help = "milliseconds for one token of a lone request", default = "2")]
    pub token_ms: u64,
    /// Requests that an engine runs at a time.
    #[options(help = "requests that an engine runs at a time", default = "16")]
    pub slots: u32,
    /// Blocks in an engine's prefix cache.
    #[options(help = "blocks in an engine's prefix cache", default = "4096")]
    pub cache: usize,
    /// Milliseconds that a call of a plain service takes.
    #[options(
        help = "milliseconds that a call of a plain service takes",
        default = "1"
    )]
    pub work_ms: u64,
    /// Whether links between peers pass through relays.
    #[options(help = "pass peers' links through relays, which POST /cut can cut")]
    pub relays: bool,
    /// Milliseconds for one load of weights once it has started.
    #[options(
        help = "milliseconds for one load of weights once it has started",
        default = "200"
    )]
    pub load_ms: u64,
    /// Loads that the weight store serves at a time.
    #[options(help = "loads that the weight store serves at a time", default = "4")]
    pub loads: usize,
    /// Whether engines accept orders with a stale fencing token.
    #[options(help = "engines accept orders with a stale fencing token")]
    pub unfenced: bool,
    /// Model that engines hold when they start.
    #[options(help = "model that engines hold when they start", default = "stroke-1")]
    pub model: String,
}

/// A usage report as it was received.
#[derive(Clone, Debug)]
pub struct ReceivedReport {
    /// The instance that sent it.
    pub instance: String,
    /// The body, byte for byte.
    pub body: String,
}

/// The state of the simulated platform.
#[derive(Debug)]
pub struct Platform {
    /// The log service.
    pub log: LogStore,
    /// The backend servers.
    pub fleet: Arc<Fleet>,
    /// The instance lists, each with the instant at which it became current.
    pub instances: Mutex<Vec<(Instant, Vec<Instance>)>>,
    /// Reports received by the usage interface, in order.
    pub reports: Mutex<Vec<ReceivedReport>>,
    /// Relays between peers, if links pass through them.
    pub relays: Option<Relays>,
    /// The active faults.
    pub faults: FaultTable,
    /// Counts of calls by interface, path and calling instance.
    pub calls: Mutex<BTreeMap<String, u64>>,
}

impl Platform {
    /// Creates a platform with this fleet and instance list.
    #[must_use]
    pub fn new(fleet: Arc<Fleet>, instances: Vec<Instance>, relays: Option<Relays>) -> Arc<Self> {
        Arc::new(Self {
            log: LogStore::default(),
            fleet,
            instances: Mutex::new(vec![(Instant::now(), instances)]),
            relays,
            reports: Mutex::default(),
            faults: FaultTable::default(),
            calls: Mutex::default(),
        })
    }

    /// Serves the interfaces.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn serve(self: &Arc<Self>, address: SocketAddr) -> io::Result<ServerHandle> {
        let platform = Arc::clone(self);
        serve::serve(address, move |request| {
            Arc::clone(&platform).answer(request)
        })
        .await
    }

    /// Answers a call. A path that starts with `/from/NAME` names the calling instance.
    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        let (head, body) = request.into_parts();
        let path = head.uri.path().to_owned();
        let (instance, path) = match path.strip_prefix("/from/") {
            Some(rest) => {
                let (name, rest) = rest.split_once('/').unwrap_or((rest, ""));
                (Some(name), rest)
            }
            None => (None, path.trim_start_matches('/')),
        };
        let body = serve::read(body).await?;
        let body = String::from_utf8_lossy(&body).into_owned();
        let (page, rest) = path.split_once('/').unwrap_or((path, ""));
        let key = format!("{page}/{rest}/{}", instance.unwrap_or_default());
        *self.calls.lock().entry(key).or_default() += 1;
        let call = Call {
            instance,
            post: head.method == Method::POST,
            uri: &head.uri,
            if_none_match: head.headers.get(header::IF_NONE_MATCH),
            rest,
            body,
        };
        match page {
            "log" => self.log_call(call).await,
            "instances" => self.instances_call(call).await,
            "servers" => self.servers_call(call).await,
            "usage" => self.usage_call(call).await,
            "cut" => Ok(self.cut_call(&call)),
            "fault" => Ok(set(&call, |set| self.faults.set(set))),
            "retain" => Ok(set(&call, |set: SetRetention| {
                self.log.retain(&set.stream, set.keep);
            })),
            "capacity" => Ok(set(&call, |set| self.fleet.set_capacity(&set))),
            "reclaim" => Ok(set(&call, |reclaim| self.fleet.reclaim(&reclaim))),
            "crash" => {
                self.fleet.crash(rest);
                Ok(json(&()))
            }
            "seen" => Ok(json(&self.fleet.record.seen())),
            "runs" => Ok(json(&self.fleet.record.runs())),
            "engines" => Ok(json(&self.fleet.engine_counts())),
            "engine" => Ok(self.engine_call(&call)),
            "loads" => Ok(set(&call, |next| self.fleet.store.set_outcomes(next))),
            "crossed" => {
                self.fleet.store.mismatch_next(rest.parse().unwrap_or(1));
                Ok(json(&()))
            }
            "loaded" => Ok(json(&self.fleet.loaded())),
            "generated" => Ok(json(&self.fleet.generated())),
            "reporters" => {
                let reports = self.reports.lock();
                let names: Vec<&str> = reports.iter().map(|report| &*report.instance).collect();
                Ok(json(&names))
            }
            "orders" => Ok(json(&self.fleet.orders())),
            "calls" => Ok(json(&*self.calls.lock())),
            _ => Ok(full_response(StatusCode::NOT_FOUND, "no such page")),
        }
    }

    /// The instance list as it was `lag` ago.
    fn listed(&self, lag: Duration) -> Vec<Instance> {
        let lists = self.instances.lock();
        let old = lists.iter().rev().find(|(since, _)| since.elapsed() >= lag);
        let (_, list) = old.unwrap_or(&lists[0]);
        list.clone()
    }

    /// Sets an engine's injected failure from the body, or clears it.
    fn engine_call(&self, call: &Call<'_>) -> Response<serve::Body> {
        match serde_json::from_str(&call.body) {
            Ok(failure) if self.fleet.set_failure(call.rest, failure) => json(&()),
            Ok(_) => full_response(StatusCode::NOT_FOUND, "no such engine"),
            Err(error) => full_response(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }

    fn cut_call(&self, call: &Call<'_>) -> Response<serve::Body> {
        match &self.relays {
            Some(relays) => set(call, |directions| relays.cut(directions)),
            None => full_response(StatusCode::BAD_REQUEST, "started without --relays"),
        }
    }

    /// Appends a record to the log, or reads a page of it.
    async fn log_call(self: Arc<Self>, call: Call<'_>) -> Answer {
        let faults = self.faults.before(Interface::Log, call.instance).await?;
        if !call.post {
            let number = |name| query(call.uri, name).and_then(|text| text.parse().ok());
            let from = number("from").unwrap_or(0);
            let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
            let page = self.log.read(call.rest, from, wait).await;
            // An outage that began during the long poll also fails this call.
            self.faults.before(Interface::Log, call.instance).await?;
            return Ok(json(&page));
        }
        if faults.late_ms > 0 {
            let (platform, stream) = (Arc::clone(&self), call.rest.to_owned());
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(faults.late_ms)).await;
                platform.log.append(&stream, call.body);
            });
            return Err(io::Error::other("the append is late"));
        }
        let offset = self.log.append(call.rest, call.body);
        self.faults.after(Interface::Log, call.instance)?;
        Ok(json(&Appended { offset }))
    }

    async fn instances_call(&self, call: Call<'_>) -> Answer {
        let faults = self
            .faults
            .before(Interface::Instances, call.instance)
            .await?;
        if call.post {
            match serde_json::from_str(&call.body) {
                Ok(list) => self.instances.lock().push((Instant::now(), list)),
                Err(error) => return Ok(full_response(StatusCode::BAD_REQUEST, error.to_string())),
            }
        }
        let list = self.listed(Duration::from_millis(faults.lag_ms));
        match (&self.relays, call.instance) {
            (Some(relays), Some(instance)) => {
                let seen = relays.rewrite(instance, &list, self.fleet.ip()).await?;
                Ok(json_with_etag(&seen, call.if_none_match))
            }
            _ => Ok(json_with_etag(&list, call.if_none_match)),
        }
    }

    async fn servers_call(&self, call: Call<'_>) -> Answer {
        let order = serde_json::from_str::<Order>(&call.body);
        let is_down = self.faults.get(Interface::Servers, call.instance).down;
        if let Ok(order) = &order
            && !is_down
        {
            // Recorded on arrival, before any injected delay.
            self.fleet.record_order(order.clone());
        }
        let faults = self.faults.before(Interface::Servers, call.instance);
        let faults = faults.await?;
        if !call.post {
            let lag = Duration::from_millis(faults.lag_ms);
            return Ok(json_with_etag(&self.fleet.list(lag), call.if_none_match));
        }
        match order {
            Ok(order) => {
                let result = self.fleet.order(order).await;
                self.faults.after(Interface::Servers, call.instance)?;
                Ok(json(&result))
            }
            Err(error) => Ok(full_response(StatusCode::BAD_REQUEST, error.to_string())),
        }
    }

    async fn usage_call(&self, call: Call<'_>) -> Answer {
        self.faults.before(Interface::Usage, call.instance).await?;
        if !call.post {
            let reports = self.reports.lock();
            let bodies: Vec<&str> = reports.iter().map(|report| &*report.body).collect();
            let list = format!("[{}]", bodies.join(","));
            return Ok(full_response(StatusCode::OK, list));
        }
        match serde_json::from_str::<UsageReport>(&call.body) {
            Ok(_) => {
                let instance = call.instance.unwrap_or_default().to_owned();
                let body = call.body;
                self.reports.lock().push(ReceivedReport { instance, body });
                self.faults.after(Interface::Usage, call.instance)?;
                Ok(json(&()))
            }
            Err(error) => Ok(full_response(StatusCode::BAD_REQUEST, error.to_string())),
        }
    }
}

/// One call of an interface.
struct Call<'a> {
    instance: Option<&'a str>,
    post: bool,
    uri: &'a http::Uri,
    /// The `If-None-Match` header.
    if_none_match: Option<&'a HeaderValue>,
    /// The path after the interface's name.
    rest: &'a str,
    body: String,
}

/// Parses a setting from a call's body and applies it.
fn set<T: DeserializeOwned>(call: &Call<'_>, apply: impl FnOnce(T)) -> Response<serve::Body> {
    match serde_json::from_str(&call.body) {
        Ok(setting) => {
            apply(setting);
            json(&())
        }
        Err(error) => full_response(StatusCode::BAD_REQUEST, error.to_string()),
    }
}

/// Serves until the process is told to stop.
///
/// # Errors
/// A malformed argument, or an address that cannot be bound.
pub fn run(args: &Args) -> io::Result<()> {
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(run_platform(args))
}

async fn run_platform(args: &Args) -> io::Result<()> {
    let listen: SocketAddr = args.listen.parse().map_err(io::Error::other)?;
    let mut specs = Vec::new();
    for text in &args.server {
        specs.push(ServerSpec::parse(text)?);
    }
    let engine = EngineConfig {
        token_time: Duration::from_millis(args.token_ms),
        slots: args.slots,
        cache_blocks: args.cache,
        fenced: !args.unfenced,
        ..EngineConfig::default()
    };
    let mut pools = BTreeMap::new();
    for spec in &specs {
        pools.insert(spec.pool.clone(), spec.pool_kind(engine, args));
    }
    let store = WeightStore::new(Duration::from_millis(args.load_ms), args.loads);
    let fleet = Fleet::new(listen.ip(), store, pools);
    for spec in &specs {
        for _ in 0..spec.count {
            fleet.start(&spec.pool, &spec.zone, spec.price).await?;
        }
    }
    let instances = match &args.instances {
        Some(path) => serde_json::from_str(&std::fs::read_to_string(path)?)?,
        None => Vec::new(),
    };
    let relays = args.relays.then(Relays::default);
    let platform = Platform::new(fleet, instances, relays);
    let _handle = platform.serve(listen).await?;
    crate::util::stop_signal().await
}
