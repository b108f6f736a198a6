//! What is remembered of where callers' streams began.

use basillead::ledger::origins::{Origin, Origins};

use crate::at;

fn origin(software: &str) -> Origin {
    Origin {
        service: "desk".to_owned(),
        software: software.to_owned().into(),
    }
}

#[test]
fn origins_first_one_stands() {
    let mut origins = Origins::default();
    origins.note("a", &origin("v1"), at(0));
    origins.note("a", &origin("v2"), at(10));
    assert_eq!(origins.get("a"), Some(&origin("v1")));
    assert_eq!(origins.get("b"), None);
}

#[test]
fn origins_of_running_streams_are_kept() {
    let mut origins = Origins::default();
    origins.note("short", &origin("v1"), at(0));
    for second in 0..20 {
        origins.note("long", &origin("v2"), at(second * 5000));
    }
    origins.prune(at(100_000));
    assert_eq!(origins.get("short"), None);
    assert_eq!(origins.get("long"), Some(&origin("v2")));
}
