//! Weight loading: updates in waves, failed loads, loss of the lease holder, and samples that
//! continue across a weight swap.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use basillead::standin::loading::Loaded;

use crate::rounds::create_round;
use crate::trainer::Trainer;
use crate::workdir::{MANIFEST, Workdir, wait_until, wait_within};

/// Time within which all engines of a deployment of the present size must hold new weights.
const UPDATE_TIMEOUT: Duration = Duration::from_secs(32);

/// Minimum time between two weight versions of the trainer.
const VERSION_INTERVAL: Duration = Duration::from_millis(600);

/// Returns the test manifest as the next revision, with the given weight version.
pub fn with_version(dir: &Workdir, version: u64) -> String {
    let base = revision(dir);
    let manifest = MANIFEST.replace("base = 0", &format!("base = {base}"));
    manifest.replace("version = 1", &format!("version = {version}"))
}

fn revision(dir: &Workdir) -> u64 {
    let output = dir.basillead(&["status", "--json"]);
    let status: serde_json::Value =
        serde_json::from_slice(&output.stdout).expect("the status is JSON");
    status["revision"]
        .as_u64()
        .expect("the status has a revision")
}

fn loaded(dir: &Workdir) -> BTreeMap<String, Loaded> {
    let text: serde_json::Value = dir.platform_get("loaded");
    serde_json::from_value(text).expect("the weights that engines hold")
}

fn all_hold(dir: &Workdir, version: u64) -> bool {
    let loaded = loaded(dir);
    loaded
        .values()
        .all(|engine| engine.version == version && engine.model == "stroke-1")
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
    wait_within("all engines hold version 2", UPDATE_TIMEOUT, || {
        let loading = loaded(&dir)
            .values()
            .filter(|engine| engine.loading.is_some())
            .count();
        assert!(
            loading <= 4,
            "{loading} engines load concurrently, at most 4 may"
        );
        all_hold(&dir, 2)
    });
    println!("rollout of 13 servers: {:?}", begun.elapsed());
    assert!(loaded(&dir).values().all(|engine| engine.begun == 1));
}

#[test]
fn weights_failed_half_and_crashed_loads() {
    let dir = Workdir::new("failed");
    let _platform = dir.platform(1, 1, &["--server", "engines:engine:z0:6"]);
    let _control = dir.control(0, 1);
    let _entry = dir.entry(0, 1);
    let outcomes = serde_json::json!(["failed", "half", "crash", "failed", "half"]);
    dir.platform_post("loads", &outcomes);
    dir.publish(&MANIFEST.replace("version = 1", "version = 5"));
    wait_within(
        "the engines that did not crash hold version 5",
        UPDATE_TIMEOUT,
        || all_hold(&dir, 5),
    );
    assert_eq!(loaded(&dir).len(), 5);
}

#[test]
fn weights_failing_server_is_left_out() {
    let dir = Workdir::new("leftout");
    let _platform = dir.platform(1, 1, &["--server", "engines:engine:z0:1"]);
    let _control = dir.control(0, 1);
    let _entry = dir.entry(0, 1);
    let outcomes = serde_json::json!(["failed", "failed", "failed", "failed"]);
    dir.platform_post("loads", &outcomes);
    dir.publish(&MANIFEST.replace("version = 1", "version = 2"));
    wait_until("three loads failed", || {
        dir.log("control0").contains("left_out=true")
    });
    std::thread::sleep(Duration::from_secs(3));
    assert!(loaded(&dir).values().all(|engine| engine.begun == 3));
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
    wait_until("an engine is loading weights", || {
        loaded(&dir).values().any(|engine| engine.loading.is_some())
    });
    let sent_orders = |n: usize| dir.log(&format!("control{n}")).contains("weights ordered");
    let holder = usize::from(!sent_orders(0));
    controls[holder] = None;
    wait_within("all engines hold version 2", UPDATE_TIMEOUT, || {
        all_hold(&dir, 2)
    });
    assert!(
        sent_orders(1 - holder),
        "the new lease holder sent no orders"
    );
    assert!(loaded(&dir).values().all(|engine| engine.begun == 1));
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
    create_round(
        &dir,
        "r1",
        &["--groups", "12", "--samples", "16", "--max-tokens", "200"],
    );
    let mut trainer = Trainer::new(&dir, &key, "r1", 1);
    wait_until("the session opens", || {
        trainer.open().is_some_and(|status| status.is_success())
    });
    let (mut published, mut published_at) = (1, Instant::now());
    trainer.finish(|trainer| {
        if published < 4 && published_at.elapsed() > VERSION_INTERVAL && all_hold(&dir, published) {
            published += 1;
            published_at = Instant::now();
            dir.publish(&with_version(&dir, published));
        }
        // The trainer uses the version that it published last.
        trainer.version = published;
    });
    assert!(
        published > 2,
        "expected a version above 2, last published {published}"
    );
    assert_eq!(trainer.held.len(), 192);
    let swapped = trainer
        .held
        .values()
        .filter(|sample| sample.segments.len() > 1);
    assert!(
        swapped.count() > 0,
        "no sample continued across a weight swap"
    );
}
