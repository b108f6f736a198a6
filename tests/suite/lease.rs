//! Tests of leases between running control daemons.

use std::time::{Duration, Instant};

use basillead::wire::LogPage;

use crate::workdir::{Workdir, wait_until, wait_within};

/// Time limit for a handover, for renewed leases after an outage, and for a shutdown.
const PROMPT_LIMIT: Duration = Duration::from_secs(5);
/// Time limit for a takeover: lease, margin and stagger, and five seconds for the claim.
const TAKEOVER_LIMIT: Duration = Duration::from_secs(7 + 5);

/// Waits until control daemon `n` holds a role.
pub fn wait_held(dir: &Workdir, n: usize, role: &str) {
    wait_until(&format!("{role} held by {n}"), || is_held(dir, n, role));
}

fn is_held(dir: &Workdir, n: usize, role: &str) -> bool {
    let log = dir.log(&format!("control{n}"));
    let mut lines = log.lines().filter(|line| line.contains("lease held"));
    lines.any(|line| line.contains(&format!("role={role}")))
}

/// Number of lease records so far: a read past the end of the log returns the next offset.
fn lease_records(dir: &Workdir) -> u64 {
    dir.platform_get::<LogPage>("log/leases?from=1000000").next
}

#[test]
fn lease_taken_over() {
    let dir = Workdir::new("takeover");
    let _platform = dir.platform(2, 2, &[]);
    let mut first = dir.control(0, 2);
    wait_held(&dir, 0, "servers");
    let _second = dir.control(1, 2);
    first.0.kill().expect("it can be killed");
    let killed = Instant::now();
    wait_within("takeover", TAKEOVER_LIMIT, || is_held(&dir, 1, "servers"));
    println!("taken over after {:?}", killed.elapsed());
}

#[test]
fn lease_released_at_stop() {
    let dir = Workdir::new("release");
    let _platform = dir.platform(2, 2, &[]);
    let mut first = dir.control(0, 2);
    wait_held(&dir, 0, "servers");
    let _second = dir.control(1, 2);
    first.signal("TERM");
    let stopped = Instant::now();
    wait_within("handover", PROMPT_LIMIT, || {
        ["servers", "usage", "weights"]
            .iter()
            .all(|role| is_held(&dir, 1, role))
    });
    println!("handed over after {:?}", stopped.elapsed());
    assert!(first.wait(PROMPT_LIMIT).success());
}

#[test]
fn lease_kept_over_outage() {
    let dir = Workdir::new("lease-outage");
    let _platform = dir.platform(1, 1, &[]);
    let _control = dir.control(0, 1);
    wait_held(&dir, 0, "servers");
    let down = serde_json::json!({"interface": "log", "faults": {"down": true}});
    dir.platform_post("fault", &down);
    std::thread::sleep(Duration::from_secs(8));
    let up = serde_json::json!({"interface": "log", "faults": {}});
    dir.platform_post("fault", &up);
    // Each of the three roles is logged as held once before the outage and once after it.
    let held = || dir.log("control0").matches("lease held").count();
    wait_within("held again", PROMPT_LIMIT, || held() >= 6);
    // Without changes, each role appends about one renewal every two seconds.
    let (before, started) = (lease_records(&dir), Instant::now());
    std::thread::sleep(Duration::from_secs(10));
    let records = lease_records(&dir) - before;
    let seconds = started.elapsed().as_secs_f64();
    println!("{records} lease records in {seconds:.1} s at rest");
    assert!(
        records <= 20,
        "more than two lease records a second at rest"
    );
}
