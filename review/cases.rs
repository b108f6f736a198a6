//! The cases: each plays a small deployment and checks one rule.

use super::*;

/// Runs a case; returns whether the rule was broken, or none for an unknown case.
pub fn run(case: &str) -> Option<bool> {
    match case {
        "stop_cuts_streams" => Some(stop_cuts_streams()),
        "dark_server_streams" => Some(dark_server_streams()),
        "resend_to_draining" => Some(resend_to_draining()),
        "late_request_at_stop" => Some(late_request_at_stop()),
        "silent_crashes" => Some(silent_crashes()),
        _ => None,
    }
}

/// Pause between two events of a stream.
const PAUSE: Duration = Duration::from_millis(100);
/// Gap after which a client abandons a stream: the longest of two seconds, four times the
/// objective (400 ms) and eight times the pause that the sheet allows (150 ms).
const GAP: Duration = Duration::from_secs(2);
/// Deadline of the clients of streams, in milliseconds.
const DEADLINE: u64 = 12_000;

/// A handler that streams as many events as the last part of the path says.
fn streamer() -> Handler {
    Arc::new(|server, mut conn, request| {
        if server.reject_if_full(&mut conn, &request)? {
            return Some(conn);
        }
        let count = request
            .path
            .rsplit('/')
            .next()
            .and_then(|count| count.parse().ok());
        server.stream(conn, &request, 0, count.unwrap_or(1), PAUSE)
    })
}

/// A handler that works for as many milliseconds as the last part of the path says.
fn worker() -> Handler {
    Arc::new(|server, mut conn, request| {
        if server.reject_if_full(&mut conn, &request)? {
            return Some(conn);
        }
        let time = request
            .path
            .rsplit('/')
            .next()
            .and_then(|time| time.parse().ok());
        server.work(conn, &request, Duration::from_millis(time.unwrap_or(20)))
    })
}

/// A stream that a client has asked for.
struct Asked {
    id: String,
    at: u64,
    events: u64,
    end: thread::JoinHandle<(u64, StreamEnd)>,
}

fn ask_stream(address: SocketAddr, group: &str, events: u64) -> Asked {
    let id = fresh_id(group);
    let (at, target) = (now_ms(), format!("/drafts/{events}"));
    note(&format!("client: {id} sent to {address}: {events} events"));
    let own = id.clone();
    let end = spawn(move || {
        let end = read_stream(address, &target, &own, DEADLINE, GAP);
        let at = now_ms();
        note(&format!("client: {own} ends: {end:?}"));
        (at, end)
    });
    Asked {
        id,
        at,
        events,
        end,
    }
}

/// LOST: an instance that gets SIGTERM ends while it is still passing streams on.
fn stop_cuts_streams() -> bool {
    const GRACE: u64 = 8000;
    let mut deployment = Deployment::new();
    let more = r#","streaming":true"#;
    deployment.configure(&[route(
        "drafts",
        "/drafts/",
        "non_idempotent",
        "desk",
        10_000,
        more,
    )]);
    let servers: Vec<Server> = (1..=3)
        .map(|n| deployment.server(&format!("s{n}"), "desk", 8, streamer()))
        .collect();
    let mut instances = deployment.start_ready(&["i1", "i2"]);
    // The servers are known as soon as a stream is served.
    wait_for("a stream is served", Duration::from_secs(5), || {
        matches!(
            read_stream(
                instances[0].front,
                "/drafts/1",
                &fresh_id("warm"),
                DEADLINE,
                GAP
            ),
            StreamEnd::Complete(1)
        )
    });
    let address = instances[0].front;
    // Clients learn the address now and keep it for up to three times the answer's two seconds.
    if !instances[1].resolve().contains(&address.to_string()) {
        give_up("the directory does not name the instance");
    }
    note("client: the directory names i1, lifetime 2 s, kept for up to 6 s");
    let resolved = now_ms();
    let mut asked: Vec<Asked> = (0..4).map(|_| ask_stream(address, "before", 72)).collect();
    sleep(Duration::from_millis(800));
    let stopped = now_ms();
    if trouble() {
        instances[0].signal(SIGTERM);
    }
    while now_ms() < stopped + 4500 {
        sleep(Duration::from_millis(5));
    }
    assert!(now_ms() < resolved + 6000);
    asked.extend((0..4).map(|_| ask_stream(address, "after", 17)));
    let mut ended = None;
    while now_ms() < stopped + GRACE {
        if ended.is_none() && instances[0].has_ended() {
            ended = Some(now_ms());
            note(&format!(
                "i1: ended by itself {} ms after SIGTERM",
                now_ms() - stopped
            ));
        }
        sleep(Duration::from_millis(5));
    }
    if trouble() {
        instances[0].signal(SIGKILL);
    }
    let mut lost = 0;
    for one in asked {
        let (at, end) = one.end.join().expect("a client");
        let runs = deployment.servers.runs.lock().expect("runs").clone();
        let run = runs.iter().find(|run| run.id == one.id);
        let Some(run) = run else {
            note(&format!("check: {} was passed on to no server", one.id));
            continue;
        };
        let (run_end, how) = run.end.unwrap_or((now_ms(), "still at work"));
        if end == StreamEnd::Complete(one.events) {
            note(&format!("check: {} complete", one.id));
            continue;
        }
        // Not counted: the server broke off; the deadline or the time-out of the route was reached;
        // or the server was still at work in the last sixth of the grace period on a request sent
        // no later than 3 s after the SIGTERM.
        let broke_off = how != "connection closed";
        let late = at >= one.at + 10_000;
        let last_sixth = run_end >= stopped + GRACE * 5 / 6 && one.at <= stopped + 3000;
        let planned = trouble() && at <= stopped + GRACE + 1000;
        let counts = planned && !broke_off && !late && !last_sixth;
        note(&format!(
            "check: {} incomplete {} ms after SIGTERM ({end:?}); its server's work ended {} ms \
             after SIGTERM ({how}); counts as LOST: {counts}",
            one.id,
            at.saturating_sub(stopped),
            run_end.saturating_sub(stopped)
        ));
        lost += usize::from(counts);
    }
    drop(servers);
    note(&format!(
        "rule LOST: {lost} streams lost around the SIGTERM"
    ));
    lost > 0
}

/// CONFIG: a stream whose server has gone dark gets no final answer at its route's time-out.
fn dark_server_streams() -> bool {
    const TIMEOUT: u64 = 3000;
    let mut deployment = Deployment::new();
    let more = r#","streaming":true"#;
    deployment.configure(&[route(
        "drafts",
        "/drafts/",
        "non_idempotent",
        "desk",
        TIMEOUT,
        more,
    )]);
    let servers: Vec<Server> = (1..=12)
        .map(|n| deployment.server(&format!("s{n}"), "desk", 8, streamer()))
        .collect();
    let instances = deployment.start_ready(&["i1", "i2"]);
    wait_for("streams are served", Duration::from_secs(5), || {
        instances.iter().all(|one| {
            let id = fresh_id("warm");
            matches!(
                read_stream(one.front, "/drafts/1", &id, DEADLINE, GAP),
                StreamEnd::Complete(1)
            )
        })
    });
    let mut asked = Vec::new();
    for _ in 0..36 {
        for instance in &instances {
            asked.push(ask_stream(instance.front, "draft", 25));
            sleep(Duration::from_millis(4));
        }
    }
    sleep(Duration::from_millis(1800));
    if trouble() {
        note("s1 and s2 go dark: 2 of 12 servers");
        servers[0].dark.store(true, Ordering::SeqCst);
        servers[1].dark.store(true, Ordering::SeqCst);
    }
    // Each client waits until its own patience ends.
    let (mut over, mut unanswered) = (0, 0);
    for one in asked {
        let (at, end) = one.end.join().expect("a client");
        let took = at - one.at;
        if took <= TIMEOUT {
            continue;
        }
        over += 1;
        // A client that left within half a second of the time-out does not count as unanswered.
        let final_answer = took <= TIMEOUT + 500;
        unanswered += usize::from(!final_answer);
        note(&format!(
            "check: {} lasts {took} ms, beyond the time-out of {TIMEOUT} ms: {end:?}; final answer \
             within 500 ms: {final_answer}",
            one.id
        ));
    }
    note(&format!(
        "rule CONFIG: {over} streams last longer than the time-out, {unanswered} of them have no \
         final answer 0.5 s after it"
    ));
    unanswered >= 8 && unanswered * 4 > over
}

/// DRAIN: a request is sent once more to a server that has been draining for longer than the bound.
fn resend_to_draining() -> bool {
    const DRAIN: u64 = 2000;
    let mut deployment = Deployment::new();
    deployment.configure(&[route("sync", "/sync/", "idempotent", "desk", 6000, "")]);
    let lose = Arc::new(Mutex::new(None::<String>));
    let seen: Arc<Mutex<Vec<(u64, String, String)>>> = Arc::default();
    let (losing, seeing) = (Arc::clone(&lose), Arc::clone(&seen));
    let handler: Handler = Arc::new(move |server, mut conn, request| {
        let id = request.id();
        note(&format!("{}: request {id} arrives", server.id));
        seeing
            .lock()
            .expect("seen")
            .push((now_ms(), server.id.clone(), id.clone()));
        if server.reject_if_full(&mut conn, &request)? {
            return Some(conn);
        }
        let time = request
            .path
            .rsplit('/')
            .next()
            .and_then(|time| time.parse().ok());
        let time = Duration::from_millis(time.unwrap_or(20));
        let run = server.begin(&id);
        let due = Instant::now() + time;
        while Instant::now() < due {
            sleep(Duration::from_millis(5));
            if conn.is_closed() {
                server.end(run, "connection closed");
                return None;
            }
            let mut losing = losing.lock().expect("the answer to lose");
            if losing.as_deref() == Some(&format!("{}/{id}", server.id)) {
                *losing = None;
                server.end(run, "answer lost, connection reset");
                conn.reset();
                return None;
            }
        }
        server.end(run, "complete");
        server.sign(&mut conn, &request, 200, b"done").ok()?;
        Some(conn)
    });
    let servers: Vec<Server> = (1..=3)
        .map(|n| deployment.server(&format!("s{n}"), "desk", 6, Arc::clone(&handler)))
        .collect();
    let instances = deployment.start_ready(&["i1", "i2"]);
    let front = instances[0].front;
    let ask = move |time: u64| {
        let id = fresh_id("sync");
        spawn(move || {
            let bearer = format!("Bearer {KEY}");
            let headers = client_headers(&id, &bearer, "6000");
            let patience = Duration::from_secs(7);
            let target = format!("/sync/{time}");
            let answer = call(front, "POST", &target, &headers, b"order", patience);
            note(&format!(
                "client: {id} gets {:?}",
                answer.map(|answer| answer.status)
            ));
        })
    };
    sleep(Duration::from_millis(600));
    // Kept connections to each server.
    for _ in 0..4 {
        let calls: Vec<_> = (0..9).map(|_| ask(60)).collect();
        calls
            .into_iter()
            .for_each(|call| call.join().expect("a client"));
    }
    let calls: Vec<_> = (0..6).map(|_| ask(2600)).collect();
    sleep(Duration::from_millis(100));
    let runs = deployment.servers.runs.lock().expect("runs").clone();
    let open: Vec<&Run> = runs.iter().filter(|run| run.end.is_none()).collect();
    let Some(chosen) = open.first() else {
        give_up("no server runs a long request");
    };
    let server = servers
        .iter()
        .find(|server| server.id == chosen.server)
        .expect("a server");
    let mut accepted = None;
    if trouble() {
        accepted = Some(server.drain());
        sleep(Duration::from_millis(DRAIN + 150));
        note(&format!(
            "{}: loses its answer to {}",
            chosen.server, chosen.id
        ));
        *lose.lock().expect("the answer to lose") =
            Some(format!("{}/{}", chosen.server, chosen.id));
    }
    calls
        .into_iter()
        .for_each(|call| call.join().expect("a client"));
    let mut late = 0;
    for (at, id, request) in seen.lock().expect("seen").iter() {
        if let Some(accepted) = accepted
            && *id == chosen.server
            && *at > accepted + DRAIN
        {
            late += 1;
            note(&format!(
                "check: {request} reaches {id} {} ms after its report was accepted",
                at - accepted
            ));
        }
    }
    note(&format!(
        "rule DRAIN: {late} requests reach the draining server later than {DRAIN} ms"
    ));
    late > 0
}

/// LOST: an instance that gets SIGTERM takes a request that it then does not answer.
fn late_request_at_stop() -> bool {
    const GRACE: u64 = 8000;
    /// Time of the requests at their server.
    const WORK: u64 = 1500;
    let mut deployment = Deployment::new();
    deployment.configure(&[
        route("orders", "/orders/", "non_idempotent", "desk", 10_000, ""),
        route("sync", "/sync/", "idempotent", "desk", 10_000, ""),
    ]);
    let _servers: Vec<Server> = (1..=3)
        .map(|n| deployment.server(&format!("s{n}"), "desk", 8, worker()))
        .collect();
    let mut instances = deployment.start_ready(&["i1", "i2"]);
    let address = instances[0].front;
    let order = move |id: &str, prefix: &str, time: u64| {
        let bearer = format!("Bearer {KEY}");
        let headers = client_headers(id, &bearer, "8000");
        let target = format!("{prefix}{time}");
        call(
            address,
            "POST",
            &target,
            &headers,
            b"order",
            Duration::from_secs(8),
        )
    };
    wait_for("an order is served", Duration::from_secs(5), || {
        order(&fresh_id("warm"), "/orders/", 20).is_ok_and(|answer| answer.status == 200)
    });
    if !instances[1].resolve().contains(&address.to_string()) {
        give_up("the directory does not name the instance");
    }
    note("client: the directory names i1, lifetime 2 s, kept for up to 6 s");
    let resolved = now_ms();
    let stopped = now_ms();
    if trouble() {
        instances[0].signal(SIGTERM);
    }
    while now_ms() < stopped + 5750 {
        sleep(Duration::from_millis(5));
    }
    assert!(now_ms() < resolved + 6000);
    let asked: Vec<_> = [
        "/orders/", "/orders/", "/orders/", "/sync/", "/sync/", "/sync/",
    ]
    .into_iter()
    .map(|prefix| {
        let id = fresh_id(prefix.trim_matches('/'));
        let at = now_ms();
        note(&format!(
            "client: {id} sent to {address}: {WORK} ms of work"
        ));
        let own = id.clone();
        let end = spawn(move || {
            let answer = order(&own, prefix, WORK).map(|answer| answer.status);
            note(&format!("client: {own} gets {answer:?}"));
            (now_ms(), answer)
        });
        (id, at, end)
    })
    .collect();
    let mut ended = false;
    while now_ms() < stopped + GRACE {
        if !ended && instances[0].has_ended() {
            ended = true;
            note(&format!(
                "i1: ended by itself {} ms after SIGTERM",
                now_ms() - stopped
            ));
        }
        sleep(Duration::from_millis(5));
    }
    if trouble() {
        instances[0].signal(SIGKILL);
    }
    let mut lost = 0;
    for (id, sent, end) in asked {
        let (at, answer) = end.join().expect("a client");
        let runs = deployment.servers.runs.lock().expect("runs").clone();
        let run = runs.iter().find(|run| run.id == id);
        let Some(run) = run.filter(|_| answer.is_err()) else {
            note(&format!("check: {id} was answered {answer:?}"));
            continue;
        };
        let (run_end, how) = run.end.unwrap_or((now_ms(), "still at work"));
        // Not counted: the server broke off, or the client's deadline of 8 s or the route's time-out
        // of 10 s was reached; and what was sent no later than 3 s after the SIGTERM.
        let counts = trouble()
            && how == "connection closed"
            && at < sent + 8000
            && sent > stopped + 3000
            && at <= stopped + GRACE + 1000;
        note(&format!(
            "check: {id} passed on, no answer; sent {} ms, cut {} ms after SIGTERM; its server's \
             work ended {} ms after SIGTERM ({how}); counts as LOST: {counts}",
            sent - stopped,
            at - stopped,
            run_end - stopped
        ));
        lost += usize::from(counts);
    }
    note(&format!(
        "rule LOST: {lost} requests lost after the SIGTERM"
    ));
    lost > 0
}

/// BUDGET: a request that crashes its servers without a word is sent to servers without end.
fn silent_crashes() -> bool {
    const CONTACT: u64 = 3000;
    const POISON: &[u8] = b"order 7341";
    /// Time from the beginning of the run to the crash, and from the crash to the restart.
    const CRASH_AFTER: Duration = Duration::from_millis(700);
    const BACK_AFTER: Duration = Duration::from_secs(4);
    let mut deployment = Deployment::new();
    deployment.configure(&[route("status", "/status/", "idempotent", "desk", 2000, "")]);
    // Times at which the request began to run, and of the crashes under it.
    let reached: Arc<Mutex<Vec<(u64, String)>>> = Arc::default();
    let crashed: Arc<Mutex<Vec<u64>>> = Arc::default();
    let (reaching, crashing) = (Arc::clone(&reached), Arc::clone(&crashed));
    let handler: Handler = Arc::new(move |server, mut conn, request| {
        if request.body != POISON {
            if server.reject_if_full(&mut conn, &request)? {
                return Some(conn);
            }
            return server.work(conn, &request, Duration::from_millis(25));
        }
        let reach = (now_ms(), request.id());
        reaching.lock().expect("times").push(reach);
        let run = server.begin(&request.id());
        // The server crashes whether or not the connection is closed meanwhile.
        sleep(CRASH_AFTER);
        if !server.dark.load(Ordering::SeqCst) {
            crashing.lock().expect("times").push(now_ms());
            server.crash_dark(BACK_AFTER);
        }
        server.end(run, "crashes the server");
        server.stay_dark(conn)
    });
    let _servers: Vec<Server> = (1..=4)
        .map(|n| deployment.server(&format!("s{n}"), "desk", 6, Arc::clone(&handler)))
        .collect();
    let instances = deployment.start_ready(&["i1", "i2"]);
    sleep(Duration::from_secs(1));
    // Sound requests all the while.
    let served = Arc::new(AtomicU64::new(0));
    for client in 0..16 {
        let front = instances[client % 2].front;
        let served = Arc::clone(&served);
        spawn(move || {
            loop {
                let id = fresh_id("status");
                let bearer = format!("Bearer {KEY}");
                let headers = client_headers(&id, &bearer, "2000");
                let limit = Duration::from_millis(2200);
                let answer = call(front, "POST", "/status/one", &headers, id.as_bytes(), limit);
                if answer.is_ok_and(|answer| answer.status == 200) {
                    served.fetch_add(1, Ordering::SeqCst);
                }
                sleep(Duration::from_millis(5));
            }
        });
    }
    sleep(Duration::from_secs(1));
    for round in 0..16 {
        if trouble() {
            // The client comes again, with another id, the same path, key and body.
            let front = instances[round % 2].front;
            let id = fresh_id("poison");
            let bearer = format!("Bearer {KEY}");
            let headers = client_headers(&id, &bearer, "2000");
            let limit = Duration::from_millis(2200);
            note(&format!(
                "client: {id} sent to {}",
                instances[round % 2].name
            ));
            let answer = call(front, "POST", "/status/one", &headers, POISON, limit);
            note(&format!(
                "client: {id} gets {:?}",
                answer.map(|answer| answer.status)
            ));
        }
        sleep(Duration::from_millis(700));
    }
    let crashed = crashed.lock().expect("times");
    let reached = reached.lock().expect("times");
    note(&format!(
        "sound requests served: {}",
        served.load(Ordering::SeqCst)
    ));
    note(&format!(
        "check: {} crashes at {crashed:?} ms",
        crashed.len()
    ));
    note(&format!(
        "check: the request reached servers at {reached:?}"
    ));
    // Retries are the client's attempts; an attempt may reach several servers.
    let late: HashSet<&str> = crashed.get(2).map_or(HashSet::new(), |third| {
        let late = reached.iter().filter(|(at, _)| *at > third + CONTACT);
        late.map(|(_, id)| id.as_str()).collect()
    });
    let late = late.len();
    note(&format!(
        "rule BUDGET: the request reached servers in {late} retries later than {CONTACT} ms after it had \
         crashed the third"
    ));
    late > 3
}
