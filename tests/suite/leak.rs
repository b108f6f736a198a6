//! API keys of callers must reach no backend server and no log.

use http::Method;

use crate::workdir::{SmallCluster, Workdir};

#[test]
fn leak_key_in_odd_places() {
    let dir = Workdir::new("leak");
    let cluster = SmallCluster::start(&dir);
    let key = cluster.key.as_str();
    let entry = dir.entry_url(0);
    let cookie = format!("session={key}");
    let encode = |text: String, byte| text + &format!("%{byte:02x}");
    let encoded: String = key.bytes().fold(String::new(), encode);
    let headers: [&[(&str, &str)]; 5] = [
        &[("cookie", &cookie)],
        &[("authorization", &cookie)],
        &[("idempotency-key", key)],
        &[("user-agent", key)],
        &[("x-api-key", key)],
    ];
    for set in headers {
        dir.call(
            Method::POST,
            &format!("{entry}/look"),
            Some(key),
            set,
            "plain body",
        );
    }
    let asked = r#"{"model":"stroke-1","prompt":"plain prompt","max_tokens":4}"#;
    for set in headers {
        let url = format!("{entry}/v1/completions?key={key}");
        dir.call(Method::POST, &url, Some(key), set, asked);
    }
    let targets = [
        format!("{entry}/look?key={key}"),
        format!("{entry}/look?key={encoded}"),
        format!("{entry}/look/{key}"),
        format!("{entry}/open/{key}"),
    ];
    for target in &targets {
        dir.call(Method::GET, target, Some(key), &[], "");
    }
    let bodies = [key.to_owned(), format!("a={encoded}")];
    for body in &bodies {
        dir.call(Method::POST, &format!("{entry}/look"), Some(key), &[], body);
    }
    let prompt = format!(r#"{{"model":"stroke-1","prompt":"{key}"}}"#);
    dir.call(
        Method::POST,
        &format!("{entry}/v1/completions"),
        Some(key),
        &[],
        &prompt,
    );

    let seen: Vec<serde_json::Value> = dir.platform_get("seen");
    assert!(seen.len() > 3, "the service saw too little: {seen:?}");
    let is_engine_call = |call: &&serde_json::Value| call["line"] == "POST /generate";
    assert!(
        seen.iter().filter(is_engine_call).count() > 3,
        "the engine saw too little: {seen:?}"
    );
    let text = serde_json::to_string(&seen).expect("JSON").to_lowercase();
    let secret = &key[4..];
    assert!(
        !text.contains(secret) && !text.contains(&encoded),
        "a key leaked: {text}"
    );
    for log in ["entry0", "control0"] {
        assert!(
            !dir.log(log).contains(secret),
            "a key is in the log of {log}"
        );
    }
}
