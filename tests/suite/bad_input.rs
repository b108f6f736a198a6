//! Invalid input: each kind gets its own error, and the daemon keeps serving.

use std::io::{Read as _, Write as _};
use std::net::TcpStream;
use std::time::Duration;

use basillead::wire::{Problem, Run};
use http::{Method, StatusCode};

use crate::workdir::{MANIFEST, SmallCluster, Workdir, wait_until};

/// A request that must be refused, with the expected status and title of the problem.
struct Case {
    name: &'static str,
    method: Method,
    path: &'static str,
    key: bool,
    header: (&'static str, String),
    body: String,
    status: u16,
    title: &'static str,
}

fn case(
    name: &'static str,
    path: &'static str,
    body: &str,
    status: u16,
    title: &'static str,
) -> Case {
    Case {
        name,
        method: Method::POST,
        path,
        key: true,
        header: ("x-test", "1".to_owned()),
        body: body.to_owned(),
        status,
        title,
    }
}

/// Malformed requests: name, path and body.
const MALFORMED: [[&str; 3]; 11] = [
    ["not JSON", COMPLETE, "hello"],
    ["empty body", COMPLETE, ""],
    ["no prompt", COMPLETE, r#"{"model":"m"}"#],
    [
        "prompt of a wrong type",
        COMPLETE,
        r#"{"model":"m","prompt":7}"#,
    ],
    ["empty prompt", COMPLETE, r#"{"model":"m","prompt":""}"#],
    [
        "zero tokens",
        COMPLETE,
        r#"{"model":"m","prompt":"a","max_tokens":0}"#,
    ],
    [
        "negative tokens",
        COMPLETE,
        r#"{"model":"m","prompt":"a","max_tokens":-1}"#,
    ],
    ["no messages", CHAT, r#"{"model":"m"}"#],
    ["empty messages", CHAT, r#"{"model":"m","messages":[]}"#],
    ["dot segment", "/open/../orders/1", "a"],
    ["encoded dot segment", "/open/%2e%2e/orders/1", "a"],
];
const COMPLETE: &str = "/v1/completions";
const CHAT: &str = "/v1/chat/completions";

fn cases() -> Vec<Case> {
    let malformed =
        |[name, path, body]: [&'static str; 3]| case(name, path, body, 400, "malformed");
    let mut cases: Vec<Case> = MALFORMED.into_iter().map(malformed).collect();
    let large = "x".repeat((1 << 20) + 1);
    let model = r#"{"model":"none","prompt":"a"}"#;
    cases.push(case("unknown model", COMPLETE, model, 404, "not-found"));
    cases.push(case("unknown route", "/nowhere", "a", 404, "not-found"));
    cases.push(case(
        "longer path segment",
        "/ordersx",
        "a",
        404,
        "not-found",
    ));
    cases.push(case("large body", COMPLETE, &large, 413, "body-too-large"));
    cases.push(case(
        "large plain body",
        "/look",
        &large,
        413,
        "body-too-large",
    ));
    let mut method = case("wrong method", COMPLETE, "", 405, "method-not-allowed");
    method.method = Method::PUT;
    cases.push(method);
    let mut headers = case("large headers", "/look", "", 431, "headers-too-large");
    headers.header = ("x-large", "y".repeat(17 << 10));
    cases.push(headers);
    cases.extend(key_cases());
    cases
}

fn key_cases() -> Vec<Case> {
    let with_authorization = |name, authorization: &str, title| Case {
        key: false,
        header: ("authorization", authorization.to_owned()),
        ..case(name, COMPLETE, "{}", 401, title)
    };
    let internal = "/internal/sample";
    vec![
        with_authorization("another scheme", "Basic abc", "key-missing"),
        with_authorization("unknown key", "Bearer blk_unknown", "key-invalid"),
        Case {
            key: false,
            ..case("no key", COMPLETE, "{}", 401, "key-missing")
        },
        case(
            "a caller's key on an internal route",
            internal,
            "{}",
            401,
            "key-invalid",
        ),
    ]
}

#[test]
fn bad_input_table() {
    let dir = Workdir::new("bad");
    let cluster = SmallCluster::start(&dir);
    let mut failures = Vec::new();
    for case in cases() {
        let url = format!("{}{}", dir.entry_url(0), case.path);
        let key = case.key.then_some(cluster.key.as_str());
        let headers = [(case.header.0, case.header.1.as_str())];
        let answer = dir.call(case.method, &url, key, &headers, &case.body);
        let Some(answer) = answer else {
            failures.push(format!("{}: no answer", case.name));
            continue;
        };
        let status = answer.status().as_u16();
        let media_type = answer.headers().get("content-type").cloned();
        let problem = serde_json::from_slice::<Problem>(answer.body()).ok();
        let title = problem.as_ref().map(|problem| problem.title.clone());
        let run = problem.map(|problem| problem.run);
        let matches = status == case.status
            && title.as_deref() == Some(case.title)
            && run == Some(Run::NotRun)
            && media_type.is_some_and(|media_type| media_type == "application/problem+json");
        if !matches {
            let body = String::from_utf8_lossy(answer.body()).into_owned();
            failures.push(format!("{}: {status} {body}", case.name));
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
    assert_serving(&dir, &cluster);
}

fn assert_serving(dir: &Workdir, cluster: &SmallCluster) {
    let url = format!("{}/look", dir.entry_url(0));
    let answer = dir.call(Method::GET, &url, Some(&cluster.key), &[], "");
    assert_eq!(answer.expect("an answer").status(), StatusCode::OK);
}

/// Sends raw bytes and returns the response up to the end of the connection or a timeout.
fn send_raw(dir: &Workdir, bytes: &[u8]) -> String {
    let address = dir.entry_url(0).replace("http://", "");
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream
        .set_read_timeout(Some(Duration::from_secs(8)))
        .expect("a timeout");
    stream.write_all(bytes).expect("the bytes are taken");
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

#[test]
fn bad_input_raw_bytes() {
    let dir = Workdir::new("raw");
    let cluster = SmallCluster::start(&dir);
    let garbage: [&[u8]; 3] = [
        b"\x00\x01\x02\x03\r\n\r\n",
        b"GET / HTTP/9.9\r\n\r\n",
        b"POST /look HTTP/1.1\r\ncontent-length: minus\r\n\r\n",
    ];
    for bytes in garbage {
        let answer = send_raw(&dir, bytes);
        let refused = answer.is_empty() || answer.starts_with("HTTP/1.1 4");
        assert!(refused, "{bytes:?}: {answer}");
    }
    assert_serving(&dir, &cluster);
}

#[test]
fn bad_input_slow_sender() {
    let dir = Workdir::new("slow");
    let cluster = SmallCluster::start(&dir);
    let manifest = MANIFEST
        .replace("base = 0", "base = 1")
        .replace("[limits]", "[limits]\nupload_ms = 300");
    dir.publish(&manifest);
    let key = &cluster.key;
    let head = format!(
        "POST /look HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {key}\r\ncontent-length: 10\r\n\r\nhalf"
    );
    wait_until("the new limit is in force", || {
        send_raw(&dir, head.as_bytes()).contains("408")
    });
    let answer = send_raw(&dir, head.as_bytes());
    assert!(
        answer.contains("body-too-slow") && answer.contains("not-run"),
        "{answer}"
    );
    assert_serving(&dir, &cluster);
}

/// A connection that was idle for 8 s must still serve a request.
#[test]
fn bad_input_idle_connection() {
    let dir = Workdir::new("idle");
    let _cluster = SmallCluster::start(&dir);
    let address = dir.entry_url(0).replace("http://", "");
    let mut stream = TcpStream::connect(address).expect("a connection");
    let timeout = Some(Duration::from_secs(5));
    stream.set_read_timeout(timeout).expect("a timeout");
    let mut buf = [0; 512];
    for pause in [0, 8] {
        std::thread::sleep(Duration::from_secs(pause));
        let head = b"GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n";
        stream.write_all(head).expect("the request is taken");
        let count = stream.read(&mut buf).expect("an answer");
        let answer = String::from_utf8_lossy(&buf[..count]).into_owned();
        assert!(
            answer.starts_with("HTTP/1.1 200"),
            "after {pause} s: {answer}"
        );
    }
}
