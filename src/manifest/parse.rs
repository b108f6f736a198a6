//! Parses a manifest's fields from TOML and checks them against one another.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use super::{
    ChoicePolicy, EjectionPolicy, Limits, Manifest, ModelSpec, Objective, PoisonPolicy, Policy,
    PoolKind, PoolSpec, QueuePolicy, RefusalPolicy, RetryPolicy, RoundPolicy, RouteSpec,
    TenantSpec, WeightLimits,
};
use crate::checked::Table;
use crate::names::{Model, Pool, Tenant};

const ANY_U64: RangeInclusive<u64> = 0..=u64::MAX;
const BODY_BYTES: RangeInclusive<u64> = 1..=(64 << 20);
const HEADER_BYTES: RangeInclusive<u64> = 256..=(60 << 10);
const TIMEOUT_MS: RangeInclusive<u64> = 1..=3_600_000;
const QUEUED_REQUESTS: RangeInclusive<u64> = 0..=100_000;
const PPM: RangeInclusive<u64> = 1..=1_000_000;
const BURN_RANGE_S: RangeInclusive<u64> = 1..=86_400;
const WINDOW_S: RangeInclusive<u64> = 1..=86_400;
const WEIGHT: RangeInclusive<u64> = 1..=1_000;
const PERCENT: RangeInclusive<u64> = 0..=100;
const SERVERS: RangeInclusive<u64> = 0..=10_000;
const CONCURRENT_LOADS: RangeInclusive<u64> = 1..=10_000;
const SLOTS: RangeInclusive<u64> = 1..=10_000;

/// Default timeout of a route's calls.
const DEFAULT_ROUTE_TIMEOUT_MS: u64 = 5_000;
/// Default time for which the response to a call with an idempotency key is kept.
const DEFAULT_ROUTE_KEEP_MS: u64 = 600_000;
/// Default length of a usage window.
const DEFAULT_WINDOW_S: u64 = 60;
/// Default number of concurrent requests of one server.
const DEFAULT_SLOTS: u64 = 16;

pub(super) fn manifest(root: &Table<'_>) -> Manifest {
    let pools = pools(root);
    let models = models(root, &pools);
    let routes = routes(root, &pools);
    let usage = root.table_opt("usage");
    let window = |t: &Table<'_>| t.number_or("window_s", DEFAULT_WINDOW_S, &WINDOW_S);
    Manifest {
        base: root.number("base", &ANY_U64),
        limits: limits(root),
        policy: policy(root),
        weights: weights(root),
        window: usage.as_ref().map_or(DEFAULT_WINDOW_S, window),
        objective: objective(root),
        tenants: tenants(root),
        pools,
        models,
        routes,
    }
}

/// Converts to `usize`, saturating.
fn to_usize(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}

fn limits(root: &Table<'_>) -> Limits {
    let defaults = Limits::default();
    let Some(table) = root.table_opt("limits") else {
        return defaults;
    };
    let bytes = |key, default: usize, range| to_usize(table.number_or(key, default as u64, range));
    Limits {
        body: bytes("body_bytes", defaults.body, &BODY_BYTES),
        headers: bytes("header_bytes", defaults.headers, &HEADER_BYTES),
        upload: table.number_or("upload_ms", defaults.upload, &TIMEOUT_MS),
        request: table.number_or("request_ms", defaults.request, &TIMEOUT_MS),
        idle: table.number_or("idle_ms", defaults.idle, &TIMEOUT_MS),
        queue: bytes("queue", defaults.queue, &QUEUED_REQUESTS),
        address: table.number_or("address_ms", defaults.address, &TIMEOUT_MS),
    }
}

fn objective(root: &Table<'_>) -> Objective {
    let defaults = Objective::default();
    let Some(table) = root.table_opt("objective") else {
        return defaults;
    };
    let objective = Objective {
        bad: table.number_or("bad_ppm", defaults.bad, &PPM),
        first: table.number_or("first_ms", defaults.first, &TIMEOUT_MS),
        short: table.number_or("short_s", defaults.short, &BURN_RANGE_S),
        long: table.number_or("long_s", defaults.long, &BURN_RANGE_S),
    };
    if objective.long < objective.short {
        let short = objective.short;
        table.report("long_s", &format!("expected at least short_s = {short}"));
    }
    objective
}

fn policy(root: &Table<'_>) -> Policy {
    let Some(table) = root.table_opt("policy") else {
        return Policy::default();
    };
    let choices = [
        ("affinity", ChoicePolicy::Affinity),
        ("least", ChoicePolicy::Least),
        ("round-robin", ChoicePolicy::RoundRobin),
    ];
    let queues = [("fair", QueuePolicy::Fair), ("fifo", QueuePolicy::Fifo)];
    let rounds = [
        ("stragglers", RoundPolicy::Stragglers),
        ("ordered", RoundPolicy::Ordered),
    ];
    let refusals = [
        ("early", RefusalPolicy::Early),
        ("late", RefusalPolicy::Late),
    ];
    let retries = [
        ("budget", RetryPolicy::Budget),
        ("unlimited", RetryPolicy::Unlimited),
    ];
    let ejections = [
        ("slow", EjectionPolicy::Slow),
        ("never", EjectionPolicy::Never),
    ];
    let poisons = [
        ("contain", PoisonPolicy::Contain),
        ("ignore", PoisonPolicy::Ignore),
    ];
    Policy {
        rounds: table.choice_or("rounds", RoundPolicy::default(), &rounds),
        choice: table.choice_or("choice", ChoicePolicy::default(), &choices),
        queue: table.choice_or("queue", QueuePolicy::default(), &queues),
        refusal: table.choice_or("refusal", RefusalPolicy::default(), &refusals),
        retries: table.choice_or("retries", RetryPolicy::default(), &retries),
        ejection: table.choice_or("ejection", EjectionPolicy::default(), &ejections),
        poison: table.choice_or("poison", PoisonPolicy::default(), &poisons),
        subset: to_usize(table.number_or("subset", 0, &SERVERS)),
    }
}

fn weights(root: &Table<'_>) -> WeightLimits {
    let defaults = WeightLimits::default();
    let Some(table) = root.table_opt("weights") else {
        return defaults;
    };
    WeightLimits {
        loads: to_usize(table.number_or("loads", defaults.loads as u64, &CONCURRENT_LOADS)),
        keep: table.number_or("keep_percent", defaults.keep, &PERCENT),
    }
}

/// Inserts an item under its name and reports a duplicate name.
fn insert<K: Ord + std::fmt::Display, V>(
    map: &mut BTreeMap<K, V>,
    table: &Table<'_>,
    name: K,
    item: V,
) {
    if map.contains_key(&name) {
        table.report("name", &format!("{name} stands twice"));
    }
    map.insert(name, item);
}

fn tenants(root: &Table<'_>) -> BTreeMap<Tenant, TenantSpec> {
    let mut tenants = BTreeMap::new();
    for table in root.tables("tenants") {
        let spec = TenantSpec {
            weight: table.number_or("weight", 1, &WEIGHT),
            rate: table.number_or("tokens_s", 0, &ANY_U64),
        };
        insert(&mut tenants, &table, table.text("name").into(), spec);
    }
    tenants
}

fn pools(root: &Table<'_>) -> BTreeMap<Pool, PoolSpec> {
    let mut pools = BTreeMap::new();
    let kinds = [("engine", PoolKind::Engine), ("service", PoolKind::Service)];
    for table in root.tables("pools") {
        let spec = PoolSpec {
            kind: table.choice_or("kind", PoolKind::Engine, &kinds),
            fenced: table.flag_or("checks_fence", false),
            zones: table.texts("zones").into_iter().map(Into::into).collect(),
            min: table.number_or("min", 0, &SERVERS),
            max: table.number_or("max", 0, &SERVERS),
            cheap: table.number_or("cheap_percent", 0, &PERCENT),
            slots: table.number_or("slots", DEFAULT_SLOTS, &SLOTS),
        };
        if spec.min > spec.max {
            table.report("max", &format!("expected at least min = {}", spec.min));
        }
        if spec.max > 0 && spec.zones.is_empty() {
            table.report("zones", "expected at least one availability zone");
        }
        insert(&mut pools, &table, table.text("name").into(), spec);
    }
    pools
}

/// Reads a pool name and checks that the pool exists and is of `kind`.
fn pool_ref(table: &Table<'_>, pools: &BTreeMap<Pool, PoolSpec>, kind: PoolKind) -> Pool {
    let pool = Pool::from(table.text("pool"));
    match pools.get(&pool) {
        _ if pool.as_str().is_empty() => {}
        None => table.report("pool", &format!("no pool is named {pool}")),
        Some(spec) if spec.kind != kind => {
            table.report("pool", &format!("pool {pool} is of the other kind"));
        }
        Some(_) => {}
    }
    pool
}

fn models(root: &Table<'_>, pools: &BTreeMap<Pool, PoolSpec>) -> BTreeMap<Model, ModelSpec> {
    let mut models = BTreeMap::new();
    for table in root.tables("models") {
        let spec = ModelSpec {
            pool: pool_ref(&table, pools, PoolKind::Engine),
            version: table.number("version", &ANY_U64),
        };
        insert(&mut models, &table, table.text("name").into(), spec);
    }
    models
}

fn routes(root: &Table<'_>, pools: &BTreeMap<Pool, PoolSpec>) -> Vec<RouteSpec> {
    let mut routes: Vec<RouteSpec> = Vec::new();
    for table in root.tables("routes") {
        let path = table.text("path");
        if !path.starts_with('/') || path.ends_with('/') {
            table.report("path", "expected a path such as /orders");
        }
        let reserved = ["/v1", "/internal", "/healthz", "/metrics"];
        if reserved.iter().any(|word| path.starts_with(word)) {
            table.report("path", "this path is basillead's own");
        }
        if routes.iter().any(|route| route.path == path) {
            table.report("path", &format!("{path} stands twice"));
        }
        routes.push(RouteSpec {
            path,
            pool: pool_ref(&table, pools, PoolKind::Service),
            open: table.flag_or("open", false),
            repeatable: table.flag_or("repeatable", false),
            timeout: table.number_or("timeout_ms", DEFAULT_ROUTE_TIMEOUT_MS, &TIMEOUT_MS),
            keep: table.number_or("keep_ms", DEFAULT_ROUTE_KEEP_MS, &TIMEOUT_MS),
        });
    }
    routes.sort_by_key(|route| std::cmp::Reverse(route.path.len()));
    routes
}
