//! With more than a dozen instances, at most twelve read the log; the others learn from peers.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::workdir::{MANIFEST, Process, Workdir, wait_within};

/// Number of instances, more than the twelve that may read the log.
const INSTANCES: usize = 18;

/// Number of calls to the configuration log, by instance number.
fn log_calls(dir: &Workdir) -> BTreeMap<String, u64> {
    let calls: BTreeMap<String, u64> = dir.platform_get("calls");
    let logs = calls.into_iter().filter_map(|(name, count)| {
        let instance = name.strip_prefix("log/config/i")?;
        Some((instance.to_owned(), count))
    });
    logs.collect()
}

/// Number of instances that follow the log: a reader polls it every 400 ms, so 12 times in 5 s.
///
/// The threshold of 6 excludes instances whose peers were briefly silent: these read once or
/// twice.
fn count_readers(dir: &Workdir) -> usize {
    let before = log_calls(dir);
    std::thread::sleep(Duration::from_secs(5));
    let after = log_calls(dir);
    let is_reader =
        |(name, count): &(&String, &u64)| **count >= before.get(*name).unwrap_or(&0) + 6;
    after.iter().filter(is_reader).count()
}

#[test]
fn readers_few_and_all_up_to_date() {
    let dir = Workdir::new("readers");
    let _platform = dir.platform(INSTANCES, 3, &[]);
    let _control = dir.control(0, 3);
    let entries: Vec<Process> = (0..INSTANCES).map(|n| dir.entry(n, 3)).collect();
    dir.publish(MANIFEST);
    let published = Instant::now();
    let holds_all = || {
        let status = dir.basillead(&["status", "--json"]);
        let status: serde_json::Value =
            serde_json::from_slice(&status.stdout).expect("the status as JSON");
        let daemons = status["daemons"].as_array().expect("daemons");
        let holds = |daemon: &&serde_json::Value| {
            daemon["daemon"] == "entry" && daemon["revision"] == 1 && daemon["fresh"] == true
        };
        daemons.iter().filter(holds).count() == INSTANCES
    };
    let left = Duration::from_secs(5).saturating_sub(published.elapsed());
    wait_within(
        "all entries hold the revision and are fresh",
        left,
        holds_all,
    );
    let reading = count_readers(&dir);
    assert!(
        (1..=12).contains(&reading),
        "{reading} instances read the log"
    );
    drop(entries);
}
