//! Which registered servers are usable during store outages and shutdowns, and store contact.

use std::collections::BTreeMap;

use basillead::instance::contact::Contact;
use basillead::instance::fleet::Fleet;
use basillead::instance::interfaces::{Backend, ServerChange, ServerState, Software};

use crate::{at, ms};

fn backend(id: &str, state: ServerState) -> Backend {
    Backend {
        id: id.to_owned(),
        born: 1,
        service: "desk".to_owned(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: "z".to_owned(),
        slots: 4,
        state,
        software: Software::default(),
        weights: BTreeMap::new(),
        warm_at: at(0),
    }
}

fn change(id: &str, entry: Option<Backend>) -> ServerChange {
    ServerChange {
        id: id.to_owned(),
        entry,
        unreadable: None,
    }
}

fn usable(fleet: &Fleet, now: u64) -> usize {
    fleet.usable("desk", at(now)).count()
}

/// Contact without a gap from `since` to `seen`.
fn contact(since: u64, seen: u64) -> Contact {
    Contact {
        last_read: Some(at(seen)),
        unbroken_since: at(since),
    }
}

#[test]
fn fleet_removed_while_connected() {
    let mut fleet = Fleet::default();
    let unbroken = contact(0, 10_000);
    fleet.apply(
        change("s1", Some(backend("s1", ServerState::Ready))),
        &unbroken,
        at(10_000),
    );
    assert_eq!(usable(&fleet, 10_000), 1);
    fleet.apply(change("s1", None), &unbroken, at(10_100));
    assert_eq!(usable(&fleet, 10_100), 0);
}

#[test]
fn fleet_expired_in_outage() {
    let mut fleet = Fleet::default();
    fleet.apply(
        change("s1", Some(backend("s1", ServerState::Ready))),
        &contact(0, 900),
        at(1000),
    );
    // The store was unavailable from 1 s to 9 s, and the entry expired meanwhile.
    let back = contact(9000, 9000);
    fleet.apply(change("s1", None), &back, at(9050));
    assert_eq!(
        usable(&fleet, 9050),
        1,
        "the server may only have been unable to reach the store"
    );
    fleet.prune(at(11_300));
    assert_eq!(
        usable(&fleet, 11_300),
        0,
        "the server did not register again in time"
    );
}

#[test]
fn fleet_draining_takes_nothing_new() {
    let mut fleet = Fleet::default();
    let unbroken = contact(0, 900);
    fleet.apply(
        change("s1", Some(backend("s1", ServerState::Ready))),
        &unbroken,
        at(1000),
    );
    fleet.apply(
        change("s1", Some(backend("s1", ServerState::Draining))),
        &unbroken,
        at(1100),
    );
    assert_eq!(usable(&fleet, 1100), 0);
    assert!(
        fleet.get("s1").is_some(),
        "requests in flight there continue"
    );
}

fn ready(born: u64) -> Backend {
    Backend {
        born,
        ..backend("s1", ServerState::Ready)
    }
}

#[test]
fn fleet_leaving_until_it_starts_again() {
    let mut fleet = Fleet::default();
    let unbroken = contact(0, 900);
    fleet.apply(change("s1", Some(ready(5))), &unbroken, at(1000));
    assert!(fleet.note_leaving("s1", 50, at(1100)));
    assert!(
        !fleet.note_leaving("s1", 60, at(1200)),
        "the announcement is new only once"
    );
    assert_eq!(usable(&fleet, 1200), 0);
    fleet.apply(change("s1", Some(ready(5))), &unbroken, at(500_000));
    fleet.prune(at(500_000));
    assert_eq!(
        usable(&fleet, 500_000),
        0,
        "leaving, although its entry says ready"
    );
    fleet.apply(change("s1", Some(ready(70))), &unbroken, at(500_100));
    fleet.prune(at(500_100));
    assert_eq!(usable(&fleet, 500_100), 1, "usable after it started again");
    fleet.note_leaving("s1", 60, at(500_200));
    assert_eq!(
        usable(&fleet, 500_200),
        1,
        "a late announcement of an earlier start"
    );
    assert!(
        fleet.note_leaving("s1", 80, at(500_300)),
        "the announcement of its new start is new"
    );
    assert_eq!(usable(&fleet, 500_300), 0);
}

/// Guards against using a server again that announced its shutdown before the registry listed the
/// start in question.
#[test]
fn fleet_leaving_said_by_a_start_not_listed_yet() {
    let mut fleet = Fleet::default();
    let unbroken = contact(0, 900);
    fleet.apply(change("s1", Some(ready(5))), &unbroken, at(1000));
    fleet.note_leaving("s1", 30, at(1100));
    // The server starts again at 40, and announces its shutdown at 50. The registry lists the
    // start only after that.
    fleet.note_leaving("s1", 50, at(1200));
    fleet.apply(change("s1", Some(ready(40))), &unbroken, at(1300));
    fleet.prune(at(1300));
    assert_eq!(usable(&fleet, 1300), 0, "the new start is leaving too");
}

#[test]
fn fleet_leaving_before_its_entry() {
    let mut fleet = Fleet::default();
    assert!(fleet.note_leaving("s1", 50, at(1000)));
    fleet.apply(change("s1", Some(ready(5))), &contact(0, 900), at(1100));
    assert_eq!(usable(&fleet, 1100), 0);
}

#[test]
fn fleet_leaving_lapsed_and_back() {
    let mut fleet = Fleet::default();
    let unbroken = contact(0, 900);
    fleet.apply(change("s1", Some(ready(5))), &unbroken, at(1000));
    fleet.note_leaving("s1", 50, at(1100));
    fleet.apply(change("s1", None), &unbroken, at(2000));
    fleet.prune(at(2000));
    fleet.apply(change("s1", Some(ready(5))), &unbroken, at(9000));
    fleet.prune(at(9000));
    assert_eq!(
        usable(&fleet, 9000),
        0,
        "the entry that came back is of the leaving start"
    );
}

#[test]
fn fleet_leaving_is_bounded() {
    let mut fleet = Fleet::default();
    for n in 0..10_000 {
        fleet.note_leaving(&format!("s{n}"), 50, at(n));
    }
    fleet.prune(at(200_000));
    assert!(
        fleet.note_leaving("s1", 50, at(200_000)),
        "old announcements must be forgotten"
    );
}

#[test]
fn contact_broken_by_silence() {
    let mut contact = Contact::default();
    contact.record_read(at(100), at(600));
    contact.record_read(at(600), at(1100));
    assert_eq!(
        contact.unbroken_since,
        at(600),
        "no gap since the first answer"
    );
    contact.record_read(at(9000), at(9010));
    assert_eq!(
        contact.unbroken_since,
        at(9010),
        "eight seconds without a read are a gap"
    );
    assert!(contact.is_within(ms(3000), at(11_900)));
    assert!(
        !contact.is_within(ms(3000), at(12_000)),
        "the age counts from when the read was sent"
    );
}
