//! Idempotency keys: a call runs at most once, at whichever entries it arrives and also when
//! its owner is killed.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use http::{Method, Response, StatusCode};

use crate::peers::{Cluster, wait_key};
use crate::workdir::{Workdir, wait_within};

/// The result of a call, as its caller sees it.
#[derive(Debug, PartialEq)]
enum CallResult {
    /// The service answered; the value is its count of runs.
    Ran(u64),
    /// The call was refused: the problem's title and whether the call ran.
    Refused(String, String),
    /// No answer came.
    NoAnswer,
}

fn call_result(answer: Option<Response<bytes::Bytes>>) -> CallResult {
    let Some(answer) = answer else {
        return CallResult::NoAnswer;
    };
    let body: serde_json::Value = serde_json::from_slice(answer.body()).expect("JSON");
    if answer.status() == StatusCode::OK {
        return CallResult::Ran(body["run"].as_u64().expect("a count"));
    }
    let text = |name: &str| body[name].as_str().expect("a text").to_owned();
    CallResult::Refused(text("title"), text("run"))
}

/// Calls `/orders` at entry `n` with the idempotency key `idem_key`.
fn order(dir: &Workdir, n: usize, key: &str, idem_key: &str, body: &str) -> CallResult {
    let url = format!("{}/orders", dir.entry_url(n));
    let headers = [("idempotency-key", idem_key)];
    call_result(dir.call(Method::POST, &url, Some(key), &headers, body))
}

/// Limit for entries to list each other after a start.
const LIST_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns the incarnation of entry 0, the owner, as entry `n` lists it.
fn listed_owner(dir: &Workdir, n: usize) -> Option<String> {
    let answer = dir.get(&format!("{}/v1/addresses", dir.entry_url(n)));
    let answer = answer.filter(|answer| answer.status() == StatusCode::OK)?;
    let addresses: serde_json::Value = serde_json::from_slice(answer.body()).expect("JSON");
    let url = dir.entry_url(0);
    let list = addresses["addresses"].as_array()?;
    let owner = list.iter().find(|one| one["url"] == url.as_str())?;
    Some(owner["incarnation"].as_str().expect("a text").to_owned())
}

/// Returns the incarnation of entry 0, the owner, once it and the entries `others` list it.
fn wait_owner(dir: &Workdir, others: &[usize]) -> String {
    let mut found = None;
    wait_within("the owner lists itself", LIST_TIMEOUT, || {
        found = listed_owner(dir, 0);
        found.is_some()
    });
    // An entry can forward a call only once it knows the owner's incarnation.
    for &n in others {
        let what = format!("entry {n} lists the owner's incarnation");
        wait_within(&what, LIST_TIMEOUT, || listed_owner(dir, n) == found);
    }
    found.expect("found")
}

fn runs(dir: &Workdir, body: &str) -> u64 {
    let runs: BTreeMap<String, u64> = dir.platform_get("runs");
    runs.get(body).copied().unwrap_or(0)
}

#[test]
fn idempotency_at_wrong_entries() {
    let dir = Workdir::new("once");
    let cluster = Cluster::start(&dir, 3, 3);
    let key = cluster.grant_key(&dir);
    let owner = wait_owner(&dir, &[1, 2]);
    let idem_key = format!("{owner}.order-1");
    for n in [1, 0, 2, 1] {
        assert_eq!(order(&dir, n, &key, &idem_key, "first"), CallResult::Ran(1));
    }
    assert_eq!(runs(&dir, "first"), 1);
    let answer = order(&dir, 1, &key, &idem_key, "other");
    let refused = |kind: &str, run: &str| CallResult::Refused(kind.to_owned(), run.to_owned());
    assert_eq!(answer, refused("key-reused", "not-run"));
    let unbound = order(&dir, 1, &key, "order-1", "other");
    assert_eq!(unbound, refused("key-unbound", "not-run"));
    let unknown = order(&dir, 1, &key, "0123456789abcdef01234567.1", "other");
    assert_eq!(unknown, refused("outcome-unknown", "unknown"));
    assert_eq!(runs(&dir, "other"), 0);
}

#[test]
fn idempotency_at_two_entries_at_once() {
    let dir = Arc::new(Workdir::new("both"));
    let cluster = Cluster::start_with(&dir, 3, 3, &["--work-ms", "300"]);
    let key = cluster.grant_key(&dir);
    let owner = wait_owner(&dir, &[1, 2]);
    for round in 0..5 {
        let idem_key = format!("{owner}.order-{round}");
        let body = format!("order {round}");
        let callers: Vec<_> = [0, 1, 2, 1]
            .into_iter()
            .map(|n| {
                let (dir, key) = (Arc::clone(&dir), key.clone());
                let (idem_key, body) = (idem_key.clone(), body.clone());
                std::thread::spawn(move || order(&dir, n, &key, &idem_key, &body))
            })
            .collect();
        for caller in callers {
            assert_eq!(caller.join().expect("a caller"), CallResult::Ran(1));
        }
        assert_eq!(runs(&dir, &body), 1);
    }
}

#[test]
fn idempotency_after_owner_is_killed() {
    let dir = Arc::new(Workdir::new("killed"));
    let mut cluster = Cluster::start_with(&dir, 3, 3, &["--work-ms", "400"]);
    let key = cluster.grant_key(&dir);
    // Kill times in milliseconds after the call was sent: before, during and after the run.
    for (round, delay_ms) in [0, 5, 50, 200, 395, 405, 600].into_iter().enumerate() {
        let owner = wait_owner(&dir, &[1, 2]);
        let idem_key = format!("{owner}.order-{round}");
        let body = format!("order {round}");
        let calling = {
            let (dir, key) = (Arc::clone(&dir), key.clone());
            let (idem_key, body) = (idem_key.clone(), body.clone());
            std::thread::spawn(move || {
                let url = format!("{}/orders", dir.entry_url(0));
                let headers = [("idempotency-key", idem_key.as_str())];
                dir.call(Method::POST, &url, Some(&key), &headers, &body)
                    .map(drop)
            })
        };
        std::thread::sleep(Duration::from_millis(delay_ms));
        cluster.kill_entry(0);
        let mut refused_not_run = false;
        for n in [1, 2] {
            match order(&dir, n, &key, &idem_key, &body) {
                CallResult::Refused(kind, run) => {
                    assert_eq!(kind, "outcome-unknown");
                    refused_not_run |= run == "not-run";
                }
                other => panic!("after the owner was killed: {other:?}"),
            }
        }
        cluster.restart_entry(&dir, 0);
        wait_key(&dir, 0, &key);
        let again = order(&dir, 0, &key, &idem_key, &body);
        assert!(matches!(&again, CallResult::Refused(kind, _) if kind == "outcome-unknown"));
        let _ = calling.join().expect("the caller");
        let count = runs(&dir, &body);
        assert!(count <= 1, "ran {count} times, killed after {delay_ms} ms");
        assert!(
            !(refused_not_run && count > 0),
            "refused as not-run, but the call ran"
        );
    }
}

#[test]
fn idempotency_outlives_its_caller() {
    let dir = Workdir::new("caller");
    let cluster = Cluster::start_with(&dir, 2, 2, &["--work-ms", "500"]);
    let key = cluster.grant_key(&dir);
    let idem_key = format!("{}.order", wait_owner(&dir, &[1]));
    let url = format!("{}/orders", dir.entry_url(0));
    let request = http::Request::builder()
        .method(Method::POST)
        .uri(&url)
        .header("authorization", format!("Bearer {key}"))
        .header("idempotency-key", &idem_key)
        .body(bytes::Bytes::from("left"))
        .expect("a request");
    let limit = Duration::from_millis(150);
    let left = dir.runtime.block_on(dir.client.fetch(request, limit));
    assert!(left.is_err(), "the caller leaves before the answer");
    assert_eq!(order(&dir, 1, &key, &idem_key, "left"), CallResult::Ran(1));
    assert_eq!(runs(&dir, "left"), 1);
}
