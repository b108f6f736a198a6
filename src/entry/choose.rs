//! Load balancing: the choice of a backend server among candidates.

use crate::manifest::ChoicePolicy;

/// Candidates sampled at random for each choice.
const SAMPLED: usize = 3;
/// Candidates considered because they have part of the prompt cached.
const CACHED: usize = 2;
/// Relative slowdown of each request on a server with all slots in use.
const SLOWDOWN: f64 = 0.75;
/// Cost of a server in another availability zone, as a share of the answer's time.
const REMOTE_COST: f64 = 0.01;

/// A backend server, with the load figures that the choice compares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Requests that this entry runs on the server.
    pub own_inflight: f64,
    /// Requests that all entries run on the server, as last reported.
    pub load: f64,
    /// Requests that the server can run at a time.
    pub slots: f64,
    /// Share of the prompt that the server has in its cache.
    pub cached: f64,
    /// Whether the server is in this entry's availability zone.
    pub same_zone: bool,
}

/// The work of a request, in units of one token of an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Work {
    /// Work for the prompt if no part of it is cached.
    pub prompt: f64,
    /// Work for the answer.
    pub answer: f64,
}

impl Candidate {
    /// Estimates the time of `work` on this server beyond generating its answer, in tokens.
    fn cost(&self, work: Work) -> f64 {
        let slots = self.slots.max(1.0);
        let slow = SLOWDOWN * self.load / slots;
        let queued = (self.load + 1.0 - slots).max(0.0) / slots;
        let remote = if self.same_zone { 0.0 } else { REMOTE_COST };
        work.answer * (slow + queued + remote) + work.prompt * (1.0 - self.cached)
    }
}

/// Returns the index of the server to use.
///
/// `turn` increases by one with each choice. It is the position for round-robin, seeds the random
/// sample and breaks ties.
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

/// Returns the cheapest of a few candidates: some at random, those with most of the prompt
/// cached, and the one with the fewest own requests.
///
/// Load reports lag. Random sampling keeps entries that see the same reports from all choosing
/// the server that looked idle last.
fn cheapest(candidates: &[Candidate], work: Work, turn: u64) -> Option<usize> {
    let mut shortlist = sampled(candidates.len(), turn);
    shortlist.extend(cached(candidates));
    // Own counts are exact and differ between entries, so this causes no herding.
    shortlist.extend(fewest_own(candidates, turn));
    let cost = |n: &usize| candidates[*n].cost(work);
    shortlist
        .into_iter()
        .min_by(|a, b| cost(a).total_cmp(&cost(b)))
}

/// Returns the candidate with the fewest own requests; `turn` breaks ties.
fn fewest_own(candidates: &[Candidate], turn: u64) -> Option<usize> {
    let count = candidates.len();
    let start = usize::try_from(turn % count.max(1) as u64).unwrap_or(0);
    let rotated = (0..count).map(|n| (n + start) % count);
    rotated.min_by(|a, b| {
        candidates[*a]
            .own_inflight
            .total_cmp(&candidates[*b].own_inflight)
    })
}

fn sampled(count: usize, turn: u64) -> Vec<usize> {
    let mut shortlist = Vec::with_capacity(SAMPLED + CACHED);
    let mut seed = turn;
    while shortlist.len() < SAMPLED.min(count) {
        seed = splitmix64(seed);
        let n = usize::try_from(seed % count as u64).unwrap_or(0);
        if !shortlist.contains(&n) {
            shortlist.push(n);
        }
    }
    shortlist
}

/// Returns the candidates with most of the prompt cached; among equals, the less loaded first.
fn cached(candidates: &[Candidate]) -> Vec<usize> {
    let holds = |n: &usize| candidates[*n].cached > 0.0;
    let mut cached: Vec<usize> = (0..candidates.len()).filter(holds).collect();
    cached.sort_by(|a, b| {
        let (a, b) = (candidates[*a], candidates[*b]);
        b.cached
            .total_cmp(&a.cached)
            .then(a.load.total_cmp(&b.load))
    });
    cached.truncate(CACHED);
    cached
}

/// Returns the next number of the splitmix64 sequence.
fn splitmix64(seed: u64) -> u64 {
    let mut z = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

#[cfg(test)]
mod tests {
    use super::*;

    const IDLE: Candidate = Candidate {
        own_inflight: 0.0,
        load: 0.0,
        slots: 16.0,
        cached: 0.0,
        same_zone: true,
    };
    const WORK: Work = Work {
        prompt: 50.0,
        answer: 100.0,
    };

    fn at(load: f64, cached: f64) -> Candidate {
        Candidate {
            load,
            cached,
            ..IDLE
        }
    }

    #[test]
    fn choose_weighs_prefix_against_load() {
        let light_load = [at(0.0, 0.0), at(4.0, 1.0)];
        let full_load = [at(0.0, 0.0), at(16.0, 1.0)];
        for turn in 0..20 {
            let pick = |candidates| choose(ChoicePolicy::Affinity, candidates, WORK, turn);
            assert_eq!(pick(&light_load[..]), Some(1));
            assert_eq!(pick(&full_load[..]), Some(0));
        }
    }

    #[test]
    fn choose_spreads_when_reports_lag() {
        // Entries choose 900 times by the same stale reports, in which one server looks idle.
        let mut candidates = vec![at(8.0, 0.0); 9];
        candidates[3] = IDLE;
        // Each entry has one request of its own on every server.
        for candidate in &mut candidates {
            candidate.own_inflight = 1.0;
        }
        let mut uses = [0; 9];
        for turn in 0..900 {
            let seed = splitmix64(turn * 7_919);
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
        candidates[0].own_inflight = 1.0;
        assert_eq!(choose(ChoicePolicy::Least, &candidates, WORK, 0), Some(1));
    }
}
