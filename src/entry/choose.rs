//! The choice of a backend server among candidates.

use crate::manifest::ChoicePolicy;

/// Candidates drawn at random for one choice.
const DRAWN: usize = 3;
/// Candidates taken for the prefix that they hold.
const HOLDING: usize = 2;
/// Share by which a full server slows each of its requests.
const SLOWDOWN: f64 = 0.75;
/// Share of an answer's time that a server in another availability zone costs.
const FAR: f64 = 0.01;

/// What the choice weighs of one backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Requests that this entry runs on it.
    pub own: f64,
    /// Requests that all entries run on it, as far as is known.
    pub load: f64,
    /// Requests that it runs at a time.
    pub slots: f64,
    /// Share of the prompt that it holds in its cache.
    pub held: f64,
    /// Whether it is in this entry's availability zone.
    pub near: bool,
}

/// The work of a request, in tokens of an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Work {
    /// Its prompt, if no part of it is cached.
    pub prompt: f64,
    /// Its answer.
    pub answer: f64,
}

impl Candidate {
    /// The time that `work` takes here beyond its own run, in tokens.
    fn cost(&self, work: Work) -> f64 {
        let slots = self.slots.max(1.0);
        let slow = SLOWDOWN * self.load / slots;
        let queued = (self.load + 1.0 - slots).max(0.0) / slots;
        let far = if self.near { 0.0 } else { FAR };
        work.answer * (slow + queued + far) + work.prompt * (1.0 - self.held)
    }
}

/// The index of the server to use. `turn` grows by one with each choice.
#[must_use]
pub fn choose(
    policy: ChoicePolicy,
    candidates: &[Candidate],
    work: Work,
    turn: u64,
) -> Option<usize> {
    let count = candidates.len();
    if count == 0 {
        return None;
    }
    let start = usize::try_from(turn % count as u64).unwrap_or(0);
    match policy {
        ChoicePolicy::RoundRobin => Some(start),
        ChoicePolicy::Least => fewest_own(candidates, turn),
        ChoicePolicy::Affinity => cheapest(candidates, work, turn),
    }
}

/// The cheapest of a few: some at random, and those that hold most of the prompt.
///
/// Entries that see the same lagged loads draw different servers, so they do not all
/// run to the one that looked idle last.
fn cheapest(candidates: &[Candidate], work: Work, turn: u64) -> Option<usize> {
    let mut few = drawn(candidates.len(), turn);
    few.extend(holding(candidates));
    // Own requests are known exactly and to no other entry, so this draws nobody else.
    few.extend(fewest_own(candidates, turn));
    let cost = |n: &usize| candidates[*n].cost(work);
    few.into_iter().min_by(|a, b| cost(a).total_cmp(&cost(b)))
}

/// The candidate with the fewest own requests; `turn` decides among equals.
fn fewest_own(candidates: &[Candidate], turn: u64) -> Option<usize> {
    let count = candidates.len();
    let start = usize::try_from(turn % count.max(1) as u64).unwrap_or(0);
    let rotated = (0..count).map(|n| (n + start) % count);
    rotated.min_by(|a, b| candidates[*a].own.total_cmp(&candidates[*b].own))
}

fn drawn(count: usize, turn: u64) -> Vec<usize> {
    let mut few = Vec::with_capacity(DRAWN + HOLDING);
    let mut seed = turn;
    while few.len() < DRAWN.min(count) {
        seed = mix(seed);
        let n = usize::try_from(seed % count as u64).unwrap_or(0);
        if !few.contains(&n) {
            few.push(n);
        }
    }
    few
}

/// The candidates that hold most of the prompt, the less loaded first.
fn holding(candidates: &[Candidate]) -> Vec<usize> {
    let holds = |n: &usize| candidates[*n].held > 0.0;
    let mut holding: Vec<usize> = (0..candidates.len()).filter(holds).collect();
    holding.sort_by(|a, b| {
        let (a, b) = (candidates[*a], candidates[*b]);
        b.held.total_cmp(&a.held).then(a.load.total_cmp(&b.load))
    });
    holding.truncate(HOLDING);
    holding
}

/// The next number of the splitmix64 sequence.
fn mix(seed: u64) -> u64 {
    let mut z = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

#[cfg(test)]
mod tests {
    use super::*;

    const IDLE: Candidate = Candidate {
        own: 0.0,
        load: 0.0,
        slots: 16.0,
        held: 0.0,
        near: true,
    };
    const WORK: Work = Work {
        prompt: 50.0,
        answer: 100.0,
    };

    fn at(load: f64, held: f64) -> Candidate {
        Candidate { load, held, ..IDLE }
    }

    #[test]
    fn choose_weighs_prefix_against_load() {
        let follow = [at(0.0, 0.0), at(4.0, 1.0)];
        let leave = [at(0.0, 0.0), at(16.0, 1.0)];
        for turn in 0..20 {
            let pick = |candidates| choose(ChoicePolicy::Affinity, candidates, WORK, turn);
            assert_eq!(pick(&follow[..]), Some(1));
            assert_eq!(pick(&leave[..]), Some(0));
        }
    }

    #[test]
    fn choose_spreads_when_reports_lag() {
        // Entries choose 900 times on the same old figures, of which one looks idle.
        let mut candidates = vec![at(8.0, 0.0); 9];
        candidates[3] = IDLE;
        // Each entry has one request of its own on every server.
        for one in &mut candidates {
            one.own = 1.0;
        }
        let mut uses = [0; 9];
        for turn in 0..900 {
            let seed = mix(turn * 7_919);
            let chosen = choose(ChoicePolicy::Affinity, &candidates, WORK, seed);
            uses[chosen.expect("a candidate")] += 1;
        }
        assert!(uses[3] <= 450, "{uses:?}");
    }

    #[test]
    fn choose_round_robin_takes_turns() {
        let candidates = [IDLE; 3];
        let chosen: Vec<_> = (0..4)
            .map(|turn| choose(ChoicePolicy::RoundRobin, &candidates, WORK, turn))
            .collect();
        assert_eq!(chosen, [Some(0), Some(1), Some(2), Some(0)]);
    }

    #[test]
    fn choose_least_counts_own_requests_only() {
        let mut candidates = [at(0.0, 1.0), at(9.0, 0.0)];
        candidates[0].own = 1.0;
        assert_eq!(choose(ChoicePolicy::Least, &candidates, WORK, 0), Some(1));
    }
}
