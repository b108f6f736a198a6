//! Graceful shutdown under load.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use http::{Method, StatusCode};

use crate::peers::{Cluster, Stream, works};
use crate::workdir::{Workdir, wait_within};

/// An address answer as a caller keeps it.
struct Kept {
    urls: Vec<String>,
    until_ms: u64,
}

fn addresses(dir: &Workdir, n: usize) -> Option<Kept> {
    let answer = dir.get(&format!("{}/v1/addresses", dir.entry_url(n)))?;
    let json: serde_json::Value = serde_json::from_slice(answer.body()).ok()?;
    let urls = json["addresses"].as_array()?.iter();
    Some(Kept {
        urls: urls
            .filter_map(|one| one["url"].as_str().map(str::to_owned))
            .collect(),
        until_ms: json["until_ms"].as_u64()?,
    })
}

/// Calls the first address of a kept answer until told to stop; counts calls that failed.
fn call(dir: &Workdir, key: &str, ask: usize, stop: &AtomicBool, failed: &AtomicU64) -> u64 {
    let mut calls = 0;
    let mut kept = addresses(dir, ask).expect("addresses");
    while !stop.load(Ordering::Relaxed) {
        if basillead::util::unix_ms() >= kept.until_ms {
            kept = addresses(dir, ask).expect("addresses");
        }
        let url = format!("{}/look", kept.urls[0]);
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
    let key = cluster.key(&dir);
    wait_within("all entries are named", Duration::from_secs(5), || {
        addresses(&dir, 1).is_some_and(|kept| kept.urls.len() == 3)
    });
    let stop = Arc::new(AtomicBool::new(false));
    let failed = Arc::new(AtomicU64::new(0));
    let callers: Vec<_> = (0..6)
        .map(|n| {
            let (dir, key) = (Arc::clone(&dir), key.clone());
            let (stop, failed) = (Arc::clone(&stop), Arc::clone(&failed));
            std::thread::spawn(move || call(&dir, &key, 1 + n % 2, &stop, &failed))
        })
        .collect();
    // These streams run for about 6 s, longer than address answers hold.
    let streams: Vec<_> = (0..3).map(|_| Stream::long(&dir, 0, &key, 3_000)).collect();

    let mut leaving = cluster.entries[0].take().expect("it runs");
    leaving.signal("TERM");
    let told = Instant::now();
    wait_within("it leaves the addresses", Duration::from_secs(5), || {
        let left = |kept: Kept| !kept.urls.contains(&dir.entry_url(0));
        [1, 2]
            .into_iter()
            .all(|n| addresses(&dir, n).is_some_and(left))
    });
    assert!(works(&dir, 0, &key), "it stopped accepting too early");
    let status = leaving.wait(Duration::from_secs(60));
    assert!(status.success());
    for stream in streams {
        let text = stream.end(Duration::from_secs(1));
        assert!(
            text.contains("data: [DONE]"),
            "cut after {:?}",
            told.elapsed()
        );
        assert!(!text.contains("event: error"));
    }
    stop.store(true, Ordering::Relaxed);
    let calls: u64 = callers
        .into_iter()
        .map(|caller| caller.join().expect("a caller"))
        .sum();
    assert!(calls > 100, "only {calls} calls");
    assert_eq!(failed.load(Ordering::Relaxed), 0, "of {calls} calls");
}
