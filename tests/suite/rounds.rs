//! Rollout rounds: each slot is delivered once, with true weight versions, within the
//! staleness bound.

use std::time::{Duration, Instant};

use http::StatusCode;

use crate::trainer::Trainer;
use crate::workdir::{MANIFEST, Process, SmallCluster, Workdir, show, wait_until};

/// Creates a round that belongs to the tenant `desk`.
pub fn create_round(dir: &Workdir, name: &str, args: &[&str]) {
    dir.write("prompts.txt", "one two\nthree four\n");
    let mut all = vec!["round", "create", name, "--tenant", "desk"];
    all.extend(["--model", "stroke-1", "--prompts", "prompts.txt"]);
    all.extend(args);
    let output = dir.basillead(&all);
    assert!(output.status.success(), "round create: {}", show(&output));
}

#[test]
fn rounds_deliver_whole_round() {
    let dir = Workdir::new("round");
    let cluster = SmallCluster::start(&dir);
    create_round(
        &dir,
        "r1",
        &["--groups", "8", "--samples", "8", "--max-tokens", "24"],
    );
    let mut trainer = Trainer::new(&dir, &cluster.key, "r1", 1);
    trainer.finish(|_| {});
    assert_eq!(trainer.held.len(), 64);
    assert_eq!(trainer.open(), Some(StatusCode::OK));
    assert_eq!(trainer.missing, 0);
}

#[test]
fn rounds_lost_pull_answer() {
    let dir = Workdir::new("lostpull");
    let cluster = SmallCluster::start(&dir);
    create_round(
        &dir,
        "r1",
        &["--groups", "2", "--samples", "8", "--max-tokens", "8"],
    );
    let mut trainer = Trainer::new(&dir, &cluster.key, "r1", 1);
    assert_eq!(trainer.open(), Some(StatusCode::OK));
    let mut repeated = 0;
    while trainer.missing > 0 {
        // The trainer ignores the first answer; the repeated pull must return the same samples.
        let first = trainer.pull_raw(3, 500).expect("an answer to the pull");
        let again = trainer.pull_raw(3, 500).expect("an answer to the pull");
        assert_eq!(first, again);
        repeated += 1;
        assert_eq!(trainer.pull(3), Some(StatusCode::OK));
    }
    assert!(repeated > 4);
    assert_eq!(trainer.held.len(), 16);
}

#[test]
fn rounds_refuse_withdrawn_and_cancelled() {
    let dir = Workdir::new("refused");
    let cluster = SmallCluster::start(&dir);
    let long = ["--groups", "4", "--samples", "8", "--max-tokens", "4000"];
    create_round(&dir, "r1", &long);
    let other_key = dir.grant("stroke");
    let mut other = Trainer::new(&dir, &other_key, "r1", 1);
    wait_until("another tenant is refused", || {
        other.open() == Some(StatusCode::FORBIDDEN)
    });

    let mut trainer = Trainer::new(&dir, &cluster.key, "r1", 1);
    assert_eq!(trainer.open(), Some(StatusCode::OK));
    assert_eq!(trainer.pull(1), Some(StatusCode::OK));
    assert!(dir.basillead(&["round", "cancel", "r1"]).status.success());
    wait_until("the cancelled round's pulls are refused", || {
        trainer.pull(1) == Some(StatusCode::NOT_FOUND)
    });

    create_round(&dir, "r2", &long);
    let mut trainer = Trainer::new(&dir, &cluster.key, "r2", 1);
    assert_eq!(trainer.open(), Some(StatusCode::OK));
    let digest = basillead::names::KeyDigest::of(&cluster.key).to_string();
    assert!(
        dir.basillead(&["key", "withdraw", &digest])
            .status
            .success()
    );
    wait_until("the withdrawn key is refused", || {
        trainer.pull(1) == Some(StatusCode::UNAUTHORIZED)
    });
    assert_eq!(trainer.open(), Some(StatusCode::UNAUTHORIZED));
}

/// Two instances with a round of 128 samples, on a platform with two zones.
struct Cluster {
    _platform: Process,
    controls: [Option<Process>; 2],
    entries: [Option<Process>; 2],
    key: String,
}

impl Cluster {
    fn start(dir: &Workdir) -> Self {
        let mut args = Vec::new();
        for server in ["engines:engine:z0:2", "engines:engine:z1:2:cheap"] {
            args.extend(["--server", server]);
        }
        let platform = dir.platform(2, 2, &args);
        let controls = [dir.control(0, 2), dir.control(1, 2)].map(Some);
        let entries = [dir.entry(0, 2), dir.entry(1, 2)].map(Some);
        dir.publish(MANIFEST);
        let key = dir.grant("desk");
        let args = ["--groups", "8", "--samples", "16", "--max-tokens", "200"];
        create_round(dir, "r1", &args);
        Self {
            _platform: platform,
            controls,
            entries,
            key,
        }
    }

    /// Pulls the whole round; injects a fault once a quarter of its samples is delivered.
    fn finish(&mut self, dir: &Workdir, fault: impl FnOnce(&mut Self)) {
        let key = self.key.clone();
        let mut trainer = Trainer::new(dir, &key, "r1", 2);
        let mut fault = Some(fault);
        trainer.finish(|trainer| {
            if trainer.held.len() >= 32
                && let Some(fault) = fault.take()
            {
                fault(self);
            }
        });
        assert!(
            fault.is_none(),
            "the round ended before the fault was injected"
        );
        assert_eq!(trainer.held.len(), 128);
    }
}

#[test]
fn rounds_engine_killed() {
    let dir = Workdir::new("engine");
    let mut cluster = Cluster::start(&dir);
    cluster.finish(&dir, |_| dir.platform_post("crash/engines-1", &().into()));
}

#[test]
fn rounds_entry_killed() {
    let dir = Workdir::new("entry");
    let mut cluster = Cluster::start(&dir);
    cluster.finish(&dir, |cluster| cluster.entries[0] = None);
}

#[test]
fn rounds_control_killed() {
    let dir = Workdir::new("control");
    let mut cluster = Cluster::start(&dir);
    cluster.finish(&dir, |cluster| cluster.controls[0] = None);
}

#[test]
fn rounds_control_stopped() {
    let dir = Workdir::new("stopped");
    let mut cluster = Cluster::start(&dir);
    cluster.finish(&dir, |cluster| {
        let mut control = cluster.controls[0]
            .take()
            .expect("the first control daemon");
        control.signal("TERM");
        assert!(control.wait(Duration::from_secs(5)).success());
    });
}

#[test]
fn rounds_zone_reclaimed() {
    let dir = Workdir::new("reclaim");
    let mut cluster = Cluster::start(&dir);
    let reclaim = serde_json::json!({"zone": "z1", "notice_ms": 1_000});
    cluster.finish(&dir, |_| dir.platform_post("reclaim", &reclaim));
}

#[test]
fn rounds_move_while_notice_lasts() {
    let dir = Workdir::new("notice");
    let cluster = Cluster::start(&dir);
    let args = ["--groups", "4", "--samples", "8", "--max-tokens", "2000"];
    create_round(&dir, "r2", &args);
    let mut trainer = Trainer::new(&dir, &cluster.key, "r2", 2);
    wait_until("the session opens", || {
        trainer.open().is_some_and(|status| status.is_success())
    });
    // At 40,000 of 64,000 tokens, every running part outlasts the notice period.
    wait_until("the samples are in their longest part", || {
        dir.platform_get::<u64>("generated") > 40_000
    });
    let reclaim = serde_json::json!({"zone": "z1", "notice_ms": 1_200});
    dir.platform_post("reclaim", &reclaim);
    trainer.finish(|_| {});
    assert_eq!(trainer.held.len(), 32);
    for n in 0..2 {
        let log = dir.log(&format!("entry{n}"));
        assert!(
            !log.contains("engine failed"),
            "a sample was cut off when its engine failed: {log}"
        );
    }
}

#[test]
fn rounds_answers_crossed() {
    let dir = Workdir::new("crossed");
    let mut cluster = Cluster::start(&dir);
    cluster.finish(&dir, |_| dir.platform_post("crossed/20", &().into()));
}

#[test]
fn rounds_faults_together() {
    let dir = Workdir::new("together");
    let mut cluster = Cluster::start(&dir);
    let started = Instant::now();
    cluster.finish(&dir, |cluster| {
        dir.platform_post("crash/engines-2", &().into());
        let reclaim = serde_json::json!({"zone": "z1", "notice_ms": 300});
        dir.platform_post("reclaim", &reclaim);
        cluster.entries[0] = None;
        cluster.controls[0] = None;
    });
    assert!(started.elapsed() < Duration::from_secs(60));
}
