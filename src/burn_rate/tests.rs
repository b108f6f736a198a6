use super::*;
use crate::http::RefusalKind;

const RANGES: (u64, u64) = (5, 60);

#[test]
fn outcome_cases() {
    let cases = [
        (
            Refusal::not_run(RefusalKind::Overloaded, ""),
            Some(Outcome::Refused),
        ),
        (
            Refusal::not_run(RefusalKind::NotFresh, ""),
            Some(Outcome::Refused),
        ),
        (
            Refusal::unknown(RefusalKind::ServerFailed, ""),
            Some(Outcome::Failed),
        ),
        (
            Refusal::unknown(RefusalKind::Deadline, ""),
            Some(Outcome::Failed),
        ),
        (Refusal::not_run(RefusalKind::OverLimit, ""), None),
        (Refusal::not_run(RefusalKind::KeyInvalid, ""), None),
    ];
    for (refusal, outcome) in cases {
        assert_eq!(Outcome::of_refusal(&refusal), outcome, "{refusal}");
    }
}

#[test]
fn burn_ranges_differ() {
    let mut ring = SlotRing::default();
    let first = Some(Duration::from_millis(20));
    for second in 0..60 {
        let outcome = if second < 3 {
            Outcome::Failed
        } else {
            Outcome::Good
        };
        ring.add(second * 1_000, RANGES, outcome, first);
    }
    let long = ring.counts(59_000, 5, 60).burn(1_000);
    let short = ring.counts(59_000, 5, 5).burn(1_000);
    assert_eq!((long.total, long.failed), (60, 3));
    assert!((long.rate - 50.0).abs() < 1e-9, "{long:?}");
    assert_eq!((short.total, short.failed), (5, 0));
    assert!(short.rate.abs() < 1e-9, "{short:?}");
}

#[test]
fn merge_equals_one_histogram() {
    let (mut left, mut right, mut both) = (
        OutcomeCounts::default(),
        OutcomeCounts::default(),
        OutcomeCounts::default(),
    );
    for n in 1..=1_000 {
        let side = if n % 3 == 0 { &mut left } else { &mut right };
        let first = Some(Duration::from_millis(n * 7));
        side.add(Outcome::Good, first);
        both.add(Outcome::Good, first);
    }
    let mut merged = OutcomeCounts::from_wire(&left.to_wire());
    merged.merge(&OutcomeCounts::from_wire(&right.to_wire()));
    assert_eq!(merged.burn(1_000), both.burn(1_000));
    assert!(both.burn(1_000).p99_ms >= 6_900);
}
