//! Orders for backend servers under faults at every step.

use std::collections::BTreeSet;
use std::time::Duration;

use basillead::log::OrderFold;
use basillead::wire::{LogPage, Order, OrderOutcome, Price, ServerList, Status};
use http::Method;
use serde_json::json;

use crate::lease::wait_held;
use crate::workdir::{OPERATOR_KEY, Process, Workdir, wait_until, wait_within};

/// Time within which a reclaimed server must be replaced.
const REPLACED_WITHIN: Duration = Duration::from_secs(5);
/// Pause of the holder at a step, long enough for the fault to occur meanwhile.
const PAUSE_MS: u64 = 3_000;
/// Failpoints in the order in which an order passes them.
const STEPS: [&str; 6] = [
    "order-before-intent",
    "order-after-intent",
    "order-before-send",
    "order-connected",
    "order-after-send",
    "order-before-outcome",
];
/// Platform flags for pool `p` without servers.
const POOL_ARGS: [&str; 2] = ["--server", "p:engine:z0:0"];

/// What happens to the holder at a step.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The holder is killed.
    Kill,
    /// The holder is killed, and the interface loses the answers to orders that took effect.
    KillLossy,
    /// The holder is stopped until a successor has acted, then continues.
    Freeze,
    /// The holder is cut off from the log until a successor has acted.
    CutOff,
    /// The holder is cut off from the backend server interface until a successor has acted.
    NoServers,
}

const FAULTS: [Fault; 5] = [
    Fault::Kill,
    Fault::KillLossy,
    Fault::Freeze,
    Fault::CutOff,
    Fault::NoServers,
];

impl Fault {
    fn inject(self, dir: &Workdir, holder: &mut Process) {
        match self {
            Self::Kill => holder.0.kill().expect("the holder can be killed"),
            Self::KillLossy => {
                let lossy = json!({"interface": "servers", "faults": {"lose_answers": 2}});
                dir.platform_post("fault", &lossy);
                holder.0.kill().expect("the holder can be killed");
            }
            Self::Freeze => holder.signal("STOP"),
            Self::CutOff => cut_off(dir, "log", true),
            Self::NoServers => cut_off(dir, "servers", true),
        }
    }

    /// Ends the fault; returns whether the former holder is still alive.
    fn clear(self, dir: &Workdir, holder: &Process) -> bool {
        match self {
            Self::Kill | Self::KillLossy => return false,
            Self::Freeze => holder.signal("CONT"),
            Self::CutOff => cut_off(dir, "log", false),
            Self::NoServers => cut_off(dir, "servers", false),
        }
        true
    }
}

/// Cuts instance 0 off from an interface, or lets it reach the interface again.
fn cut_off(dir: &Workdir, interface: &str, down: bool) {
    let cut = json!({"interface": interface, "instance": "i0", "faults": {"down": down}});
    dir.platform_post("fault", &cut);
}

fn manifest(min: u64, max: u64, cheap: u64) -> String {
    format!(
        r#"
base = BASE
[limits]
request_ms = 20000
[[tenants]]
name = "desk"
[[pools]]
name = "p"
kind = "engine"
zones = ["z0", "z1"]
min = {min}
max = {max}
cheap_percent = {cheap}
[[models]]
name = "stroke-1"
pool = "p"
version = 1
"#
    )
}

/// Appends a manifest to the log and waits until it is in force.
fn publish(dir: &Workdir, text: &str) {
    let base = dir.revision();
    let text = text.replace("BASE", &base.to_string());
    let body = json!({"kind": "manifest", "base": base, "text": text});
    let record = json!({"id": format!("m{base}"), "body": body});
    dir.platform_post("log/config", &record);
    wait_until("the manifest is in force", || dir.revision() > base);
}

fn servers(dir: &Workdir) -> ServerList {
    dir.platform_get("servers")
}

fn server_count(dir: &Workdir) -> usize {
    servers(dir).servers.len()
}

/// Checks that orders arrived with rising fencing tokens, each with one effect and an outcome.
fn check_orders(dir: &Workdir, case: &str) {
    let orders: Vec<Order> = dir.platform_get("orders");
    let fences: Vec<u64> = orders.iter().map(|order| order.fence).collect();
    assert!(
        fences.is_sorted(),
        "{case}: fencing tokens are out of order: {fences:?}"
    );
    wait_until("each intent has an outcome", || {
        let mut fold = OrderFold::default();
        fold.apply_page(&dir.platform_get::<LogPage>("log/orders?from=0"));
        fold.open().is_empty()
    });
    let list = servers(dir);
    let ids: BTreeSet<&str> = list.orders.iter().map(|o| o.order.as_str()).collect();
    assert_eq!(
        ids.len(),
        list.orders.len(),
        "{case}: an order had two effects"
    );
    let started = list
        .orders
        .iter()
        .filter(|o| o.outcome == OrderOutcome::Applied);
    let started: BTreeSet<&str> = started.filter_map(|o| o.server.as_deref()).collect();
    assert_eq!(
        started.len(),
        list.servers.len(),
        "{case}: started servers differ from listed ones: {list:?}"
    );
}

fn run_case(step: &str, fault: Fault) {
    let case = format!("{step}-{fault:?}");
    let dir = Workdir::new(&case);
    let _platform = dir.platform(2, 2, &POOL_ARGS);
    let points = format!("{step}=1*return(pause {PAUSE_MS})");
    let mut holder = dir.control_with(0, 2, &[("FAILPOINTS", &points)]);
    wait_held(&dir, 0, "servers");
    let successor = dir.control(1, 2);
    publish(&dir, &manifest(2, 2, 0));
    wait_until(&format!("{case}: the holder reaches the failpoint"), || {
        dir.log("control0").contains("failpoint")
    });
    fault.inject(&dir, &mut holder);
    wait_held(&dir, 1, "servers");
    wait_until(&format!("{case}: two servers"), || server_count(&dir) == 2);
    if fault.clear(&dir, &holder) {
        // Once the former holder has read its successor's records, it must not act on the
        // manifest below.
        wait_until("the former holder follows again", || follows(&dir, 0));
    }
    publish(&dir, &manifest(3, 3, 0));
    wait_until(&format!("{case}: three servers"), || {
        server_count(&dir) == 3
    });
    check_orders(&dir, &case);
    drop::<Process>(successor);
}

/// Whether control daemon `n` has folded the latest revision in the log.
fn follows(dir: &Workdir, n: usize) -> bool {
    let revision = dir.revision();
    let url = format!("{}/operator/status", dir.control_url(n));
    let answer = dir.call(Method::GET, &url, Some(OPERATOR_KEY), &[], "");
    let status = answer.and_then(|a| serde_json::from_slice::<Status>(a.body()).ok());
    status.is_some_and(|status| status.revision == revision)
}

#[test]
fn orders_faults_at_steps() {
    for fault in FAULTS {
        let cases = STEPS.map(|step| std::thread::spawn(move || run_case(step, fault)));
        for case in cases {
            case.join().expect("the case passes");
        }
    }
}

#[test]
fn orders_answers_lost() {
    let dir = Workdir::new("answers-lost");
    let _platform = dir.platform(1, 1, &POOL_ARGS);
    let _control = dir.control(0, 1);
    wait_held(&dir, 0, "servers");
    let lost = json!({"interface": "servers", "faults": {"lose_answers": 2}});
    dir.platform_post("fault", &lost);
    publish(&dir, &manifest(3, 3, 0));
    wait_until("three servers", || server_count(&dir) == 3);
    publish(&dir, &manifest(4, 4, 0));
    wait_until("four servers", || server_count(&dir) == 4);
    check_orders(&dir, "answers lost");
}

#[test]
fn orders_lists_lag() {
    let dir = Workdir::new("lists-lag");
    let _platform = dir.platform(1, 1, &POOL_ARGS);
    let lag = json!({"interface": "servers", "faults": {"lag_ms": 4000}});
    dir.platform_post("fault", &lag);
    let _control = dir.control(0, 1);
    wait_held(&dir, 0, "servers");
    publish(&dir, &manifest(2, 4, 0));
    wait_until("two servers are listed", || server_count(&dir) == 2);
    publish(&dir, &manifest(3, 4, 0));
    wait_until("three servers are listed", || server_count(&dir) == 3);
    let orders: Vec<Order> = dir.platform_get("orders");
    assert_eq!(
        orders.len(),
        3,
        "servers that were ordered but not listed are not ordered again"
    );
}

#[test]
fn orders_reclaim_replaced() {
    let dir = Workdir::new("reclaim");
    let _platform = dir.platform(1, 1, &POOL_ARGS);
    let _control = dir.control(0, 1);
    publish(&dir, &manifest(4, 4, 50));
    wait_until("four servers", || server_count(&dir) == 4);
    let cheap = |list: &ServerList, zone: &str| {
        let cheap = list.servers.iter().filter(|s| s.price == Price::Cheap);
        cheap.filter(|s| s.zone == zone).count()
    };
    let list = servers(&dir);
    assert_eq!((cheap(&list, "z0"), cheap(&list, "z1")), (1, 1));
    let none = json!({"zone": "z0", "price": "cheap", "left": 0});
    dir.platform_post("capacity", &none);
    dir.platform_post("reclaim", &json!({"zone": "z0", "notice_ms": 30_000}));
    wait_within(
        "a regular server replaces the reclaimed one",
        REPLACED_WITHIN,
        || {
            let list = servers(&dir);
            let staying = list.servers.iter().filter(|s| s.notice_ms.is_none());
            staying.count() == 4
        },
    );
    let list = servers(&dir);
    let staying = list.servers.iter().filter(|s| s.notice_ms.is_none());
    assert_eq!(staying.filter(|s| s.zone == "z0").count(), 2);
    assert_eq!(
        cheap(&list, "z0"),
        1,
        "no cheap server but the reclaimed one"
    );
}

#[test]
fn orders_drain_before_stop() {
    let dir = Workdir::new("drain");
    let _platform = dir.platform(1, 1, &["--server", "p:engine:z0:0", "--token-ms", "20"]);
    let _control = dir.control(0, 1);
    let _entry = dir.entry(0, 1);
    publish(&dir, &manifest(1, 1, 0));
    wait_until("one server", || server_count(&dir) == 1);
    let key = dir.grant("desk");
    let url = format!("{}/v1/completions", dir.entry_url(0));
    let body = json!({"model": "stroke-1", "prompt": "a", "max_tokens": 400}).to_string();
    let complete = || {
        let answer = dir.call(Method::POST, &url, Some(&key), &[], &body);
        answer.filter(|answer| answer.status().is_success())
    };
    // One second of generation, so that a short stall hardly changes the entry's estimate of speed.
    let small = body.replace("400", "50");
    wait_until("the key is accepted", || {
        let answer = dir.call(Method::POST, &url, Some(&key), &[], &small);
        answer.is_some_and(|answer| answer.status().is_success())
    });
    // Eight seconds of work on the only server, which then leaves, so none can resume elsewhere.
    let answers = std::thread::scope(|scope| {
        let calls: Vec<_> = (0..4).map(|_| scope.spawn(complete)).collect();
        std::thread::sleep(Duration::from_millis(500));
        publish(&dir, &manifest(0, 0, 0));
        let answers = calls
            .into_iter()
            .map(|call| call.join().expect("the call returns"));
        answers.collect::<Vec<_>>()
    });
    for answer in answers {
        let answer = answer.expect("requests on a draining server complete");
        let text = String::from_utf8_lossy(answer.body()).into_owned();
        assert!(text.contains("\"completion_tokens\":400"), "{text}");
    }
    wait_until("no server is left", || server_count(&dir) == 0);
}
