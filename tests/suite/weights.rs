//! Weight loading: waves, failed loads, a lost lease holder, and samples across a swap.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use basillead::standin::loading::Loaded;

use crate::rounds::create;
use crate::trainer::Trainer;
use crate::workdir::{MANIFEST, Workdir, wait_until, wait_within};

/// Time in which all servers of today's size must hold new weights.
const ROLLOUT: Duration = Duration::from_secs(32);

/// Time between two versions of a trainer.
const STEP: Duration = Duration::from_millis(600);

/// The test manifest as the next revision, with another weight version.
pub fn with_version(dir: &Workdir, version: u64) -> String {
    let base = revision(dir);
    let manifest = MANIFEST.replace("base = 0", &format!("base = {base}"));
    manifest.replace("version = 1", &format!("version = {version}"))
}

fn revision(dir: &Workdir) -> u64 {
    let output = dir.basillead(&["status", "--json"]);
    let status: serde_json::Value = serde_json::from_slice(&output.stdout).expect("a status");
    status["revision"].as_u64().expect("a revision")
}

fn loaded(dir: &Workdir) -> BTreeMap<String, Loaded> {
    let text: serde_json::Value = dir.platform_get("loaded");
    serde_json::from_value(text).expect("what engines hold")
}

fn all_hold(dir: &Workdir, version: u64) -> bool {
    let loaded = loaded(dir);
    loaded
        .values()
        .all(|one| one.version == version && one.model == "stroke-1")
}

#[test]
fn weights_rollout_thirteen_servers() {
    let dir = Workdir::new("rollout");
    let args = ["--server", "engines:engine:z0:13", "--load-ms", "5000"];
    let _platform = dir.platform(1, 1, &args);
    let _control = dir.control(0, 1);
    let _entry = dir.entry(0, 1);
    dir.publish(MANIFEST);
    let begun = Instant::now();
    dir.publish(&with_version(&dir, 2));
    wait_within("all hold version 2", ROLLOUT, || {
        let loading = loaded(&dir)
            .values()
            .filter(|one| one.loading.is_some())
            .count();
        assert!(loading <= 4, "{loading} load at a time");
        all_hold(&dir, 2)
    });
    println!("rollout of 13 servers: {:?}", begun.elapsed());
    assert!(loaded(&dir).values().all(|one| one.begun == 1));
}

#[test]
fn weights_failed_half_and_crashed_loads() {
    let dir = Workdir::new("failed");
    let _platform = dir.platform(1, 1, &["--server", "engines:engine:z0:6"]);
    let _control = dir.control(0, 1);
    let _entry = dir.entry(0, 1);
    let ends = serde_json::json!(["failed", "half", "crash", "failed", "half"]);
    dir.platform_post("loads", &ends);
    dir.publish(&MANIFEST.replace("version = 1", "version = 5"));
    wait_within("the others hold version 5", ROLLOUT, || all_hold(&dir, 5));
    assert_eq!(loaded(&dir).len(), 5);
}

#[test]
fn weights_failing_server_is_left_out() {
    let dir = Workdir::new("leftout");
    let _platform = dir.platform(1, 1, &["--server", "engines:engine:z0:1"]);
    let _control = dir.control(0, 1);
    let _entry = dir.entry(0, 1);
    let ends = serde_json::json!(["failed", "failed", "failed", "failed"]);
    dir.platform_post("loads", &ends);
    dir.publish(&MANIFEST.replace("version = 1", "version = 2"));
    wait_until("three loads failed", || {
        dir.log("control0").contains("left_out=true")
    });
    std::thread::sleep(Duration::from_secs(3));
    assert!(loaded(&dir).values().all(|one| one.begun == 3));
}

#[test]
fn weights_holder_killed() {
    let dir = Workdir::new("holder");
    let args = [
        "--server",
        "engines:engine:z0:8",
        "--load-ms",
        "1500",
        "--unfenced",
    ];
    let _platform = dir.platform(2, 1, &args);
    let mut controls = [Some(dir.control(0, 1)), Some(dir.control(1, 1))];
    let _entries = [dir.entry(0, 1), dir.entry(1, 1)];
    dir.publish(MANIFEST);
    dir.publish(&with_version(&dir, 2));
    wait_until("a load is under way", || {
        loaded(&dir).values().any(|one| one.loading.is_some())
    });
    let held = |n: usize| dir.log(&format!("control{n}")).contains("weights ordered");
    let holder = usize::from(!held(0));
    controls[holder] = None;
    wait_within("all hold version 2", ROLLOUT, || all_hold(&dir, 2));
    assert!(held(1 - holder), "the successor ordered nothing");
    assert!(loaded(&dir).values().all(|one| one.begun == 1));
}

#[test]
fn weights_swap_during_round() {
    let dir = Workdir::new("swap");
    let args = [
        "--server",
        "engines:engine:z0:3",
        "--server",
        "desk:service:z0:1",
    ];
    let _platform = dir.platform(1, 1, &args);
    let _control = dir.control(0, 1);
    let _entry = dir.entry(0, 1);
    dir.publish(MANIFEST);
    let key = dir.grant("desk");
    create(
        &dir,
        "r1",
        &["--groups", "12", "--samples", "16", "--max-tokens", "200"],
    );
    let mut trainer = Trainer::new(&dir, &key, "r1", 1);
    wait_until("the session opens", || {
        trainer.open().is_some_and(|status| status.is_success())
    });
    let (mut published, mut at) = (1, Instant::now());
    trainer.finish(|trainer| {
        if published < 4 && at.elapsed() > STEP && all_hold(&dir, published) {
            published += 1;
            at = Instant::now();
            dir.publish(&with_version(&dir, published));
        }
        // The trainer is at the version that it published last.
        trainer.version = published;
    });
    assert!(published > 2, "only version {published} was published");
    assert_eq!(trainer.held.len(), 192);
    let crossed = trainer.held.values().filter(|one| one.segments.len() > 1);
    assert!(crossed.count() > 0, "no sample ran across a swap");
}
