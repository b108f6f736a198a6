//! Graceful shutdown under load.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use http::{Method, StatusCode};

use crate::peers::{Cluster, Stream, accepts_key};
use crate::workdir::{Workdir, wait_within};

/// An address answer that a caller uses until it expires.
struct CachedAddresses {
    urls: Vec<String>,
    until_ms: u64,
}

fn addresses(dir: &Workdir, n: usize) -> Option<CachedAddresses> {
    let answer = dir.get(&format!("{}/v1/addresses", dir.entry_url(n)))?;
    let json: serde_json::Value = serde_json::from_slice(answer.body()).ok()?;
    let urls = json["addresses"].as_array()?.iter();
    Some(CachedAddresses {
        urls: urls
            .filter_map(|address| address["url"].as_str().map(str::to_owned))
            .collect(),
        until_ms: json["until_ms"].as_u64()?,
    })
}

/// Calls the first cached address until `stop` is set; returns the number of calls.
///
/// The addresses come from entry `source`. Calls without status 200 are counted in `failed`.
fn call_until_stopped(
    dir: &Workdir,
    key: &str,
    source: usize,
    stop: &AtomicBool,
    failed: &AtomicU64,
) -> u64 {
    let mut calls = 0;
    let mut cached = addresses(dir, source).expect("addresses");
    while !stop.load(Ordering::Relaxed) {
        if basillead::util::unix_ms() >= cached.until_ms {
            cached = addresses(dir, source).expect("addresses");
        }
        let url = format!("{}/look", cached.urls[0]);
        let answer = dir.call(Method::GET, &url, Some(key), &[], "");
        if answer.is_none_or(|answer| answer.status() != StatusCode::OK) {
            failed.fetch_add(1, Ordering::Relaxed);
        }
        calls += 1;
        std::thread::sleep(Duration::from_millis(5));
    }
    calls
}

#[test]
fn drain_under_load() {
    let dir = Arc::new(Workdir::new("drain"));
    let mut cluster = Cluster::start(&dir, 3, 1);
    let key = cluster.grant_key(&dir);
    wait_within(
        "all entries are in the address answer",
        Duration::from_secs(5),
        || addresses(&dir, 1).is_some_and(|cached| cached.urls.len() == 3),
    );
    let stop = Arc::new(AtomicBool::new(false));
    let failed = Arc::new(AtomicU64::new(0));
    let callers: Vec<_> = (0..6)
        .map(|n| {
            let (dir, key) = (Arc::clone(&dir), key.clone());
            let (stop, failed) = (Arc::clone(&stop), Arc::clone(&failed));
            std::thread::spawn(move || call_until_stopped(&dir, &key, 1 + n % 2, &stop, &failed))
        })
        .collect();
    // These streams run for about 6 s, longer than address answers are valid.
    let streams: Vec<_> = (0..3)
        .map(|_| Stream::open_with_tokens(&dir, 0, &key, 3_000))
        .collect();

    let mut leaving = cluster.entries[0].take().expect("entry 0 runs");
    leaving.signal("TERM");
    let signalled = Instant::now();
    wait_within(
        "the leaving entry is in no address answer",
        Duration::from_secs(5),
        || {
            let is_gone = |cached: CachedAddresses| !cached.urls.contains(&dir.entry_url(0));
            [1, 2]
                .into_iter()
                .all(|n| addresses(&dir, n).is_some_and(is_gone))
        },
    );
    assert!(
        accepts_key(&dir, 0, &key),
        "the entry stopped accepting too early"
    );
    let status = leaving.wait(Duration::from_secs(60));
    assert!(status.success());
    for stream in streams {
        let text = stream.end(Duration::from_secs(1));
        assert!(
            text.contains("data: [DONE]"),
            "a stream was cut off {:?} after the signal",
            signalled.elapsed()
        );
        assert!(!text.contains("event: error"));
    }
    stop.store(true, Ordering::Relaxed);
    let calls: u64 = callers
        .into_iter()
        .map(|caller| caller.join().expect("a caller"))
        .sum();
    assert!(calls > 100, "only {calls} calls, expected over 100");
    assert_eq!(failed.load(Ordering::Relaxed), 0, "of {calls} calls");
}
