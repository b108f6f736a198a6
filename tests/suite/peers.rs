//! Tests of membership, freshness and the withdrawal of keys with several instances.

use std::time::Duration;

use basillead::peer::freshness::FRESH_FOR;
use http::{Method, StatusCode};

use crate::workdir::{MANIFEST, OPERATOR_KEY, Process, SMALL_SERVERS, Workdir, wait_within};

/// Time within which a change must take effect; the stated target says "within seconds".
pub const TIMEOUT: Duration = Duration::from_secs(5);

/// Several instances on one platform, with the test manifest in force.
pub struct Cluster {
    _platform: Process,
    pub controls: Vec<Option<Process>>,
    pub entries: Vec<Option<Process>>,
    zones: usize,
}

impl Cluster {
    pub fn start(dir: &Workdir, count: usize, zones: usize) -> Self {
        Self::start_with(dir, count, zones, &[])
    }

    /// Starts the cluster, with further arguments for the platform.
    pub fn start_with(dir: &Workdir, count: usize, zones: usize, args: &[&str]) -> Self {
        let args = [&SMALL_SERVERS[..], args].concat();
        let platform = dir.platform(count, zones, &args);
        let cluster = Self {
            _platform: platform,
            controls: (0..count).map(|n| Some(dir.control(n, zones))).collect(),
            entries: (0..count).map(|n| Some(dir.entry(n, zones))).collect(),
            zones,
        };
        dir.publish(MANIFEST);
        cluster
    }

    /// Grants a key and waits until all entries accept it.
    pub fn grant_key(&self, dir: &Workdir) -> String {
        let key = dir.grant("desk");
        for n in 0..self.entries.len() {
            wait_key(dir, n, &key);
        }
        key
    }

    pub fn kill_entry(&mut self, n: usize) {
        self.entries[n] = None;
    }

    pub fn restart_entry(&mut self, dir: &Workdir, n: usize) {
        self.entries[n] = None;
        self.entries[n] = Some(dir.entry(n, self.zones));
    }

    pub fn restart_control(&mut self, dir: &Workdir, n: usize) {
        self.controls[n] = None;
        self.controls[n] = Some(dir.control(n, self.zones));
    }
}

/// Waits until entry `n` accepts a key.
pub fn wait_key(dir: &Workdir, n: usize, key: &str) {
    wait_within("the key works", TIMEOUT, || accepts_key(dir, n, key));
}

/// The HTTP status of a small request with a key to entry `n`.
pub fn entry_status(dir: &Workdir, n: usize, key: &str) -> Option<StatusCode> {
    let url = format!("{}/look", dir.entry_url(n));
    let answer = dir.call(Method::GET, &url, Some(key), &[], "");
    answer.map(|answer| answer.status())
}

/// Whether entry `n` accepts a key.
pub fn accepts_key(dir: &Workdir, n: usize, key: &str) -> bool {
    entry_status(dir, n, key) == Some(StatusCode::OK)
}

/// The status that control daemon `n` reports; null if it does not answer.
pub fn status(dir: &Workdir, n: usize) -> serde_json::Value {
    let url = format!("{}/operator/status", dir.control_url(n));
    let answer = dir.call(Method::GET, &url, Some(OPERATOR_KEY), &[], "");
    answer.map_or(serde_json::Value::Null, |answer| {
        serde_json::from_slice(answer.body()).expect("JSON")
    })
}

/// Whether control daemon `n` reports exactly `count` fresh daemons.
fn sees_fresh(dir: &Workdir, n: usize, count: usize) -> bool {
    let status = status(dir, n);
    let daemons = status["daemons"].as_array().map_or(&[][..], Vec::as_slice);
    daemons.iter().filter(|item| item["fresh"] == true).count() == count
}

#[test]
fn peers_know_each_other() {
    let dir = Workdir::new("peers");
    let _cluster = Cluster::start(&dir, 4, 2);
    for n in 0..4 {
        wait_within("all daemons are seen", TIMEOUT, || sees_fresh(&dir, n, 8));
    }
}

#[test]
fn peers_refuse_wrong_secret() {
    let dir = Workdir::new("secret");
    let _cluster = Cluster::start(&dir, 2, 2);
    let settings = dir.settings(2, 2);
    let text = std::fs::read_to_string(&settings).expect("settings");
    dir.write("wrong.key", "wrong-secret");
    let text = text.replace("peer.key", "wrong.key");
    let mut list = dir.instances(3, 2);
    list[2]["state"] = "live".into();
    dir.platform_post("instances", &list);
    let settings = dir.write("wrong.toml", &text);
    let args = ["--settings", settings.to_str().expect("a UTF-8 path")];
    let _wrong = dir.spawn(env!("CARGO_BIN_EXE_basillead-entry"), &args, "wrong");
    dir.wait_http(&format!("{}/healthz", dir.entry_url(2)));
    wait_within("the wrong secret is refused", TIMEOUT, || {
        dir.log("wrong").contains("401")
    });
    for n in 0..2 {
        wait_within("the others stay fresh", TIMEOUT, || sees_fresh(&dir, n, 4));
    }
}

/// Guards against a daemon that returns to an older manifest after a restart.
///
/// Each round publishes a manifest and restarts the daemons of one instance, once during an
/// outage of the log; then all entries must hold the accepted revision.
#[test]
fn peers_never_revert_across_restarts() {
    let dir = Workdir::new("restarts");
    let mut cluster = Cluster::start(&dir, 3, 3);
    let key = cluster.grant_key(&dir);
    let mut revision = status(&dir, 0)["revision"].as_u64().expect("a revision");
    for round in 0..3 {
        let manifest = MANIFEST.replace("base = 0", &format!("base = {revision}"));
        dir.publish(&manifest.replace("weight = 2", &format!("weight = {}", round + 3)));
        let accepted = status(&dir, 0)["revision"].as_u64().expect("a revision");
        assert!(accepted > revision);
        revision = accepted;
        let log_is_down = round == 1;
        dir.fault("log", None, log_is_down);
        cluster.restart_entry(&dir, round);
        wait_key(&dir, round, &key);
        if !log_is_down {
            cluster.restart_control(&dir, round);
        }
        dir.fault("log", None, false);
        for n in 0..3 {
            wait_within("the revision is in force everywhere", TIMEOUT, || {
                let status = status(&dir, n);
                let daemons = status["daemons"].as_array().map_or(&[][..], Vec::as_slice);
                let entries = daemons.iter().filter(|item| item["daemon"] == "entry");
                let held = entries.filter(|item| item["revision"] == revision).count();
                held == 3 && status["revision"] == revision
            });
        }
    }
}

/// Withdraws a key in a given state of the log, and checks that all entries refuse it in time.
///
/// Streams with the key must end with an error; another key must go on working.
fn withdraw(name: &str, count: usize, break_log: impl Fn(&Workdir), repair: impl Fn(&Workdir)) {
    let dir = Workdir::new(name);
    let cluster = Cluster::start(&dir, count, 3);
    let (key, other) = (cluster.grant_key(&dir), cluster.grant_key(&dir));
    let streams: Vec<_> = (0..count).map(|n| Stream::open(&dir, n, &key)).collect();
    break_log(&dir);
    let digest = basillead::names::KeyDigest::of(&key).to_string();
    let withdrawn = std::time::Instant::now();
    let output = dir.basillead(&["key", "withdraw", &digest]);
    assert!(output.status.success(), "{}", crate::workdir::show(&output));
    let left = TIMEOUT.saturating_sub(withdrawn.elapsed());
    wait_within("all entries refuse the withdrawn key", left, || {
        (0..count).all(|n| !accepts_key(&dir, n, &key))
    });
    for stream in streams {
        let left = TIMEOUT.saturating_sub(withdrawn.elapsed());
        let text = stream.end(left);
        assert!(text.contains("event: error"), "no error event: {text}");
    }
    for n in 0..count {
        wait_within("an entry still accepts another key", TIMEOUT, || {
            accepts_key(&dir, n, &other)
        });
    }
    repair(&dir);
}

#[test]
fn withdraw_ends_streams() {
    withdraw("withdraw", 3, |_| (), |_| ());
}

#[test]
fn withdraw_log_down_for_one() {
    withdraw(
        "withdraw-one",
        4,
        |dir| dir.fault("log", Some("i1"), true),
        |dir| dir.fault("log", Some("i1"), false),
    );
}

/// A starting entry joins the addresses although the instance list of the others lags behind.
#[test]
fn peers_join_before_listed() {
    let dir = Workdir::new("lag");
    let mut cluster = Cluster::start(&dir, 2, 2);
    for instance in ["i0", "i1"] {
        let faults = serde_json::json!({"lag_ms": 600_000});
        let fault = serde_json::json!({
            "interface": "instances", "instance": instance, "faults": faults,
        });
        dir.platform_post("fault", &fault);
    }
    dir.platform_post("instances", &dir.instances(3, 2));
    cluster.entries.push(Some(dir.entry(2, 2)));
    wait_within("the new entry is in the addresses", TIMEOUT, || {
        let answer = dir.get(&format!("{}/v1/addresses", dir.entry_url(0)));
        let text = answer.map(|answer| String::from_utf8_lossy(answer.body()).into_owned());
        text.is_some_and(|text| text.contains(&dir.entry_url(2)))
    });
}

/// Withdraws a key while the log is down for all; the log takes the withdrawal after the outage.
#[test]
fn withdraw_log_down_for_all() {
    let dir = Workdir::new("withdraw-all");
    let mut cluster = Cluster::start(&dir, 5, 3);
    let (key, other) = (cluster.grant_key(&dir), cluster.grant_key(&dir));
    let streams: Vec<_> = (0..5).map(|n| Stream::open(&dir, n, &key)).collect();
    dir.fault("log", None, true);
    let digest = basillead::names::KeyDigest::of(&key).to_string();
    let mut withdraw = dir.spawn_basillead(&["key", "withdraw", &digest]);
    wait_within("all entries refuse the withdrawn key", TIMEOUT, || {
        (0..5).all(|n| !accepts_key(&dir, n, &key))
    });
    for stream in streams {
        let text = stream.end(TIMEOUT);
        assert!(text.contains("event: error"), "no error event: {text}");
    }
    // Longer than a confirmation of the log's head counts, so that only a majority shows
    // freshness.
    std::thread::sleep(2 * TIMEOUT);
    for n in 0..5 {
        assert!(
            accepts_key(&dir, n, &other),
            "entry {n} refuses a valid key while the log is down"
        );
    }
    // An entry that starts during the outage takes the state from its peers.
    cluster.restart_entry(&dir, 4);
    wait_key(&dir, 4, &other);
    assert!(!accepts_key(&dir, 4, &key));
    // The control daemon that received the withdrawal is killed; others must append it.
    cluster.controls[0] = None;
    withdraw.0.kill().expect("the command line is killed");
    dir.fault("log", None, false);
    wait_within("the log shows the withdrawal", 2 * TIMEOUT, || {
        let status = status(&dir, 1);
        let keys = status["keys"].as_array().map_or(&[][..], Vec::as_slice);
        let mut withdrawn = keys.iter().filter(|item| item["withdrawn"] == true);
        withdrawn.any(|item| item["digest"] == digest.as_str())
    });
    assert!((0..5).all(|n| !accepts_key(&dir, n, &key)));
}

/// Cuts the instances of zone 0 off from the log, and their network links to other zones.
///
/// With `both_ways` unset, only traffic into the zone is cut.
fn cut_zone(dir: &Workdir, count: usize, zones: usize, both_ways: bool) {
    let (inside, outside): (Vec<_>, Vec<_>) = (0..count).partition(|n| n % zones == 0);
    let mut cuts = Vec::new();
    for a in &inside {
        dir.fault("log", Some(&format!("i{a}")), true);
        for b in &outside {
            let (a, b) = (format!("i{a}"), format!("i{b}"));
            cuts.push(serde_json::json!({"from": b, "to": a}));
            if both_ways {
                cuts.push(serde_json::json!({"from": a, "to": b}));
            }
        }
    }
    dir.platform_post("cut", &serde_json::Value::Array(cuts));
}

/// Withdraws a key while one zone is cut off, and checks that all entries refuse it in time.
///
/// Entries of other zones must go on working, and those of the zone must leave the addresses.
/// Once the cut ends, the zone must work again without accepting the key.
fn withdraw_with_zone_cut_off(name: &str, both_ways: bool) {
    let dir = Workdir::new(name);
    let count = 10;
    let cluster = Cluster::start_with(&dir, count, 3, &["--relays"]);
    let (key, other) = (cluster.grant_key(&dir), cluster.grant_key(&dir));
    let streams: Vec<_> = (0..count).map(|n| Stream::open(&dir, n, &key)).collect();
    cut_zone(&dir, count, 3, both_ways);
    let digest = basillead::names::KeyDigest::of(&key).to_string();
    let withdrawn = std::time::Instant::now();
    let mut withdraw = dir.spawn_basillead_at(1, &["key", "withdraw", &digest]);
    wait_within("all entries refuse the withdrawn key", TIMEOUT, || {
        (0..count).all(|n| !accepts_key(&dir, n, &key))
    });
    for stream in streams {
        let left = TIMEOUT.saturating_sub(withdrawn.elapsed());
        let text = stream.end(left);
        assert!(text.contains("event: error"), "no error event: {text}");
    }
    for n in (0..count).filter(|n| n % 3 != 0) {
        assert!(
            accepts_key(&dir, n, &other),
            "entry {n}, outside the cut zone, does not accept a key"
        );
    }
    for n in (0..count).step_by(3) {
        // The entry counts as fresh for up to `FRESH_FOR` after the cut, and its last digest for
        // as long again.
        let left = (2 * FRESH_FOR).saturating_sub(withdrawn.elapsed());
        wait_within("a cut-off entry leaves the addresses", left, || {
            let answer = dir.get(&format!("{}/v1/addresses", dir.entry_url(1)));
            let text = answer.map(|answer| String::from_utf8_lossy(answer.body()).into_owned());
            text.is_some_and(|text| !text.contains(&dir.entry_url(n)))
        });
    }
    dir.platform_post("cut", &serde_json::json!([]));
    for n in (0..count).step_by(3) {
        dir.fault("log", Some(&format!("i{n}")), false);
    }
    for n in 0..count {
        wait_within("the zone works again", 2 * TIMEOUT, || {
            accepts_key(&dir, n, &other)
        });
        assert!(!accepts_key(&dir, n, &key));
    }
    assert!(withdraw.wait(2 * TIMEOUT).success());
}

#[test]
fn withdraw_zone_cut_off() {
    withdraw_with_zone_cut_off("cut", true);
}

#[test]
fn withdraw_zone_receives_nothing() {
    withdraw_with_zone_cut_off("deaf", false);
}

/// A long streamed completion, read on its own thread.
pub struct Stream(
    std::thread::JoinHandle<String>,
    std::sync::Arc<std::sync::Mutex<String>>,
);

impl Stream {
    /// Opens a stream at entry `n` and waits for its first event.
    pub fn open(dir: &Workdir, n: usize, key: &str) -> Self {
        Self::open_with_tokens(dir, n, key, 20_000)
    }

    /// Opens a stream of `tokens` tokens and waits for its first event.
    pub fn open_with_tokens(dir: &Workdir, n: usize, key: &str, tokens: u32) -> Self {
        use std::io::{Read as _, Write as _};
        let url = dir.entry_url(n);
        let address = url.trim_start_matches("http://");
        let mut socket = std::net::TcpStream::connect(address).expect("a connection");
        let body = serde_json::json!({
            "model": "stroke-1", "prompt": "a b", "max_tokens": tokens, "stream": true,
        })
        .to_string();
        let head = format!(
            "POST /v1/completions HTTP/1.1\r\nhost: {address}\r\nauthorization: Bearer {key}\r\n\
             content-length: {}\r\nconnection: close\r\n\r\n{body}",
            body.len()
        );
        socket.write_all(head.as_bytes()).expect("a request");
        let text = std::sync::Arc::new(std::sync::Mutex::new(String::new()));
        let shared = std::sync::Arc::clone(&text);
        let reader = std::thread::spawn(move || {
            let mut buf = [0; 4_096];
            while let Ok(count @ 1..) = socket.read(&mut buf) {
                let part = String::from_utf8_lossy(&buf[..count]);
                shared.lock().expect("a lock").push_str(&part);
            }
            shared.lock().expect("a lock").clone()
        });
        let stream = Self(reader, text);
        wait_within("the stream begins", TIMEOUT, || {
            stream.text().contains("data: ")
        });
        stream
    }

    /// The text received so far.
    pub fn text(&self) -> String {
        self.1.lock().expect("a lock").clone()
    }

    /// Waits for the stream to end, and returns all text received.
    pub fn end(self, limit: Duration) -> String {
        wait_within("the stream ends", limit, || self.0.is_finished());
        self.0.join().expect("the reader")
    }
}
