//! Tests of what tells late copies of answers apart on a connection.

use basillead::relay::carried::CarriedIds;

#[test]
fn carried_id_is_refused_after_others() {
    let mut carried = CarriedIds::default();
    assert!(carried.admits("r1"));
    carried.add("r1");
    for n in 2..100 {
        let id = format!("r{n}");
        assert!(carried.admits(&id), "{id}");
        carried.add(&id);
        assert!(!carried.admits("r1") && !carried.admits(&id), "{id}");
    }
}

#[test]
fn carried_ids_are_bounded() {
    let mut carried = CarriedIds::default();
    let added = (0..100_000).take_while(|n| {
        carried.add(&n.to_string());
        !carried.is_full()
    });
    assert!(added.count() < 2000);
}
