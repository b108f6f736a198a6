//! Tests of the draft log: a text is assembled from the parts of one leader only.

use std::time::Duration;

use basillead::ledger::drafts::PartialTexts;
use basillead::ledger::record::DraftPart;
use basillead::ledger::write_times::WriteTimes;
use proptest::prelude::*;

use crate::at;

fn part(fence: u64, from: usize, data: &[&str], versions: &[u64]) -> DraftPart {
    DraftPart {
        fence,
        item: "a".to_owned(),
        from,
        data: data.iter().map(|&data| data.to_owned()).collect(),
        last: (from + data.len()) as u64,
        versions: versions.to_vec(),
        software: None,
    }
}

#[test]
fn drafts_follow_each_other() {
    let mut drafts = PartialTexts::default();
    drafts.save(part(1, 2, &["lost"], &[1]));
    assert!(
        drafts.is_empty(),
        "a part without the beginning of its text was saved"
    );
    drafts.save(part(1, 0, &["one", "two"], &[1]));
    drafts.save(part(1, 2, &["three"], &[1, 2]));
    // A part that overlaps the saved text is ignored.
    drafts.save(part(1, 2, &["other"], &[1]));
    let saved = drafts.take("a").expect("a saved text");
    assert_eq!(saved.data, ["one", "two", "three"]);
    assert_eq!((saved.last, saved.versions.as_slice()), (3, &[1, 2][..]));
    assert!(
        drafts.take("a").is_none(),
        "a saved text is taken only once"
    );
}

#[test]
fn drafts_restarted_text() {
    let mut drafts = PartialTexts::default();
    drafts.save(part(1, 0, &["one", "two"], &[1]));
    drafts.save(part(1, 0, &["anew"], &[3]));
    let saved = drafts.take("a").expect("a saved text");
    assert_eq!((saved.data.len(), saved.versions), (1, vec![3]));
}

/// What two software versions write doesn't fit together.
#[test]
fn drafts_of_another_software_version() {
    let mut drafts = PartialTexts::default();
    let of = |software: &str, part| DraftPart {
        software: Some(software.to_owned().into()),
        ..part
    };
    drafts.save(of("v1", part(1, 0, &["one", "two"], &[1])));
    drafts.save(of("v2", part(1, 2, &["three"], &[1])));
    assert_eq!(drafts.get("a").map(|saved| saved.data.len()), Some(2));
    drafts.save(of("v2", part(1, 0, &["anew"], &[1])));
    let saved = drafts.take("a").expect("a saved text");
    assert_eq!(saved.data, ["anew"]);
    assert_eq!(saved.software, Some("v2".to_owned().into()));
}

#[test]
fn drafts_former_leader_late() {
    let mut drafts = PartialTexts::default();
    drafts.save(part(1, 0, &["one", "two"], &[1]));
    // The successor continues after two events, and saves its whole text.
    drafts.save(part(2, 0, &["one", "two", "three"], &[1]));
    drafts.save(part(1, 2, &["THREE", "FOUR"], &[1]));
    drafts.save(part(1, 0, &["ONE"], &[1]));
    drafts.save(part(2, 3, &["four"], &[1]));
    let saved = drafts.take("a").expect("a saved text");
    assert_eq!(saved.data, ["one", "two", "three", "four"]);
}

#[test]
fn write_times_old_records_expire() {
    let kept = Duration::from_secs(30);
    let mut times = WriteTimes::default();
    times.add(at(1000), 5);
    times.add(at(2000), 9);
    times.add(at(20_000), 40);
    assert_eq!(times.take_expired(at(31_000), kept), None);
    assert_eq!(times.take_expired(at(33_000), kept), Some(9));
    assert_eq!(times.take_expired(at(33_000), kept), None, "returned twice");
    assert_eq!(times.take_expired(at(60_000), kept), Some(40));
}

proptest! {
    /// Whichever parts of two leaders arrive, and in whichever order, a saved text is a prefix
    /// of one leader's text.
    #[test]
    fn drafts_generated_parts(parts in prop::collection::vec((1_u64..3, 0_usize..4, 1_usize..4), 1..20)) {
        let mut drafts = PartialTexts::default();
        for (fence, from, count) in parts {
            let data: Vec<String> = (from..from + count).map(|n| format!("{fence}-{n}")).collect();
            let data: Vec<&str> = data.iter().map(String::as_str).collect();
            drafts.save(part(fence, from, &data, &[1]));
        }
        if let Some(saved) = drafts.take("a") {
            let whole = (0..saved.data.len()).map(|n| format!("{}-{n}", saved.fence));
            prop_assert_eq!(saved.data, whole.collect::<Vec<_>>());
        }
    }
}
