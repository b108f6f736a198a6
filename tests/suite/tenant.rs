//! Isolation of tenants: a request runs for its key's tenant, and only its caller gets the answer.

use basillead::standin::engine::answer_text;
use http::{Method, StatusCode};
use serde_json::Value;

use crate::path::streamed_text;
use crate::workdir::{MANIFEST, SMALL_SERVERS, SmallCluster, Workdir, wait_until};

/// Returns the incarnation of entry 0.
fn incarnation(dir: &Workdir) -> String {
    let answer = dir.get(&format!("{}/v1/addresses", dir.entry_url(0)));
    let body = answer.expect("an answer").into_body();
    let addresses: Value = serde_json::from_slice(&body).expect("JSON");
    let name = addresses["addresses"][0]["incarnation"].as_str();
    name.expect("an incarnation").to_owned()
}

/// Sends an order with the idempotency key `idem_key`.
fn order(dir: &Workdir, key: &str, idem_key: &str, body: &str) -> (StatusCode, Value) {
    let url = format!("{}/orders", dir.entry_url(0));
    let headers = [("idempotency-key", idem_key)];
    let answer = dir.call(Method::POST, &url, Some(key), &headers, body);
    let answer = answer.expect("an answer");
    let body = serde_json::from_slice(answer.body()).expect("JSON");
    (answer.status(), body)
}

#[test]
fn tenant_idempotency_keys_apart() {
    let dir = Workdir::new("apart");
    let cluster = SmallCluster::start(&dir);
    let other = dir.grant("stroke");
    let look = format!("{}/look", dir.entry_url(0));
    wait_until("the other key works", || {
        let answer = dir.call(Method::GET, &look, Some(&other), &[], "");
        answer.is_some_and(|answer| answer.status() == StatusCode::OK)
    });
    let idem_key = format!("{}.order-1", incarnation(&dir));
    let (status, first) = order(&dir, &cluster.key, &idem_key, "of desk");
    assert_eq!((status, &first["run"]), (StatusCode::OK, &Value::from(1)));
    let (_, answer) = order(&dir, &other, &idem_key, "of desk");
    assert_ne!(answer, first, "another tenant got the kept answer");
    let (_, again) = order(&dir, &cluster.key, &idem_key, "of desk");
    assert_eq!(again, first);
}

#[test]
fn tenant_removed_from_manifest() {
    let dir = Workdir::new("removed");
    let cluster = SmallCluster::start(&dir);
    let without = MANIFEST.replace("base = 0", "base = 1").replace(
        "name = \"desk\"\nweight = 2",
        "name = \"other\"\nweight = 2",
    );
    dir.publish(&without);
    let url = format!("{}/look", dir.entry_url(0));
    wait_until("the key of a removed tenant is refused", || {
        let answer = dir.call(Method::GET, &url, Some(&cluster.key), &[], "");
        answer.is_some_and(|answer| answer.status() == StatusCode::UNAUTHORIZED)
    });
}

#[test]
fn tenant_answers_crossed_by_engine() {
    let dir = Workdir::new("crossed");
    let mut servers = SMALL_SERVERS.to_vec();
    servers[1] = "engines:engine:z0:4";
    let cluster = SmallCluster::start_with(&dir, &servers);
    let url = format!("{}/v1/completions", dir.entry_url(0));
    let body = r#"{"model":"stroke-1","prompt":"one two","max_tokens":40,"stream":true}"#;
    let mut whole = 0;
    for _ in 0..30 {
        dir.platform_post("crossed/1", &Value::Null);
        let answer = dir.call(Method::POST, &url, Some(&cluster.key), &[], body);
        let answer = answer.expect("an answer");
        if answer.status() != StatusCode::OK {
            continue;
        }
        let text = String::from_utf8_lossy(answer.body()).into_owned();
        if text.contains("event: error") {
            continue;
        }
        let (id, text) = streamed_text(answer.body());
        assert_eq!(text, answer_text(&id, 40), "another answer's tokens");
        whole += 1;
    }
    assert!(whole > 0, "no answer came whole");
}
