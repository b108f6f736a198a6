//! Configuration changes while the log is faulty.

use std::time::Duration;

use basillead::wire::{LogPage, Published, Status, Verdict};
use http::Method;
use serde_json::json;

use crate::lease::wait_held;
use crate::workdir::{MANIFEST, OPERATOR_KEY, Workdir, wait_until, wait_within};

/// Time within which daemons must agree on a configuration.
const AGREEMENT_TIMEOUT: Duration = Duration::from_secs(5);

/// Status of control daemon `n`; none without a valid response.
fn status(dir: &Workdir, n: usize) -> Option<Status> {
    let url = format!("{}/operator/status", dir.control_url(n));
    let answer = dir.call(Method::GET, &url, Some(OPERATOR_KEY), &[], "")?;
    serde_json::from_slice(answer.body()).ok()
}

/// Submits a manifest to control daemon `n` and returns the verdict, if any.
fn submit(dir: &Workdir, n: usize, id: &str, base: u64, text: &str) -> Option<Verdict> {
    let record = json!({"id": id, "body": {"kind": "manifest", "base": base, "text": text}});
    let url = format!("{}/operator/records", dir.control_url(n));
    let answer = dir.call(
        Method::POST,
        &url,
        Some(OPERATOR_KEY),
        &[],
        &record.to_string(),
    );
    let published: Published = serde_json::from_slice(answer?.body()).ok()?;
    Some(published.verdict)
}

/// Replaces the faults of the log.
fn set_log_faults(dir: &Workdir, faults: &serde_json::Value) {
    dir.platform_post("fault", &json!({"interface": "log", "faults": faults}));
}

#[test]
fn config_operators_race() {
    let dir = Workdir::new("race");
    let _platform = dir.platform(2, 2, &[]);
    let _controls = [dir.control(0, 2), dir.control(1, 2)];
    let _entries = [dir.entry(0, 2), dir.entry(1, 2)];
    let mut base = 0;
    for race in 0..10 {
        let submit = |n: usize| {
            let text = MANIFEST.replace("weight = 2", &format!("weight = {}", 2 + n));
            let text = text.replace("base = 0", &format!("base = {base}"));
            submit(&dir, n, &format!("r{race}-{n}"), base, &text)
        };
        let verdicts = std::thread::scope(|scope| {
            let calls = [0, 1].map(|n| scope.spawn(move || submit(n)));
            calls.map(|call| call.join().expect("a call").expect("a verdict"))
        });
        let accepted: Vec<u64> = verdicts
            .iter()
            .filter_map(|verdict| match verdict {
                Verdict::Accepted { revision, .. } => Some(*revision),
                _ => None,
            })
            .collect();
        let conflicts = verdicts
            .iter()
            .filter(|v| matches!(v, Verdict::Conflict { .. }));
        assert_eq!((accepted.len(), conflicts.count()), (1, 1), "{verdicts:?}");
        base = accepted[0];
    }
    wait_within(
        "both daemons have the same configuration",
        AGREEMENT_TIMEOUT,
        || {
            let all = [0, 1].map(|n| status(&dir, n).map(|s| (s.revision, s.manifest)));
            all[0].is_some() && all[0] == all[1]
        },
    );
}

#[test]
fn config_faulty_appends() {
    let dir = Workdir::new("faulty");
    let _platform = dir.platform(1, 1, &[]);
    let _control = dir.control(0, 1);
    let _entry = dir.entry(0, 1);
    let cases = [
        ("answers lost", json!({"lose_answers": 2})),
        ("appends late", json!({"late_ms": 1500})),
        ("slow", json!({"slow_ms": 300})),
    ];
    let mut base = 0;
    for (case, faults) in cases {
        set_log_faults(&dir, &faults);
        let verdict = submit(&dir, 0, case, base, MANIFEST);
        set_log_faults(&dir, &json!({}));
        let Some(Verdict::Accepted { revision, .. }) = verdict else {
            panic!("{case}: {verdict:?}");
        };
        base = revision;
    }
    // Repeated and late copies of earlier manifests must have no effect.
    std::thread::sleep(Duration::from_secs(2));
    assert_eq!(status(&dir, 0).map(|s| s.revision), Some(base));
}

#[test]
fn config_log_down_and_back() {
    let dir = Workdir::new("down");
    let _platform = dir.platform(1, 1, &[]);
    let _control = dir.control(0, 1);
    let _entry = dir.entry(0, 1);
    set_log_faults(&dir, &json!({"down": true}));
    let verdict = std::thread::scope(|scope| {
        let call = scope.spawn(|| submit(&dir, 0, "m", 0, MANIFEST));
        std::thread::sleep(Duration::from_secs(3));
        set_log_faults(&dir, &json!({}));
        call.join().expect("a call")
    });
    assert!(
        matches!(verdict, Some(Verdict::Accepted { .. })),
        "{verdict:?}"
    );
}

#[test]
fn config_survives_retention() {
    let dir = Workdir::new("retention");
    let _platform = dir.platform(2, 2, &[]);
    let first = dir.control(0, 2);
    let _entries = [dir.entry(0, 2), dir.entry(1, 2)];
    wait_held(&dir, 0, "servers");
    for stream in ["config", "leases"] {
        dir.platform_post("retain", &json!({"stream": stream, "keep": 12}));
    }
    let mut base = 0;
    let page = || dir.platform_get::<LogPage>("log/config?from=0");
    let mut change = 0;
    while page().first < 40 {
        let text = MANIFEST.replace("base = 0", &format!("base = {base}"));
        let verdict = submit(&dir, 0, &format!("c{change}"), base, &text);
        let Some(Verdict::Accepted { revision, .. }) = verdict else {
            panic!("{verdict:?}");
        };
        (base, change) = (revision, change + 1);
        // Snapshots are checked once a second; this keeps changes below 12 (`keep`) a second.
        std::thread::sleep(Duration::from_millis(200));
    }
    let want = status(&dir, 0).map(|s| (s.revision, s.manifest));
    // A daemon that starts now can no longer read the first records.
    let _second = dir.control(1, 2);
    wait_within(
        "the second daemon restored the configuration",
        AGREEMENT_TIMEOUT,
        || status(&dir, 1).map(|s| (s.revision, s.manifest)) == want,
    );
    wait_until("leases expired", || {
        dir.platform_get::<LogPage>("log/leases?from=0").first > 0
    });
    drop(first);
    wait_held(&dir, 1, "servers");
    let text = MANIFEST.replace("base = 0", &format!("base = {base}"));
    let verdict = submit(&dir, 1, "last", base, &text);
    assert!(
        matches!(verdict, Some(Verdict::Accepted { .. })),
        "{verdict:?}"
    );
}
