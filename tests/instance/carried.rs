//! Tests of what tells late copies of answers apart on a connection.

use basillead::relay::carried::Carried;

#[test]
fn carried_id_is_refused_after_others() {
    let mut carried = Carried::default();
    assert!(carried.admits(Some("r1")));
    carried.add_request(Some("r1"));
    for n in 2..100 {
        let id = format!("r{n}");
        assert!(carried.admits(Some(&id)), "{id}");
        carried.add_request(Some(&id));
        let admits = |id: &str| carried.admits(Some(id));
        assert!(!admits("r1") && !admits(&id), "{id}");
    }
    assert!(carried.admits(None) && carried.is_reusable());
}

#[test]
fn carried_ids_are_bounded() {
    let mut carried = Carried::default();
    let added = (0..100_000).take_while(|n| {
        carried.add_request(Some(&n.to_string()));
        carried.is_reusable()
    });
    assert!(added.count() < 2000);
}

#[test]
fn carried_answers_by_id() {
    let carried = Carried::default();
    for is_success in [true, false] {
        assert!(carried.is_answer(Some("r1"), Some("r1"), is_success));
        assert!(!carried.is_answer(Some("r1"), Some("r2"), is_success));
        // An answer with an id is to a request, not to an own call such as a report or an order.
        assert!(!carried.is_answer(None, Some("r1"), is_success));
        assert!(carried.is_answer(None, None, is_success));
    }
}

#[test]
fn carried_answers_without_id() {
    let mut carried = Carried::default();
    assert!(!carried.is_answer(Some("r1"), None, true));
    assert!(carried.is_answer(Some("r1"), None, false));
    // The refusal of an order looks like that of the next request.
    carried.add_request(None);
    carried.add_answer(None, None);
    assert!(carried.is_reusable());
    assert!(!carried.is_answer(Some("r2"), None, false));
    assert!(carried.is_answer(Some("r2"), Some("r2"), false));
    // So does the refusal of a request.
    carried.add_request(Some("r2"));
    carried.add_answer(Some("r2"), Some("r2"));
    assert!(carried.is_reusable());
    carried.add_answer(Some("r3"), None);
    assert!(!carried.is_reusable());
}
