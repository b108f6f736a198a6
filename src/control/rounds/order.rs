//! The order of a round's work: which sample to start next.

use crate::manifest::RoundPolicy;

/// What the order weighs of one sample that waits for a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Waiting {
    /// Its place in the round.
    pub place: usize,
    /// Its group.
    pub group: usize,
    /// Tokens that it holds already.
    pub held: usize,
}

/// What the order weighs of one group.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GroupProgress {
    /// Samples that are not whole yet.
    pub open: u32,
    /// Whether any sample was started.
    pub started: bool,
}

/// The sample to start next, as an index into `waiting`.
///
/// A sample that ran already goes first, the longest one before the others: it is the most
/// likely to be the last of the round. Then come groups that were started, those with the
/// fewest open samples first, so that the trainer gets whole groups early.
#[must_use]
pub fn next(policy: RoundPolicy, waiting: &[Waiting], groups: &[GroupProgress]) -> Option<usize> {
    let all = waiting.iter().enumerate();
    let found = match policy {
        RoundPolicy::Ordered => all.min_by_key(|(_, sample)| sample.place),
        RoundPolicy::Stragglers => all.min_by_key(|(_, sample)| {
            let group = groups[sample.group];
            (
                std::cmp::Reverse(sample.held),
                !group.started,
                if group.started { group.open } else { 0 },
                sample.place,
            )
        }),
    };
    found.map(|(index, _)| index)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn waiting(place: usize, group: usize, held: usize) -> Waiting {
        Waiting { place, group, held }
    }

    fn group(open: u32, started: bool) -> GroupProgress {
        GroupProgress { open, started }
    }

    #[test]
    fn next_prefers_longest_partial() {
        let all = [waiting(0, 0, 0), waiting(5, 1, 10), waiting(6, 1, 30)];
        let groups = [group(4, true), group(4, true)];
        assert_eq!(next(RoundPolicy::Stragglers, &all, &groups), Some(2));
        assert_eq!(next(RoundPolicy::Ordered, &all, &groups), Some(0));
    }

    #[test]
    fn next_finishes_groups_before_new_ones() {
        let all = [waiting(0, 0, 0), waiting(4, 1, 0), waiting(8, 2, 0)];
        let groups = [group(4, false), group(3, true), group(1, true)];
        assert_eq!(next(RoundPolicy::Stragglers, &all, &groups), Some(2));
    }

    #[test]
    fn next_takes_nothing_from_nothing() {
        assert_eq!(next(RoundPolicy::Stragglers, &[], &[]), None);
    }
}
