//! The cases of the third review that are scripts: `cases NUMBER RECORD with|without` plays one, with
//! the disruption or without it, and writes what happened to the file RECORD.
//!
//! Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

#[path = "standin-3.rs"]
#[allow(dead_code, reason = "each case uses a part of the stand-ins")]
mod standin;

use std::collections::HashMap;
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use standin::{
    Deployment, Engine, KEY, Link, Message, Record, Wire, base64, connect, eventually, exchange,
    full, misdirected, ms, register, send, serve, signed, stream_head, write_events,
};

/// Limit on the time of a case.
const CASE_LIMIT: Duration = Duration::from_secs(115);

fn main() -> ExitCode {
    let number = std::env::args().nth(1).unwrap_or_default();
    let trouble = match std::env::args().nth(3).as_deref() {
        Some("with") => true,
        Some("without") => false,
        _ => {
            eprintln!("usage: cases NUMBER RECORD with|without");
            return ExitCode::from(2);
        }
    };
    thread::spawn(|| {
        thread::sleep(CASE_LIMIT);
        eprintln!("the case took too long");
        standin::abort();
    });
    let record = Record::new();
    record.note(format!(
        "case {number}, {}",
        if trouble {
            "with the disruption"
        } else {
            "TROUBLE=0"
        }
    ));
    let seen = record.clone();
    let play = move || match number.as_str() {
        "11" => late_refusals(&seen, trouble),
        "12" => cut_holder(&seen, trouble),
        "13" => late_failures(&seen, trouble),
        "14" => many_items(&seen, trouble),
        "15" => unsigned_stream(&seen, trouble),
        other => panic!("no case {other:?}"),
    };
    let played = std::panic::catch_unwind(std::panic::AssertUnwindSafe(play));
    let (text, code) = match &played {
        Ok(true) => ("the rule was broken", 1),
        Ok(false) => ("the rule held", 0),
        Err(_) => ("the case couldn't run", 2),
    };
    record.note(text);
    println!("{text}");
    if let Some(path) = std::env::args().nth(2) {
        record.write(Path::new(&path));
    }
    ExitCode::from(code)
}

fn route(name: &str, kind: &str, service: &str, extra: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"hostname\":\"desk.example\",\"pathPrefix\":\"/{name}/\",\
         \"routeKind\":\"{kind}\",\"timeoutMs\":10000,\"aimMs\":400,\"priority\":1,\
         \"service\":\"{service}\",\"maxAttempts\":3,\"public\":false{extra}}}"
    )
}

fn service(name: &str, extra: &str) -> String {
    format!("{{\"name\":\"{name}\",\"healthPath\":\"/healthz\",\"maxConns\":100{extra}}}")
}

/// Answers a request to a plain server; returns false once the connection is closed.
fn answer(wire: &mut Wire, bytes: &[u8]) -> bool {
    wire.write(bytes).is_ok()
}

// What several cases use

/// A deployment with a route for rounds and one for their reward calls.
fn rounds_deployment() -> Deployment {
    let routes = [
        route(
            "rounds",
            "rollout",
            "models",
            ",\"resultDueMs\":7500,\"retentionS\":40",
        ),
        route("sync", "idempotent", "desk", "").replacen(":false}", ":true}", 1),
    ];
    let models = service("models", ",\"engine\":{\"models\":[{\"name\":\"m0\"}]}");
    Deployment::start(&routes.join(","), &[models, service("desk", "")].join(","))
}

/// Starts sound plain servers, which answer the reward calls.
fn start_desk(deployment: &Deployment) {
    for name in ["i-desk-1", "i-desk-2"] {
        let address = serve(deployment.ip(2), move |mut wire| {
            while let Ok(request) = wire.read() {
                let other = misdirected(&request, name);
                thread::sleep(ms(5));
                let bytes = other.unwrap_or_else(|| signed(200, &request, name, b"0.5"));
                if !answer(&mut wire, &bytes) {
                    return;
                }
            }
        });
        register(&deployment.store, name, address, "desk", "");
    }
}

/// Reads a batch job until all results are listed, for 12 s at most, and ends it.
fn read_all(
    record: &Record,
    front: std::net::SocketAddr,
    lot: &str,
    count: usize,
) -> Vec<(String, String)> {
    let deadline = Instant::now() + ms(12_000);
    let mut results = Vec::new();
    while results.len() < count && Instant::now() < deadline {
        results = read_results(front, lot);
        thread::sleep(ms(200));
    }
    let dead: Vec<&str> = results
        .iter()
        .filter(|(_, state)| state == "dead")
        .map(|(id, _)| id.as_str())
        .collect();
    record.note(format!(
        "trainer has {} of {count} results of {lot}; dead: {dead:?}",
        results.len()
    ));
    let ended = send(front, "DELETE", &format!("/lots/{lot}"), "", b"").expect("an answer");
    record.note(format!(
        "trainer has the answer to the end of {lot}: {}",
        ended.status()
    ));
    results
}

/// Ids and states of the results that are listed now.
fn read_results(front: std::net::SocketAddr, lot: &str) -> Vec<(String, String)> {
    let mut results = Vec::new();
    loop {
        let target = format!("/lots/{lot}?after={}", results.len());
        let Ok(reply) = send(front, "GET", &target, "", b"") else {
            return results;
        };
        let text = reply.text();
        let before = results.len();
        for row in text.split("{\"id\":\"").skip(1) {
            let id = row.split('"').next().unwrap_or_default().to_owned();
            results.push((id, standin::json_text(row, "state").unwrap_or_default()));
        }
        if results.len() == before {
            return results;
        }
    }
}

/// Entry of a model server: its weights.
const MODELS: &str = ",\"models\":[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}]";

/// Answers an item with a stream of events, one each `pause`; returns whether the caller has all.
fn stream_item(
    request: &Message,
    wire: &mut Wire,
    name: &str,
    engine: &Engine,
    (events, pause): (u64, Duration),
) -> bool {
    let last: u64 = request
        .header("last-event-id")
        .and_then(|last| last.parse().ok())
        .unwrap_or(0);
    answer(wire, &stream_head(request, name, engine.version()))
        && write_events(wire, last + 1, events, pause)
}

/// A batch job whose items, with their groups, have a reward call each.
fn job_of(step: u64, min_version: u64, target: usize, items: &[(&str, String)]) -> Vec<u8> {
    let body = base64(b"a prompt");
    let items: Vec<String> = items
        .iter()
        .map(|(id, group)| {
            format!(
                "{{\"id\":\"{id}\",\"path\":\"/rounds/3/{id}\",\"headers\":\
                 {{\"Basillead-Model\":\"m0\",\"Basillead-Token-Count\":\"16,200\"}},\
                 \"body\":\"{body}\",\"tokenCount\":216,\"group\":\"{group}\",\
                 \"scorer\":{{\"id\":\"5{id}\",\"hostname\":\"desk.example\",\
                 \"path\":\"/sync/score\",\"body\":\"aGk=\"}}}}"
            )
        })
        .collect();
    format!(
        "{{\"step\":{step},\"model\":\"m0\",\"minVersion\":{min_version},\
         \"groupTarget\":{target},\"items\":[{}]}}",
        items.join(",")
    )
    .into_bytes()
}

/// The process that leads the service of the model servers, by what the processes log.
fn leader_of(instances: &[standin::Instance]) -> usize {
    let mut found = None;
    eventually("a process leads", || {
        found = instances.iter().position(|instance| {
            let log = instance.log();
            log.lines()
                .any(|line| line.contains("lease_won") && line.contains("service/models"))
        });
        found.is_some()
    });
    found.unwrap_or_default()
}

// Case 11

/// Orders that the client sends.
const ORDERS: usize = 20;
/// Share of its answers that a faulty server sends twice; the site's largest dose.
const GARBLED_SHARE: f64 = 0.03;
/// Time for which the faulty server is full from when an order first comes, and the other one.
const FULL_TIMES: (Duration, Duration) = (Duration::from_millis(15), Duration::from_millis(35));

/// Two servers; one of them sends some of its refusals twice, the second time late.
struct Desk {
    runs: Mutex<HashMap<String, Vec<&'static str>>>,
    first_seen: Mutex<HashMap<String, Instant>>,
    answers: AtomicUsize,
    garbled: AtomicUsize,
}

fn late_refusals(record: &Record, trouble: bool) -> bool {
    let routes = [
        route("status", "idempotent", "desk", ""),
        route("orders", "non_idempotent", "desk", ""),
    ];
    let deployment = Deployment::start(&routes.join(","), &service("desk", ""));
    let desk = Arc::new(Desk {
        runs: Mutex::default(),
        first_seen: Mutex::default(),
        answers: AtomicUsize::default(),
        garbled: AtomicUsize::default(),
    });
    for name in ["i-desk-1", "i-desk-2"] {
        let (desk, record) = (Arc::clone(&desk), record.clone());
        let faulty = trouble && name == "i-desk-1";
        let address = serve(deployment.ip(2), move |wire| {
            desk.serve(wire, name, faulty, &record)
        });
        register(&deployment.store, name, address, "desk", "");
    }
    let instances = deployment.instances(2);
    thread::sleep(ms(1500));
    let front = instances[0].front;
    let mut wire = connect(front).expect("a connection");
    let bearer = format!("Bearer {KEY}");
    let mut orders = Vec::new();
    let began = Instant::now();
    for round in 0..ORDERS {
        for number in 0..36 {
            let id = format!("a{round:03}{number:04}");
            let headers = [
                ("Authorization", bearer.as_str()),
                ("Basillead-Request-Id", id.as_str()),
                ("Basillead-Deadline-Ms", "2000"),
            ];
            let reply = exchange(&mut wire, "POST", "/status/one", &headers, b"?");
            assert_eq!(reply.expect("an answer").status(), 200);
        }
        record.note("client has sent 36 status requests, each answered with 200");
        let id = format!("b{round:04}");
        let headers = [
            ("Authorization", bearer.as_str()),
            ("Basillead-Request-Id", id.as_str()),
            ("Basillead-Deadline-Ms", "2000"),
        ];
        record.note(format!("client sends order {id}"));
        let reply = exchange(&mut wire, "POST", "/orders/one", &headers, b"one panel");
        let status = reply.expect("an answer").status();
        record.note(format!("client has the answer to order {id}: {status}"));
        orders.push((id, status));
    }
    record.note(format!(
        "all sent within {:?}; the faulty server sent {} of {} answers twice",
        began.elapsed(),
        desk.garbled.load(Ordering::SeqCst),
        desk.answers.load(Ordering::SeqCst)
    ));
    thread::sleep(ms(300));
    let runs = desk.runs.lock().unwrap();
    let mut broken = false;
    for (id, status) in orders {
        let ran = runs.get(&id).cloned().unwrap_or_default();
        if ran.len() > 1 {
            record.note(format!(
                "TWICE: order {id} ran {} times, at {ran:?}",
                ran.len()
            ));
            broken = true;
        }
        if !ran.is_empty() && matches!(status, 429 | 503) {
            record.note(format!(
                "REFUSED: order {id} ran at {ran:?} and was answered {status}"
            ));
            broken = true;
        }
    }
    broken
}

impl Desk {
    /// Whether a server is full as an order comes.
    fn is_full(&self, id: &str, name: &str) -> bool {
        let mut first_seen = self.first_seen.lock().unwrap();
        let age = first_seen
            .entry(id.to_owned())
            .or_insert_with(Instant::now)
            .elapsed();
        age < if name == "i-desk-1" {
            FULL_TIMES.0
        } else {
            FULL_TIMES.1
        }
    }

    /// Whether the faulty server sends this answer twice.
    fn garbles(&self) -> bool {
        let answers = self.answers.load(Ordering::SeqCst) as f64;
        let garbled = self.garbled.load(Ordering::SeqCst) as f64;
        let due = garbled + 1.0 <= answers * GARBLED_SHARE;
        if due {
            self.garbled.fetch_add(1, Ordering::SeqCst);
        }
        due
    }

    fn serve(&self, mut wire: Wire, name: &'static str, faulty: bool, record: &Record) {
        // The second copy of an answer, which is sent when the next request has come.
        let mut copy: Option<Vec<u8>> = None;
        while let Ok(request) = wire.read() {
            let id = request.id();
            let is_order = request.path().starts_with("/orders/");
            if let Some(copy) = copy.take() {
                record.note(format!(
                    "{name} sends its answer before once more, as {id} comes"
                ));
                if !answer(&mut wire, &copy) {
                    return;
                }
            }
            if let Some(other) = misdirected(&request, name) {
                if !answer(&mut wire, &other) {
                    return;
                }
                continue;
            }
            if faulty {
                self.answers.fetch_add(1, Ordering::SeqCst);
            }
            if is_order && self.is_full(&id, name) {
                record.note(format!(
                    "{name} is full and refuses order {id} as not executed"
                ));
                let refusal = full(&request);
                if !answer(&mut wire, &refusal) {
                    return;
                }
                if faulty && self.garbles() {
                    copy = Some(refusal);
                }
                continue;
            }
            if is_order {
                record.note(format!("{name} begins to run order {id}"));
                self.runs
                    .lock()
                    .unwrap()
                    .entry(id.clone())
                    .or_default()
                    .push(name);
                thread::sleep(ms(25));
                record.note(format!("{name} has run order {id}"));
            } else {
                thread::sleep(ms(2));
            }
            if !answer(&mut wire, &signed(200, &request, name, b"done")) {
                return;
            }
        }
    }
}

// Case 12

/// The site's bound: calls so soon after a link healed don't count.
const THAW_TIME: Duration = Duration::from_millis(300);
/// Time from the holder's order to the cut of its machine; the order is due again after 8 s.
const CUT_AFTER: Duration = Duration::from_millis(7300);
/// The site's dose of `node_cut`.
const CUT_TIME: Duration = Duration::from_millis(5500);

fn cut_holder(record: &Record, trouble: bool) -> bool {
    let routes = [
        route(
            "rounds",
            "rollout",
            "models",
            ",\"resultDueMs\":7500,\"retentionS\":40",
        ),
        route("sync", "idempotent", "desk", "").replacen(":false}", ":true}", 1),
    ];
    let models = service(
        "models",
        ",\"engine\":{\"models\":[{\"name\":\"m0\"}]},\
         \"scaling\":{\"min\":1,\"max\":6,\"zonePrices\":{\"z-a\":0.85}}",
    );
    let deployment = Deployment::start(&routes.join(","), &[models, service("desk", "")].join(","));
    start_desk(&deployment);
    for name in ["i-model-1", "i-model-2"] {
        let engine = Engine::new();
        let address = serve(deployment.ip(3), move |mut wire| {
            while let Ok(request) = wire.read() {
                let control = misdirected(&request, name).or_else(|| engine.control(&request));
                let goes_on = match control {
                    Some(bytes) => answer(&mut wire, &bytes),
                    None => stream_item(&request, &mut wire, name, &engine, (20, ms(30))),
                };
                if !goes_on {
                    return;
                }
            }
        });
        register(&deployment.store, name, address, "models", MODELS);
    }
    let links: Vec<[Link; 2]> = (1..=3)
        .map(|_| {
            let to = [deployment.store.address, deployment.cloud.address];
            to.map(|to| Link::start(deployment.ip(4), to))
        })
        .collect();
    let instances: Vec<standin::Instance> = links
        .iter()
        .zip(1..)
        .map(|([store, cloud], number)| {
            deployment.instance_at(number, store.address, cloud.address)
        })
        .collect();
    for instance in &instances {
        eventually("an instance is ready", || instance.is_ready());
    }
    let _ = leader_of(&instances);
    let names: Vec<String> = (0..64).map(|at| format!("c{at:03}")).collect();
    let items: Vec<(&str, String)> = names
        .iter()
        .enumerate()
        .map(|(at, id)| (id.as_str(), format!("g-{}", at / 8)))
        .collect();
    let reply = send(
        instances[0].front,
        "POST",
        "/rounds/one",
        "a5a5",
        &job_of(0, 0, 8, &items),
    );
    let status = reply.expect("an answer").status();
    record.note(format!(
        "trainer has the answer to batch job a5a5: {status}"
    ));
    assert_eq!(status, 202);
    let orders = || -> Vec<standin::DutyCall> {
        let calls = deployment.cloud.calls();
        calls
            .into_iter()
            .filter(|call| call.path == "/scale")
            .collect()
    };
    eventually("servers are ordered", || !orders().is_empty());
    let first = orders()[0].clone();
    let holder = instances
        .iter()
        .position(|instance| instance.name == first.holder);
    let holder = holder.expect("a known holder");
    thread::sleep((first.at + CUT_AFTER).saturating_duration_since(Instant::now()));
    if trouble {
        record.note(format!("{} is cut off from the platform", first.holder));
        links[holder].iter().for_each(Link::cut);
    }
    thread::sleep(CUT_TIME);
    let healed = Instant::now();
    if trouble {
        record.note(format!("{} is connected again", first.holder));
        links[holder].iter().for_each(Link::heal);
    }
    thread::sleep(ms(8000));
    let mut highest = 0;
    let mut broken = false;
    for call in orders() {
        let at = call.at.duration_since(first.at);
        record.note(format!(
            "at {at:?} after the first one the platform got an order for servers from {} with \
             fencing token {}: {}",
            call.holder, call.fence, call.body
        ));
        let excused = call.at >= healed && call.at < healed + THAW_TIME;
        if call.fence < highest && !excused {
            record.note(format!(
                "ONE: the order of {} with token {} came after one with token {highest}, {:?} after \
                 the link healed",
                call.holder,
                call.fence,
                call.at.saturating_duration_since(healed)
            ));
            broken = true;
        }
        highest = highest.max(call.fence);
    }
    broken
}

// Case 13

/// Answers of status 500 to each failing item before it succeeds.
const FAILURES: usize = 2;
/// Rounds with a failing item.
const FAILING_ROUNDS: usize = 4;
/// Time from the start of a failing run to its answer.
const FAILURE_TIME: Duration = Duration::from_millis(40);

/// Model servers that fail some items. The first that does so may send some failures twice.
struct Failing {
    /// Answers of status 500, by item.
    failures: Mutex<HashMap<String, usize>>,
    /// The server that sends answers twice; none without the disruption.
    faulty: Mutex<Option<&'static str>>,
    /// Answers, by server.
    answers: Mutex<HashMap<&'static str, usize>>,
    garbled: AtomicUsize,
}

fn late_failures(record: &Record, trouble: bool) -> bool {
    let deployment = rounds_deployment();
    let failing = Arc::new(Failing {
        failures: Mutex::default(),
        faulty: Mutex::default(),
        answers: Mutex::default(),
        garbled: AtomicUsize::default(),
    });
    start_desk(&deployment);
    for name in ["i-model-1", "i-model-2"] {
        let (failing, record, engine) = (Arc::clone(&failing), record.clone(), Engine::new());
        let address = serve(deployment.ip(3), move |wire| {
            failing.serve(wire, name, trouble, &engine, &record);
        });
        register(&deployment.store, name, address, "models", MODELS);
    }
    let instances = deployment.instances(3);
    let _ = leader_of(&instances);
    let front = instances[0].front;

    // A round of sound items first, then rounds of one group that has one failing item.
    let names: Vec<String> = (0..160).map(|at| format!("a{at:03}")).collect();
    let first = submit_groups(record, front, "a0a0", 0, &names, 8);
    read_all(record, front, "a0a0", first);
    let mut broken = false;
    for round in 0..FAILING_ROUNDS {
        let lot = format!("b{round:03}");
        let mut names: Vec<String> = (0..7).map(|at| format!("e{round:02}{at}")).collect();
        names.push(format!("f{round:02}0"));
        let count = submit_groups(record, front, &lot, 1, &names, 8);
        for (id, state) in read_all(record, front, &lot, count) {
            let failures = failing.failures_of(&id);
            if state == "dead" && failures < 3 {
                record.note(format!(
                    "MIXED: item {id} is dead after {failures} answers of 500"
                ));
                broken = true;
            }
        }
    }
    record.note(format!(
        "answers by server: {:?}; {:?} sent {} of its answers twice",
        failing.answers.lock().unwrap(),
        failing.faulty.lock().unwrap(),
        failing.garbled.load(Ordering::SeqCst)
    ));
    broken
}

impl Failing {
    /// Whether a server sends this failure twice.
    fn garbles(&self, name: &'static str) -> bool {
        if *self.faulty.lock().unwrap().get_or_insert(name) != name {
            return false;
        }
        let answers = self.answers.lock().unwrap()[name] as f64;
        let garbled = self.garbled.load(Ordering::SeqCst) as f64;
        let due = garbled + 1.0 <= answers * GARBLED_SHARE;
        if due {
            self.garbled.fetch_add(1, Ordering::SeqCst);
        }
        due
    }

    fn serve(
        &self,
        mut wire: Wire,
        name: &'static str,
        trouble: bool,
        engine: &Engine,
        record: &Record,
    ) {
        // The second copy of an answer, which is sent when the next request has come.
        let mut copy: Option<Vec<u8>> = None;
        while let Ok(request) = wire.read() {
            let id = request.id();
            if let Some(copy) = copy.take() {
                record.note(format!(
                    "{name} sends its answer before once more, as {id} comes"
                ));
                if !answer(&mut wire, &copy) {
                    return;
                }
            }
            let control = misdirected(&request, name).or_else(|| engine.control(&request));
            if let Some(bytes) = control {
                if !answer(&mut wire, &bytes) {
                    return;
                }
                continue;
            }
            *self.answers.lock().unwrap().entry(name).or_default() += 1;
            if id.starts_with('f') && self.failures_of(&id) < FAILURES {
                record.note(format!("{name} begins to run item {id}"));
                thread::sleep(FAILURE_TIME);
                *self.failures.lock().unwrap().entry(id.clone()).or_default() += 1;
                record.note(format!("{name} answers item {id} with 500"));
                let failure = signed(500, &request, name, b"");
                if !answer(&mut wire, &failure) {
                    return;
                }
                if trouble && self.garbles(name) {
                    copy = Some(failure);
                }
                continue;
            }
            if id.starts_with('f') {
                record.note(format!(
                    "{name} begins to run item {id}, which will succeed"
                ));
            }
            if !stream_item(&request, &mut wire, name, engine, (8, ms(30))) {
                if id.starts_with('f') {
                    record.note(format!("{name} sees the connection of item {id} closed"));
                }
                return;
            }
        }
    }

    fn failures_of(&self, id: &str) -> usize {
        self.failures.lock().unwrap().get(id).copied().unwrap_or(0)
    }
}

/// Submits a batch job with groups of `size` items; returns their number.
fn submit_groups(
    record: &Record,
    front: std::net::SocketAddr,
    lot: &str,
    step: u64,
    names: &[String],
    size: usize,
) -> usize {
    let items: Vec<(&str, String)> = names
        .iter()
        .enumerate()
        .map(|(at, name)| (name.as_str(), format!("{lot}-{}", at / size)))
        .collect();
    let body = job_of(step, 0, names.len() / size, &items);
    let reply = send(front, "POST", "/rounds/one", lot, &body).expect("an answer");
    record.note(format!(
        "trainer has the answer to batch job {lot}: {}",
        reply.status()
    ));
    assert_eq!(reply.status(), 202);
    names.len()
}

// Case 14

/// The site's limits: the memory of a machine and the largest body that a client may send.
const MEMORY_KB: u64 = 290 * 1024;
const BODY_BYTES: usize = 33_554_432;
/// Batch jobs that the trainer submits.
const SUBMISSIONS: usize = 6;
/// Ends by itself of a process from which on its machine counts, and machines that are a fault.
const ENDS: usize = 3;
const MACHINES: usize = 2;

/// The platform's part: kills processes over their memory, and starts them again.
struct Watched {
    instances: Mutex<Vec<standin::Instance>>,
    /// Number of ends, by machine.
    ends: Mutex<HashMap<String, usize>>,
    done: AtomicBool,
}

fn many_items(record: &Record, trouble: bool) -> bool {
    let deployment = Arc::new(rounds_deployment());
    start_desk(&deployment);
    let watched = Arc::new(Watched {
        instances: Mutex::new(deployment.instances(3)),
        ends: Mutex::default(),
        done: AtomicBool::new(false),
    });
    let watch = {
        let (watched, deployment) = (Arc::clone(&watched), Arc::clone(&deployment));
        let record = record.clone();
        thread::spawn(move || watched.watch(&deployment, &record))
    };
    let body = if trouble {
        large_job()
    } else {
        job_of(0, 0, 1, &[("c1", "g1".to_owned())])
    };
    let items = String::from_utf8_lossy(&body).matches("{\"id\"").count();
    record.note(format!("each batch job has {items} items"));
    let mut answered = 0;
    for at in 0..SUBMISSIONS {
        let lot = format!("a{at:03}");
        // A trainer sends a batch job again, to another node, after a broken connection.
        for attempt in 0..2 {
            let front = watched.front((at + attempt) % 3);
            record.note(format!(
                "trainer sends batch job {lot}, {} bytes, to {front}",
                body.len()
            ));
            match send(front, "POST", "/rounds/one", &lot, &body) {
                Ok(reply) => {
                    record.note(format!(
                        "trainer has the answer to {lot}: {}",
                        reply.status()
                    ));
                    answered += 1;
                    break;
                }
                Err(error) => record.note(format!("trainer has no answer to {lot}: {error}")),
            }
        }
        thread::sleep(ms(2500));
        for (number, front) in (0..3).map(|number| (number, watched.front(number))) {
            let reply = send(
                front,
                "POST",
                "/sync/one",
                &format!("b{at:02}{number}"),
                b"?",
            );
            let status = reply.map_or(0, |reply| reply.status());
            record.note(format!(
                "an ordinary caller has the answer {status} of {front}"
            ));
        }
    }
    watched.done.store(true, Ordering::SeqCst);
    watch.join().expect("the watch");
    record.note(format!(
        "{answered} of {SUBMISSIONS} batch jobs got an answer"
    ));
    let ends = watched.ends.lock().unwrap();
    for (name, count) in ends.iter() {
        record.note(format!(
            "{name} was over its memory and ended {count} times"
        ));
    }
    let faulty = ends.values().filter(|count| **count >= ENDS).count();
    if faulty >= MACHINES {
        record.note(format!(
            "Fault: on {faulty} of 3 machines processes ended {ENDS} times or more"
        ));
    }
    faulty >= MACHINES
}

/// A batch job within the limit on bodies, of as many items as fit.
fn large_job() -> Vec<u8> {
    let mut body =
        String::from("{\"step\":0,\"model\":\"m0\",\"minVersion\":0,\"groupTarget\":1,\"items\":[");
    for id in 0.. {
        let item = format!(
            "{{\"id\":\"{id:x}\",\"path\":\"/rounds/1\",\"headers\":{{\"Basillead-Model\":\"m0\"}},\
             \"body\":\"aGk=\",\"tokenCount\":16,\"group\":\"{:x}\"}}",
            id / 8
        );
        if body.len() + item.len() + 3 > BODY_BYTES {
            break;
        }
        if id > 0 {
            body.push(',');
        }
        body.push_str(&item);
    }
    body.push_str("]}");
    body.into_bytes()
}

impl Watched {
    fn front(&self, at: usize) -> std::net::SocketAddr {
        self.instances.lock().unwrap()[at].front
    }

    fn watch(&self, deployment: &Deployment, record: &Record) {
        while !self.done.load(Ordering::SeqCst) {
            thread::sleep(ms(5));
            let mut instances = self.instances.lock().unwrap();
            for (at, instance) in instances.iter_mut().enumerate() {
                let memory = instance.memory_kb();
                if memory <= MEMORY_KB {
                    continue;
                }
                record.note(format!(
                    "{} has {} MB of {} MB; the platform kills it",
                    instance.name,
                    memory / 1024,
                    MEMORY_KB / 1024
                ));
                *self
                    .ends
                    .lock()
                    .unwrap()
                    .entry(instance.name.clone())
                    .or_default() += 1;
                instance.end();
                thread::sleep(ms(300));
                let number = u8::try_from(at + 1).expect("few instances");
                *instance = deployment.instance(number);
                record.note(format!("{} is started again", instance.name));
            }
        }
    }
}

// Case 15

/// Streams that the client asks for.
const STREAMS: usize = 240;
/// Clients that ask for them at the same time.
const CLIENTS: usize = 6;
/// Share of its answers that the faulty server spoils; the largest dose of the site is 0.03.
const SPOILED_SHARE: f64 = 0.025;

fn unsigned_stream(record: &Record, trouble: bool) -> bool {
    let routes = route("drafts", "non_idempotent", "models", ",\"streaming\":true");
    let models = service("models", ",\"engine\":{\"models\":[{\"name\":\"m0\"}]}");
    let deployment = Deployment::start(&routes, &models);
    let answers = Arc::new(AtomicUsize::default());
    let spoiled = Arc::new(AtomicUsize::default());
    for name in ["i-model-1", "i-model-2"] {
        let (record, engine) = (record.clone(), Engine::new());
        let (answers, spoiled) = (Arc::clone(&answers), Arc::clone(&spoiled));
        let faulty = trouble && name == "i-model-1";
        let address = serve(deployment.ip(3), move |mut wire| {
            while let Ok(request) = wire.read() {
                let control = misdirected(&request, name).or_else(|| engine.control(&request));
                if let Some(bytes) = control {
                    if !answer(&mut wire, &bytes) {
                        return;
                    }
                    continue;
                }
                let mut head = stream_head(&request, name, engine.version());
                if faulty {
                    let count = answers.fetch_add(1, Ordering::SeqCst) as f64 + 1.0;
                    let before = spoiled.load(Ordering::SeqCst) as f64;
                    if before + 1.0 <= count * SPOILED_SHARE {
                        spoiled.fetch_add(1, Ordering::SeqCst);
                        record.note(format!("{name} answers {} without its stamp", request.id()));
                        let text = String::from_utf8(head).expect("text");
                        let lines = text.split_inclusive("\r\n");
                        let kept = lines.filter(|line| !line.starts_with("Basillead-Server-Stamp"));
                        head = kept.collect::<String>().into_bytes();
                    }
                }
                if !answer(&mut wire, &head) || !write_events(&mut wire, 1, 3, ms(3)) {
                    return;
                }
            }
        });
        register(&deployment.store, name, address, "models", MODELS);
    }
    let instances = deployment.instances(2);
    thread::sleep(ms(1500));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (front, record) = (instances[client % 2].front, record.clone());
            thread::spawn(move || ask_for_streams(&record, front, client))
        })
        .collect();
    let mut broken = false;
    let mut whole = 0;
    for client in clients {
        let (signed, unsigned) = client.join().expect("a client");
        whole += signed;
        broken |= unsigned > 0;
    }
    record.note(format!(
        "{whole} of {STREAMS} streams came whole and signed"
    ));
    record.note(format!(
        "the faulty server spoiled {} of {} answers",
        spoiled.load(Ordering::SeqCst),
        answers.load(Ordering::SeqCst)
    ));
    broken
}

/// Asks for a client's share of the streams; returns how many successes were signed, and were not.
fn ask_for_streams(record: &Record, front: std::net::SocketAddr, client: usize) -> (usize, usize) {
    let (mut signed, mut unsigned) = (0, 0);
    for number in 0..STREAMS / CLIENTS {
        let id = format!("a{client}{number:03}");
        let Ok(reply) = send(front, "POST", "/drafts/one", &id, b"?") else {
            record.note(format!("client's stream {id} breaks off"));
            continue;
        };
        let (status, has_stamp) = (
            reply.status(),
            reply.header("basillead-server-stamp").is_some(),
        );
        if status == 200 && has_stamp {
            signed += 1;
            continue;
        }
        record.note(format!(
            "client has the answer to {id}: {status}, with a stamp: {has_stamp}"
        ));
        if (200..300).contains(&status) {
            record.note(format!(
                "MIXED: the client got a success to {id} without a stamp"
            ));
            unsigned += 1;
        }
    }
    (signed, unsigned)
}
