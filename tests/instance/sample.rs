//! Samples assembled across broken streams, several servers and several weight versions.

use basillead::scheduler::event_stream::{Event, EventReader};
use basillead::scheduler::sample::{AddError, Sample, VersionPolicy};
use proptest::prelude::*;

const POLICY: VersionPolicy = VersionPolicy {
    min: 2,
    single: false,
};

fn event(id: u64) -> Event {
    Event {
        id: Some(id),
        data: format!("d{id}"),
        other: Vec::new(),
    }
}

#[test]
fn sample_gap_and_repeat() {
    let mut sample = Sample::default();
    assert_eq!(sample.add(event(1), 2, POLICY), Ok(()));
    assert_eq!(sample.add(event(3), 2, POLICY), Err(AddError::Gap));
    assert_eq!(sample.add(event(1), 2, POLICY), Err(AddError::Gap));
    assert_eq!(
        sample.add(
            Event {
                id: None,
                ..event(2)
            },
            2,
            POLICY
        ),
        Err(AddError::NoId)
    );
    assert_eq!(sample.add(event(2), 3, POLICY), Ok(()));
    assert_eq!(
        (sample.text().as_str(), sample.versions.as_slice()),
        ("d1\nd2", &[2, 3][..])
    );
}

#[test]
fn sample_versions() {
    let mut sample = Sample::default();
    assert_eq!(
        sample.add(event(1), 1, POLICY),
        Err(AddError::Version),
        "weights too old"
    );
    assert_eq!(sample.add(event(1), 2, POLICY), Ok(()));
    assert!(
        !VersionPolicy {
            min: 2,
            single: true
        }
        .allows(&sample, 3),
        "one version only"
    );
    assert!(
        !VersionPolicy {
            min: 3,
            single: false
        }
        .allows(&sample, 3),
        "made for an older round"
    );
    assert!(POLICY.allows(&sample, 3));
}

#[test]
fn events_cut_in_the_middle() {
    let mut reader = EventReader::default();
    let text = b"basillead-weight-versions: 4\nid: 1\ndata: one\n\nid: 2\nda";
    let events = reader.push(text);
    assert_eq!(events.len(), 1);
    assert_eq!(events[0].other, ["basillead-weight-versions: 4"]);
    assert!(reader.is_partial(), "half an event is none");
}

proptest! {
    /// The parsed events do not depend on how the bytes are split into chunks.
    #[test]
    fn events_any_cut(cuts in prop::collection::vec(1usize..20, 1..40)) {
        let text = "id: 1
data: a
data: b

id: 2
data: c

id: 3
data: d

";
        let whole = EventReader::default().push(text.as_bytes());
        let mut reader = EventReader::default();
        let mut found = Vec::new();
        let mut rest = text.as_bytes();
        for cut in cuts {
            let (head, tail) = rest.split_at(cut.min(rest.len()));
            found.extend(reader.push(head));
            rest = tail;
        }
        found.extend(reader.push(rest));
        prop_assert_eq!(found, whole);
    }
}
