//! Usage reports under faults: one value per window, and no token missing.

use std::time::Duration;

use basillead::wire::{LogPage, UsageStatus};
use http::{Method, StatusCode};

use crate::cluster::{Cluster, SERVERS, TAKEOVER_TIMEOUT, control, entry};
use crate::workdir::{MANIFEST, Process, Workdir, show, wait_until, wait_within};

#[test]
fn usage_reports_every_token() {
    let dir = Workdir::new("usage");
    let cluster = Cluster::start(&dir, 2, "");
    cluster.load(2);
    cluster.expect_all_reported();
    let output = dir.basillead(&["usage", "--json"]);
    let status: UsageStatus = serde_json::from_slice(&output.stdout).expect("JSON");
    assert!(status.late.is_empty() && status.expired.is_empty() && status.uncertain.is_empty());
    let first = cluster.reports()[0].window.to_string();
    assert!(
        show(&dir.basillead(&["usage"])).contains(&format!("{first} reported desk tokens_out"))
    );
}

/// Kills the lease holder at a failpoint and its successor at the same one, then restarts both.
fn control_killed_at(step: &str) {
    let dir = Workdir::new("usage");
    let failpoint = format!("{step}=1*return(abort)");
    let mut cluster = Cluster::start(&dir, 2, &failpoint);
    wait_within(
        "both control daemons are killed",
        TAKEOVER_TIMEOUT + TAKEOVER_TIMEOUT,
        || {
            assert!(cluster.complete(0, 5));
            let mut controls = cluster.controls.iter_mut();
            controls.all(|control| control.0.try_wait().expect("a child").is_some())
        },
    );
    cluster.controls = (0..2).map(|n| control(&dir, n, "")).collect();
    cluster.load(1);
    cluster.expect_all_reported();
}

#[test]
fn usage_control_killed_before_close() {
    control_killed_at("usage-before-close");
}

#[test]
fn usage_control_killed_after_append() {
    control_killed_at("usage-after-append");
}

#[test]
fn usage_control_killed_before_report() {
    control_killed_at("usage-before-report");
}

#[test]
fn usage_control_killed_after_report() {
    control_killed_at("usage-after-report");
}

#[test]
fn usage_holder_frozen_before_report() {
    let dir = Workdir::new("usage");
    let cluster = Cluster::start(&dir, 2, "usage-before-report=2*off->1*return(pause 500)");
    let mut holder = None;
    wait_until("a holder reaches the failpoint", || {
        assert!(cluster.complete(0, 5));
        let paused = |n: &usize| dir.log(&format!("control{n}")).contains("failpoint");
        holder = (0..2).find(paused);
        holder.is_some()
    });
    let holder = holder.expect("a holder");
    cluster.controls[holder].signal("STOP");
    let successor = 1 - holder;
    wait_within("the successor reports", TAKEOVER_TIMEOUT, || {
        assert!(cluster.complete(0, 5));
        cluster.reporter() == Some(successor)
    });
    cluster.controls[holder].signal("CONT");
    cluster.load(4);
    cluster.expect_all_reported();
    let reporters = cluster.reporters();
    let first = reporters.iter().position(|n| *n == successor);
    let after = &reporters[first.expect("the successor reported")..];
    assert!(
        !after.contains(&holder),
        "reports interleave: {reporters:?}"
    );
}

#[test]
fn usage_answers_lost() {
    let dir = Workdir::new("usage");
    let cluster = Cluster::start(&dir, 2, "");
    for _ in 0..3 {
        let lost = serde_json::json!({"lose_answers": 4});
        cluster.set_faults("log", None, &lost);
        cluster.set_faults("usage", None, &lost);
        cluster.load(1);
    }
    cluster.expect_all_reported();
    let windows: Vec<u64> = cluster
        .reports()
        .iter()
        .map(|report| report.window)
        .collect();
    let mut distinct = windows.clone();
    distinct.dedup();
    assert!(distinct.len() < windows.len(), "no report was repeated");
}

#[test]
fn usage_log_late_then_down() {
    let dir = Workdir::new("usage");
    let cluster = Cluster::start(&dir, 2, "");
    let faults = [
        (serde_json::json!({"late_ms": 2_500}), 2),
        (serde_json::json!({"down": true}), 4),
    ];
    for (fault, windows) in faults {
        cluster.set_faults("log", None, &fault);
        for _ in 0..windows * 4 {
            // Entries may refuse requests while they cannot verify that their state is fresh.
            for n in 0..2 {
                let _ = cluster.complete(n, 10);
            }
            std::thread::sleep(Duration::from_millis(400));
        }
        cluster.set_faults("log", None, &serde_json::json!({}));
        cluster.load(1);
    }
    cluster.expect_all_reported();
}

/// Kills an entry at a failpoint of its third append, while its peers hold copies of its counters.
fn entry_killed_at(step: &str) {
    let dir = Workdir::new("usage");
    let mut cluster = Cluster::start(&dir, 3, "");
    cluster.entries[0].signal("TERM");
    assert!(cluster.entries[0].wait(TAKEOVER_TIMEOUT).success());
    let paused = format!("{step}=2*off->1*return(pause 30000)");
    cluster.entries[0] = entry(&dir, 0, &paused);
    wait_until("the entry reaches the failpoint", || {
        cluster.complete(0, 10);
        // Leaves the entry time to send the copies; no request is in flight during the append.
        std::thread::sleep(Duration::from_millis(1_500));
        dir.log("entry0").contains("failpoint")
    });
    cluster.entries[0].signal("KILL");
    cluster.entries[0].wait(TAKEOVER_TIMEOUT);
    cluster.entries[0] = entry(&dir, 0, "");
    cluster.load(1);
    cluster.expect_all_reported();
}

#[test]
fn usage_entry_killed_before_append() {
    entry_killed_at("usage-before-counters");
}

#[test]
fn usage_entry_killed_after_append() {
    entry_killed_at("usage-after-counters");
}

#[test]
fn usage_entry_killed_midstream() {
    const TOKENS: u32 = 3_000;
    let dir = Workdir::new("usage");
    let mut cluster = Cluster::start(&dir, 2, "");
    let completed = cluster.generated();
    std::thread::scope(|scope| {
        let stream = scope.spawn(|| cluster.complete(0, TOKENS));
        // Longer than the maximum interval between two records.
        std::thread::sleep(Duration::from_secs(3));
        cluster.entries[0].signal("KILL");
        assert!(!stream.join().expect("a thread"));
    });
    let mut generated = 0;
    wait_until("the engine stops generating", || {
        let before = std::mem::replace(&mut generated, cluster.generated());
        std::thread::sleep(Duration::from_millis(500));
        before == generated
    });
    let lost = generated - completed;
    cluster.entries[0] = entry(&dir, 0, "");
    wait_within(
        "the tokens of complete requests reported",
        TAKEOVER_TIMEOUT,
        || cluster.reported() == completed,
    );
    cluster.check_reports();
    let uncertain = cluster.uncertain();
    assert_eq!(uncertain.len(), 1, "{uncertain:?}");
    assert_eq!(
        (uncertain[0].requests, uncertain[0].tokens),
        (1, u64::from(TOKENS))
    );
    assert!(
        lost > 0 && lost <= uncertain[0].tokens,
        "{lost} tokens not reported, {uncertain:?}"
    );
}

#[test]
fn usage_survives_retention() {
    let dir = Workdir::new("usage");
    let mut cluster = Cluster::start(&dir, 2, "");
    let retention = serde_json::json!({"stream": "usage", "keep": 40});
    dir.platform_post("retain", &retention);
    wait_until("the first records have expired", || {
        cluster.load(1);
        let page: LogPage = dir.platform_get("log/usage");
        page.first > 20
    });
    for control in &mut cluster.controls {
        control.signal("KILL");
        control.wait(TAKEOVER_TIMEOUT);
    }
    // Both start from a snapshot, as the first records have expired.
    cluster.controls = (0..2).map(|n| control(&dir, n, "")).collect();
    cluster.load(2);
    let all_reported = || cluster.reported() == cluster.generated();
    wait_within("all tokens reported", TAKEOVER_TIMEOUT, all_reported);
    let mut reported = Vec::new();
    for report in cluster.reports() {
        reported.push(serde_json::to_string(&report).expect("JSON"));
    }
    reported.dedup();
    let replayed = cluster.replay();
    assert!(replayed.len() < reported.len(), "no report has expired");
    assert!(reported.ends_with(&replayed), "{reported:?} {replayed:?}");
}

/// Value of a metric of entry 0, summed over its labels.
fn metric(dir: &Workdir, name: &str) -> f64 {
    let answer = dir.get(&format!("{}/metrics", dir.entry_url(0)));
    let body = answer.expect("an answer").into_body();
    let text = String::from_utf8_lossy(&body).into_owned();
    let lines = text.lines().filter(|line| line.starts_with(name));
    let value = |line: &str| {
        line.rsplit(' ')
            .next()
            .and_then(|value| value.parse::<f64>().ok())
    };
    lines.filter_map(value).sum()
}

#[test]
#[ignore = "a measurement; prints its figures"]
fn usage_measure_appends() {
    const PERIOD: Duration = Duration::from_secs(20);
    let dir = Workdir::new("usage");
    let _platform = dir.platform(3, 1, &SERVERS);
    let _control = control(&dir, 0, "");
    let _entries: Vec<Process> = (0..3).map(|n| entry(&dir, n, "")).collect();
    let tenants: Vec<String> = (0..8).map(|n| format!("tenant-{n}")).collect();
    let mut manifest = format!("{MANIFEST}\n[usage]\nwindow_s = 60\n");
    for tenant in &tenants {
        let table = format!("[[tenants]]\nname = \"{tenant}\"\n");
        manifest.push_str(&table);
    }
    dir.publish(&manifest);
    let keys: Vec<String> = tenants.iter().map(|tenant| dir.grant(tenant)).collect();
    let complete = |key: &str| {
        let url = format!("{}/v1/completions", dir.entry_url(0));
        let body = r#"{"model":"stroke-1","prompt":"a b","max_tokens":10}"#;
        let answer = dir.call(Method::POST, &url, Some(key), &[], body);
        answer.is_some_and(|answer| answer.status() == StatusCode::OK)
    };
    for key in &keys {
        wait_until("the key is accepted", || complete(key));
    }
    for (name, is_loaded) in [("at rest", false), ("under load", true)] {
        std::thread::sleep(Duration::from_secs(3));
        let names = ["basillead_usage_records", "basillead_usage_record_bytes"];
        let before = names.map(|name| metric(&dir, name));
        let until = std::time::Instant::now() + PERIOD;
        let mut requests = 0_u32;
        while std::time::Instant::now() < until {
            if is_loaded {
                for key in &keys {
                    requests += u32::from(complete(key));
                }
            } else {
                std::thread::sleep(Duration::from_millis(100));
            }
        }
        let after = names.map(|name| metric(&dir, name));
        let rate = |n: usize| (after[n] - before[n]) / PERIOD.as_secs_f64();
        println!(
            "{name}: {requests} requests, {:.2} records/s, {:.0} bytes/s",
            rate(0),
            rate(1)
        );
    }
}
