use super::*;
use crate::wire::Price;

const MANIFEST: &str = r#"
base = 0
[weights]
loads = 2
keep_percent = 50
[[pools]]
name = "engines"
kind = "engine"
[[models]]
name = "m"
pool = "engines"
version = 2
"#;

fn manifest() -> Manifest {
    Manifest::parse(MANIFEST).expect("the manifest is valid")
}

fn list(count: usize) -> Vec<BackendServer> {
    let server = |n: usize| BackendServer {
        address: format!("127.0.0.1:{n}"),
        id: format!("s{n}"),
        notice_ms: None,
        pool: "engines".to_owned(),
        price: Price::Regular,
        state: ServerState::Running,
        zone: "z".to_owned(),
    };
    (0..count).map(server).collect()
}

fn load(version: u64, loading: Option<u64>) -> EngineLoad {
    EngineLoad {
        failed: None,
        loading,
        model: "m".to_owned(),
        queued_tokens: 0,
        running: 0,
        version,
        waiting: 0,
    }
}

fn table(count: usize, now: Instant) -> EngineTable {
    let mut table = EngineTable::default();
    table.update_servers(&list(count), &manifest(), now);
    for (id, _) in table.due_reports(now) {
        table.record_report(&id, Some(load(1, None)), &manifest(), now);
    }
    table
}

#[test]
fn wave_waits_for_ordered_loads() {
    let now = Instant::now();
    let mut table = table(4, now);
    assert_eq!(table.wave(&manifest(), now).len(), 2);
    assert!(table.wave(&manifest(), now).is_empty());
    let first = ServerId::from("s0");
    table.record_report(&first, Some(load(2, None)), &manifest(), now);
    assert_eq!(table.wave(&manifest(), now).len(), 1);
}

#[test]
fn wave_counts_loads_of_earlier_holder() {
    let now = Instant::now();
    let mut table = table(4, now);
    for id in ["s0", "s1"] {
        let report = Some(load(1, Some(2)));
        table.record_report(&ServerId::from(id), report, &manifest(), now);
    }
    assert!(table.wave(&manifest(), now).is_empty());
}

#[test]
fn wave_leaves_out_after_failures() {
    let mut now = Instant::now();
    let mut table = table(1, now);
    let id = ServerId::from("s0");
    for failures in 1..=3 {
        assert_eq!(table.wave(&manifest(), now).len(), 1, "{failures}");
        now += REPORT_LAG;
        table.record_report(&id, Some(load(1, None)), &manifest(), now);
        assert_eq!(table.failures(&id), failures);
        now += REPORT_LAG;
    }
    assert!(table.wave(&manifest(), now).is_empty());
    let model = Model::from("m");
    assert_eq!(table.progress(&model, &manifest()).excluded, 1);
}

#[test]
fn report_lag_is_no_failure() {
    let now = Instant::now();
    let mut table = table(1, now);
    table.wave(&manifest(), now);
    let id = ServerId::from("s0");
    let soon = now + REPORT_LAG / 2;
    table.record_report(&id, Some(load(1, None)), &manifest(), soon);
    assert_eq!(table.failures(&id), 0);
    table.record_report(&id, Some(load(2, None)), &manifest(), now + REPORT_LAG);
    assert_eq!(table.progress(&Model::from("m"), &manifest()).current, 1);
}

#[test]
fn wave_orders_none_without_report() {
    let now = Instant::now();
    let mut table = EngineTable::default();
    table.update_servers(&list(2), &manifest(), now);
    assert!(table.wave(&manifest(), now).is_empty());
}
