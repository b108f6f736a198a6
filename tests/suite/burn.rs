//! Burn rates of the service-level objective, merged over entries.

use basillead::wire::{BurnReport, BurnStatus, ServerList};
use http::{Method, StatusCode};

use crate::workdir::{MANIFEST, PEER_SECRET, Workdir, show, wait_until};

/// Requests of each kind sent to each entry.
const REQUESTS: usize = 5;

#[test]
fn burn_merges_entries() {
    let dir = Workdir::new("burn");
    let servers = [
        "--server",
        "engines:engine:z0:1",
        "--server",
        "desk:service:z0:1",
    ];
    let _platform = dir.platform(2, 1, &servers);
    let _control = dir.control(0, 1);
    let _entries = [dir.entry(0, 1), dir.entry(1, 1)];
    dir.publish(&format!("{MANIFEST}\n[objective]\nbad_ppm = 100000\n"));
    let (desk, stroke) = (dir.grant("desk"), dir.grant("stroke"));
    let look = |n, key: &str| {
        dir.call(
            Method::GET,
            &format!("{}/look", dir.entry_url(n)),
            Some(key),
            &[],
            "",
        )
    };
    let complete = |n| {
        let body = r#"{"model":"stroke-1","prompt":"a b","max_tokens":4}"#;
        let url = format!("{}/v1/completions", dir.entry_url(n));
        let answer = dir.call(Method::POST, &url, Some(&stroke), &[], body);
        answer.is_some_and(|answer| answer.status() == StatusCode::OK)
    };
    for n in 0..2 {
        // Also sends calls of the other tenant, until the entry accepts both keys.
        wait_until("the keys are accepted", || {
            let accepted =
                |key: &String| look(n, key).is_some_and(|a| a.status() == StatusCode::OK);
            accepted(&stroke) && accepted(&desk)
        });
        for _ in 0..REQUESTS {
            assert!(look(n, &desk).is_some_and(|answer| answer.status() == StatusCode::OK));
            assert!(complete(n));
        }
    }
    let list: ServerList = dir.platform_get("servers");
    let engine = list.servers.iter().find(|server| server.pool == "engines");
    let engine = engine.expect("an engine").id.clone();
    dir.platform_post(&format!("crash/{engine}"), &serde_json::json!({}));
    for n in 0..2 {
        for _ in 0..REQUESTS {
            assert!(!complete(n));
        }
    }

    let output = dir.basillead(&["burn", "--json"]);
    let status: BurnStatus =
        serde_json::from_slice(&output.stdout).unwrap_or_else(|_| panic!("{}", show(&output)));
    assert_eq!((status.answered, status.known), (2, 2));
    assert_eq!(status.worst.as_deref(), Some("stroke"));
    let first = &status.rows[0];
    assert_eq!((&*first.tenant, &*first.route), ("stroke", "stroke-1"));
    let bad = first.long.refused + first.long.failed;
    assert_eq!(
        (first.long.total, bad, first.long.slow),
        (4 * REQUESTS as u64, 2 * REQUESTS as u64, 0)
    );
    assert!(
        (first.long.rate - 5.0).abs() < 1e-9,
        "half of the requests are bad and a tenth is allowed, so the rate is 5: {first:?}"
    );
    let desk_row = status
        .rows
        .iter()
        .find(|row| row.tenant == "desk")
        .expect("a row for the tenant desk");
    assert!(desk_row.long.total > 2 * REQUESTS as u64 && desk_row.long.rate.abs() < 1e-9);
    let text = show(&dir.basillead(&["burn"]));
    assert!(text.contains("worst-served team: stroke"), "{text}");
}

#[test]
fn burn_needs_peer_secret() {
    let dir = Workdir::new("burn");
    let _platform = dir.platform(1, 1, &[]);
    let _entry = dir.entry(0, 1);
    let url = format!("{}/internal/burn", dir.entry_url(0));
    let request = |key| {
        dir.call(Method::GET, &url, key, &[], "")
            .expect("an answer")
    };
    assert_eq!(request(None).status(), StatusCode::UNAUTHORIZED);
    assert_eq!(request(Some("wrong")).status(), StatusCode::UNAUTHORIZED);
    let answer = request(Some(PEER_SECRET));
    let report: BurnReport =
        serde_json::from_slice(answer.body()).expect("the body is a burn report");
    assert!(report.lines.is_empty());
}
