//! Shutdown of daemons, and outages of the interfaces that daemons depend on.

use std::time::Duration;

use http::{Method, StatusCode};

use crate::workdir::{SmallCluster, Workdir};

#[test]
fn stop_idle_daemons() {
    let dir = Workdir::new("stop");
    let mut cluster = SmallCluster::start(&dir);
    for process in [&mut cluster.entry, &mut cluster.control] {
        process.signal("TERM");
        assert!(process.wait(Duration::from_secs(10)).success());
    }
}

#[test]
fn stop_server_list_outage() {
    let dir = Workdir::new("outage");
    let cluster = SmallCluster::start(&dir);
    let fault = serde_json::json!({"interface": "servers", "faults": {"down": true}});
    dir.platform_post("fault", &fault);
    std::thread::sleep(Duration::from_secs(2));
    let url = format!("{}/look", dir.entry_url(0));
    let answer = dir.call(Method::GET, &url, Some(&cluster.key), &[], "");
    assert_eq!(answer.expect("an answer").status(), StatusCode::OK);
}
