//! Order in which a round's samples are started.

use crate::manifest::RoundPolicy;

/// A sample that waits for a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Position of the sample's slot in the round.
    pub position: usize,
    /// Number of the sample's group.
    pub group: usize,
    /// Tokens generated so far.
    pub tokens: usize,
}

/// Progress of one group of samples.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GroupProgress {
    /// Samples that are not whole yet.
    pub unfinished: u32,
    /// Whether any sample of the group was started.
    pub started: bool,
}

/// Chooses the sample to start next, as an index into `waiting`.
///
/// The stragglers policy resumes partial samples first, the longest before the others, since
/// the longest is the most likely to be the last of the round. Then come groups that were
/// started, those with the fewest unfinished samples first, so that the trainer gets whole
/// groups early.
#[must_use]
pub fn next(policy: RoundPolicy, waiting: &[Candidate], groups: &[GroupProgress]) -> Option<usize> {
    let all = waiting.iter().enumerate();
    let found = match policy {
        RoundPolicy::Ordered => all.min_by_key(|(_, sample)| sample.position),
        RoundPolicy::Stragglers => all.min_by_key(|(_, sample)| {
            let group = groups[sample.group];
            (
                std::cmp::Reverse(sample.tokens),
                !group.started,
                if group.started { group.unfinished } else { 0 },
                sample.position,
            )
        }),
    };
    found.map(|(index, _)| index)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn waiting(position: usize, group: usize, tokens: usize) -> Candidate {
        Candidate {
            position,
            group,
            tokens,
        }
    }

    fn group(unfinished: u32, started: bool) -> GroupProgress {
        GroupProgress {
            unfinished,
            started,
        }
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
    fn next_without_candidates() {
        assert_eq!(next(RoundPolicy::Stragglers, &[], &[]), None);
    }
}
