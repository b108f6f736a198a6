//! Conversion of heartbeats to and from columns, the compact form in which links carry them.

use crate::wire::{Beat, BeatColumns};

/// Converts heartbeats to columns.
#[must_use]
pub fn pack(beats: &[Beat]) -> BeatColumns {
    BeatColumns {
        ages: beats.iter().map(|beat| beat.age).collect(),
        fresh: beats.iter().map(|beat| beat.fresh).collect(),
        ids: beats.iter().map(|beat| beat.id).collect(),
        nexts: beats.iter().map(|beat| beat.next).collect(),
        seqs: beats.iter().map(|beat| beat.seq).collect(),
    }
}

/// Converts columns to heartbeats. Returns none if the columns differ in length.
#[must_use]
pub fn unpack(columns: &BeatColumns) -> Option<Vec<Beat>> {
    let count = columns.ids.len();
    let lengths = [
        columns.ages.len(),
        columns.fresh.len(),
        columns.nexts.len(),
        columns.seqs.len(),
    ];
    if lengths.iter().any(|length| *length != count) {
        return None;
    }
    let beat = |n: usize| Beat {
        age: columns.ages[n],
        fresh: columns.fresh[n],
        id: columns.ids[n],
        next: columns.nexts[n],
        seq: columns.seqs[n],
    };
    Some((0..count).map(beat).collect())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn beat(id: u64) -> Beat {
        Beat {
            age: 300,
            fresh: id.is_multiple_of(2),
            id,
            next: 700,
            seq: id + 5,
        }
    }

    #[test]
    fn pack_returns_same() {
        let beats: Vec<Beat> = (0..5).map(beat).collect();
        assert_eq!(unpack(&pack(&beats)), Some(beats));
    }

    #[test]
    fn unpack_refuses_unequal_columns() {
        let mut columns = pack(&[beat(1), beat(2)]);
        columns.nexts.pop();
        assert_eq!(unpack(&columns), None);
    }
}
