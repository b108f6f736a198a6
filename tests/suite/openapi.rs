//! Checks the API description against the running daemons and the wire schema.

use http::Method;
use serde_json::Value;

use crate::workdir::{SmallCluster, Workdir};

/// Reads a JSON file of the schema directory.
fn load(name: &str) -> Value {
    let path = format!("{}/schema/{name}", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).expect("the schema file");
    serde_json::from_str(&text).expect("JSON")
}

/// Calls an operation with no, a wrong and a valid key; returns deviations from the description.
fn check(
    dir: &Workdir,
    cluster: &SmallCluster,
    daemon: &str,
    path: &str,
    method: &str,
    operation: &Value,
) -> Vec<String> {
    let base = match daemon {
        "entry" => dir.entry_url(0),
        _ => dir.control_url(0),
    };
    let target = path.replace("{id}", "none").replace("{route}", "look");
    let name = method.to_uppercase();
    let method = Method::from_bytes(name.as_bytes()).expect("a method");
    let secured = !operation["security"].as_array().expect("a list").is_empty();
    let mut deviations = Vec::new();
    for key in [None, Some("wrong"), Some(cluster.key.as_str())] {
        let answer = dir.call(method.clone(), &format!("{base}{target}"), key, &[], "{}");
        let Some(answer) = answer else {
            deviations.push(format!("{name} {target}: no answer"));
            continue;
        };
        let status = answer.status().as_u16();
        let described = &operation["responses"][status.to_string()];
        let header = answer.headers().get("content-type");
        let header = header
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default();
        let media_type = header.split(';').next().unwrap_or_default();
        let content = &described["content"];
        if content[media_type].is_null() && content["*/*"].is_null() {
            deviations.push(format!(
                "{name} {target}: {status} {media_type:?} is not described"
            ));
        }
        let refused = status == 401;
        if secured && !refused && key != Some(cluster.key.as_str()) {
            deviations.push(format!("{name} {target}: {status} without a valid key"));
        }
    }
    deviations
}

#[test]
fn openapi_answers_as_described() {
    let dir = Workdir::new("openapi");
    let cluster = SmallCluster::start(&dir);
    let api = load("openapi.json");
    let mut deviations = Vec::new();
    for (path, item) in api["paths"].as_object().expect("paths") {
        for daemon in item["x-daemons"].as_array().expect("daemons") {
            let daemon = daemon.as_str().expect("a text");
            for (method, operation) in item.as_object().expect("an item") {
                if !method.starts_with("x-") {
                    deviations.extend(check(&dir, &cluster, daemon, path, method, operation));
                }
            }
        }
    }
    assert!(deviations.is_empty(), "{}", deviations.join("\n"));
}

#[test]
fn openapi_schemas_as_wire() {
    let (api, wire) = (load("openapi.json"), load("wire.json"));
    let schemas = api["components"]["schemas"].as_object().expect("schemas");
    for (name, schema) in schemas {
        let text = wire["definitions"][name].to_string();
        let text = text.replace("#/definitions/", "#/components/schemas/");
        assert_eq!(schema.to_string(), text, "{name}");
    }
}
