//! A request's whole path from the caller to a backend server, through separate processes.

use basillead::standin::engine::answer_text;
use http::{Method, StatusCode};

use crate::workdir::{SmallCluster, Workdir};

#[test]
fn path_serves_completion_and_call() {
    let dir = Workdir::new("path");
    let cluster = SmallCluster::start(&dir);
    let url = format!("{}/v1/completions", dir.entry_url(0));
    let body = r#"{"model":"stroke-1","prompt":"one two","max_tokens":10,"stream":true}"#;

    let answer = dir
        .call(Method::POST, &url, Some(&cluster.key), &[], body)
        .expect("an answer");
    let (id, text) = streamed_text(answer.body());
    assert_eq!(text, answer_text(&id, 10));

    let orders = format!("{}/orders/7", dir.entry_url(0));
    let answer = dir
        .call(Method::POST, &orders, Some(&cluster.key), &[], "order 7")
        .expect("an answer");
    assert_eq!(answer.status(), StatusCode::OK);
    let receipt: serde_json::Value = serde_json::from_slice(answer.body()).expect("a receipt");
    assert_eq!(receipt["line"], "POST /orders/7");
    assert_eq!(receipt["body"], "order 7");
    assert_eq!(receipt["run"], 1);
}

#[test]
fn path_refuses_without_key() {
    let dir = Workdir::new("refuse");
    let _cluster = SmallCluster::start(&dir);
    let url = format!("{}/v1/completions", dir.entry_url(0));
    let body = r#"{"model":"stroke-1","prompt":"one two"}"#;
    let refused = dir
        .call(Method::POST, &url, None, &[], body)
        .expect("an answer");
    assert_eq!(refused.status(), StatusCode::UNAUTHORIZED);
    let problem: serde_json::Value = serde_json::from_slice(refused.body()).expect("a problem");
    assert_eq!(problem["run"], "not-run");
}

/// Returns the id and the text of a streamed answer, which must end with `[DONE]`.
pub fn streamed_text(body: &[u8]) -> (String, String) {
    basillead::standin::demo::streamed_text(body).expect("a whole stream")
}
