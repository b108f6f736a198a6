//! Mixed requests of eight tenants in three zones: each caller gets its own complete response,
//! and each order runs once.

use std::collections::BTreeMap;
use std::sync::Arc;

use basillead::standin::engine::answer_text;
use http::{Method, StatusCode};
use serde_json::Value;

use crate::path::streamed_text;
use crate::workdir::{Process, Workdir, wait_until};

const TENANTS: usize = 8;
const ENTRIES: usize = 3;
const CONTROLS: usize = 2;
const ZONES: usize = 3;
/// Concurrent callers.
const CALLERS: usize = 16;
/// Requests per caller; 2,000 in total.
const REQUESTS: usize = 125;
/// Tokens per completion.
const TOKENS: usize = 24;

fn manifest() -> String {
    let tenant = |n| format!("[[tenants]]\nname = \"t{n}\"\n");
    let tenants: String = (0..TENANTS).map(tenant).collect();
    format!(
        r#"base = 0
[limits]
address_ms = 1000
{tenants}
[[pools]]
name = "engines"
kind = "engine"
[[pools]]
name = "desk"
kind = "service"
[[models]]
name = "stroke-1"
pool = "engines"
version = 1
[[routes]]
path = "/orders"
pool = "desk"
[[routes]]
path = "/look"
pool = "desk"
repeatable = true
"#
    )
}

/// A caller with its entry and its tenant's key.
struct Caller {
    dir: Arc<Workdir>,
    url: String,
    key: String,
    name: String,
}

impl Caller {
    /// Sends a request, which must succeed, and returns the response body.
    fn post(&self, path: &str, body: &str) -> Vec<u8> {
        let url = format!("{}{path}", self.url);
        let answer = self
            .dir
            .call(Method::POST, &url, Some(&self.key), &[], body);
        let answer = answer.unwrap_or_else(|| panic!("{}: no answer from {url}", self.name));
        let text = String::from_utf8_lossy(answer.body()).into_owned();
        assert_eq!(answer.status(), StatusCode::OK, "{}: {text}", self.name);
        answer.into_body().to_vec()
    }

    fn completion(&self, stream: bool) {
        let body = serde_json::json!({
            "model": "stroke-1", "prompt": self.name, "max_tokens": TOKENS, "stream": stream,
        });
        let answer = self.post("/v1/completions", &body.to_string());
        let (id, text) = if stream {
            streamed_text(&answer)
        } else {
            unstreamed_text(&answer, "/choices/0/text")
        };
        assert_eq!(text, answer_text(&id, TOKENS), "{}", self.name);
    }

    fn chat(&self) {
        let body = serde_json::json!({
            "model": "stroke-1", "max_tokens": TOKENS,
            "messages": [{"role": "user", "content": self.name}],
        });
        let answer = self.post("/v1/chat/completions", &body.to_string());
        let (id, text) = unstreamed_text(&answer, "/choices/0/message/content");
        assert_eq!(text, answer_text(&id, TOKENS), "{}", self.name);
    }

    /// Calls a plain server, which must return a receipt for this request.
    fn call(&self, path: &str, number: usize) {
        let body = format!("{} {number}", self.name);
        let answer = self.post(path, &body);
        let receipt: Value = serde_json::from_slice(&answer).expect("a receipt");
        assert_eq!(receipt["body"], body);
        assert_eq!(receipt["line"], format!("POST {path}"));
    }

    /// Sends all requests of the caller.
    fn run(&self) {
        for number in 0..REQUESTS {
            match number % 5 {
                0 => self.completion(true),
                1 => self.completion(false),
                2 => self.chat(),
                3 => self.call("/look", number),
                _ => self.call("/orders", number),
            }
        }
    }
}

/// Id of an unstreamed response, and its text at a JSON pointer.
fn unstreamed_text(body: &[u8], pointer: &str) -> (String, String) {
    let answer: Value = serde_json::from_slice(body).expect("JSON");
    let id = answer["id"].as_str().expect("an id").to_owned();
    let text = answer.pointer(pointer).and_then(Value::as_str);
    (id, text.expect("a text").to_owned())
}

#[test]
fn mixed_two_thousand_requests() {
    let dir = Arc::new(Workdir::new("mixed"));
    let mut servers = Vec::new();
    for zone in 0..ZONES {
        servers.push("--server".to_owned());
        servers.push(format!("engines:engine:z{zone}:2"));
    }
    servers.extend(["--server".to_owned(), "desk:service:z0:2".to_owned()]);
    let servers: Vec<&str> = servers.iter().map(String::as_str).collect();
    let _platform = dir.platform(ENTRIES, ZONES, &servers);
    let _controls: Vec<Process> = (0..CONTROLS).map(|n| dir.control(n, ZONES)).collect();
    let _entries: Vec<Process> = (0..ENTRIES).map(|n| dir.entry(n, ZONES)).collect();
    dir.publish(&manifest());
    let keys: Vec<String> = (0..TENANTS).map(|n| dir.grant(&format!("t{n}"))).collect();
    for n in 0..ENTRIES {
        for key in &keys {
            let url = format!("{}/look", dir.entry_url(n));
            wait_until("the keys are accepted", || {
                let answer = dir.call(Method::GET, &url, Some(key), &[], "");
                answer.is_some_and(|answer| answer.status() == StatusCode::OK)
            });
        }
    }
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            let caller = Caller {
                dir: Arc::clone(&dir),
                url: dir.entry_url(n % ENTRIES),
                key: keys[n % TENANTS].clone(),
                name: format!("caller {n}"),
            };
            std::thread::spawn(move || caller.run())
        })
        .collect();
    for caller in callers {
        caller.join().expect("the caller got correct responses");
    }
    let runs: BTreeMap<String, u64> = dir.platform_get("runs");
    let counts: Vec<&u64> = runs.values().collect();
    assert_eq!(
        counts.len(),
        CALLERS * REQUESTS * 2 / 5,
        "calls were lost or merged"
    );
    assert!(
        counts.iter().all(|count| **count == 1),
        "a call did not run exactly once: {runs:?}"
    );
}
