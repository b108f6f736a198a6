//! `basillead check` and `basillead schema`, and whether the pages describe all fields.

use basillead::checked::Field;
use basillead::manifest::Manifest;
use basillead::settings::Settings;

use crate::workdir::{MANIFEST, Workdir, show};

const BAD_MANIFEST: &str = r#"
base = "one"
colour = "red"
[limits]
body_bytes = 0
[[tenants]]
weight = 2
[[pools]]
name = "engines"
kind = "engin"
min = 3
max = 2
[[models]]
name = "m"
pool = "nowhere"
version = 1
[[routes]]
path = "orders/"
pool = "engines"
"#;

#[test]
fn check_manifest_findings() {
    let dir = Workdir::new("check");
    dir.write("bad.toml", BAD_MANIFEST);
    let output = dir.local(&["check", "bad.toml"]);
    assert_eq!(output.status.code(), Some(1));
    insta::assert_snapshot!(show(&output), @r#"
    bad.toml:2:8: base: expected a whole number, found string
    bad.toml:3:1: colour: unknown field
    bad.toml:5:14: limits.body_bytes: expected 1 to 67108864, found 0
    bad.toml:6:1: tenants[0].name: missing: expected a text
    bad.toml:8:1: pools[0].zones: expected at least one availability zone
    bad.toml:10:8: pools[0].kind: expected one of engine, service; found engin
    bad.toml:12:7: pools[0].max: expected at least min = 3
    bad.toml:15:8: models[0].pool: no pool is named nowhere
    bad.toml:18:8: routes[0].path: expected a path such as /orders
    bad.toml:19:8: routes[0].pool: pool engines is of the other kind
    "#);
}

#[test]
fn check_manifest_syntax() {
    let dir = Workdir::new("syntax");
    dir.write("bad.toml", "base = 0\n[limits\nqueue = = 3\n");
    let output = dir.local(&["check", "bad.toml"]);
    assert_eq!(output.status.code(), Some(1));
    insta::assert_snapshot!(show(&output), @r#"
    bad.toml:2:8: unclosed table, expected `]`
    bad.toml:3:9: extra `=`, expected nothing
    bad.toml:3:11: unexpected key or value, expected newline, `#`
    "#);
}

#[test]
fn check_manifest_valid() {
    let dir = Workdir::new("valid");
    dir.write("good.toml", MANIFEST);
    let output = dir.local(&["check", "good.toml"]);
    assert!(output.status.success(), "{}", show(&output));
}

#[test]
fn check_settings_findings() {
    let dir = Workdir::new("settings");
    let text = "instance = \"i\"\nzone = 3\n[entry]\nhttp = \"here\"\n[secrets]\npeer = \"p\"\n";
    dir.write("bad.toml", text);
    let output = dir.local(&["check", "--settings", "bad.toml"]);
    assert_eq!(output.status.code(), Some(1));
    insta::assert_snapshot!(show(&output), @r#"
    bad.toml:1:1: region: missing: expected a text
    bad.toml:1:1: control: missing: expected a table
    bad.toml:1:1: platform: missing: expected a table
    bad.toml:2:8: zone: expected a text, found integer
    bad.toml:3:1: entry.peer: missing: expected a text
    bad.toml:4:8: entry.http: expected an IP address and port, such as 10.0.0.1:7000
    bad.toml:5:1: secrets.operator: missing: expected a text
    "#);
}

#[test]
fn check_settings_secret_missing() {
    let dir = Workdir::new("secret");
    dir.settings(0, 1);
    std::fs::remove_file(dir.path("peer.key")).expect("the file is there");
    let output = dir.local(&["check", "--settings", "i0.toml"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(show(&output).contains("peer.key"), "{}", show(&output));
}

#[test]
fn schema_as_committed() {
    let dir = Workdir::new("schema");
    for (args, file) in [
        (&["schema"][..], "manifest"),
        (&["schema", "--settings"], "settings"),
    ] {
        let printed = String::from_utf8(dir.local(args).stdout).expect("UTF-8");
        let path = format!("{}/schema/{file}.json", env!("CARGO_MANIFEST_DIR"));
        let committed = std::fs::read_to_string(path).expect("the committed schema");
        let advice = "run `basillead schema` and commit what it prints";
        assert!(printed == committed, "schema/{file}.json: {advice}");
    }
}

#[test]
fn schema_fields_described() {
    let described = |page: &str, fields: &[Field]| {
        let path = format!("{}/docs/{page}", env!("CARGO_MANIFEST_DIR"));
        let text = std::fs::read_to_string(path).expect("the page");
        let is_absent = |field: &&Field| !text.contains(&format!("| `{}` |", field.path));
        let is_leaf = |field: &&Field| {
            let below = [format!("{}.", field.path), format!("{}[].", field.path)];
            !fields
                .iter()
                .any(|other| below.iter().any(|start| other.path.starts_with(start)))
        };
        let missing: Vec<&Field> = fields.iter().filter(is_leaf).filter(is_absent).collect();
        assert!(missing.is_empty(), "{page} does not describe {missing:?}");
    };
    described("MANIFEST.md", &Manifest::fields());
    described("SETTINGS.md", &Settings::fields());
}

/// Collects the names of metrics in the source files below a directory.
fn metric_names(dir: &std::path::Path, names: &mut std::collections::BTreeSet<String>) {
    for item in std::fs::read_dir(dir).expect("a directory") {
        let path = item.expect("an item").path();
        if path.is_dir() {
            metric_names(&path, names);
            continue;
        }
        let text = std::fs::read_to_string(&path).expect("a source file");
        let words = text
            .split('"')
            .filter(|word| word.starts_with("basillead_"));
        names.extend(words.map(str::to_owned));
    }
}

#[test]
fn metrics_described() {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR"));
    let page = std::fs::read_to_string(root.join("docs/METRICS.md")).expect("the page");
    let mut names = std::collections::BTreeSet::new();
    for dir in ["entry", "control", "peer"] {
        metric_names(&root.join("src").join(dir), &mut names);
    }
    assert!(names.len() > 15, "{names:?}");
    let is_missing = |name: &&String| !page.contains(&format!("| `{name}` |"));
    let missing: Vec<&String> = names.iter().filter(is_missing).collect();
    assert!(
        missing.is_empty(),
        "METRICS.md does not describe {missing:?}"
    );
}

#[test]
fn exit_statuses_described() {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR"));
    let page = std::fs::read_to_string(root.join("docs/OPERATIONS.md")).expect("the page");
    let dir = Workdir::new("exit");
    dir.write("bad.toml", "base = 0\ncolour = 1\n");
    dir.write("good.toml", MANIFEST);
    let cases = [
        (&["check", "good.toml"][..], 0),
        (&["check", "bad.toml"], 1),
        (&["nothing"], 2),
        (&["check"], 2),
    ];
    for (args, status) in cases {
        let output = dir.local(args);
        assert_eq!(
            output.status.code(),
            Some(status),
            "{args:?}: {}",
            show(&output)
        );
        assert!(page.contains(&format!("| {status} |")), "status {status}");
    }
}
