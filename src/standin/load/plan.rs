//! When each request is sent, and its prompt: fixed by a seed.

use std::fmt::Write as _;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};

/// Requests a second of one tenant.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Rate {
    /// The tenant.
    pub tenant: String,
    /// Requests a second.
    pub a_second: f64,
}

/// What is to be sent.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    /// Each tenant's rate.
    pub rates: Vec<Rate>,
    /// Time for which requests are sent.
    pub length: Duration,
    /// Seed of all draws.
    pub seed: u64,
    /// Words that prompts of one family share.
    pub words: usize,
    /// Families of prompts of each tenant.
    pub families: usize,
}

/// One request.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Arrival {
    /// Time from the start.
    pub after: Duration,
    /// Whose request it is.
    pub tenant: String,
    /// Its prompt.
    pub prompt: String,
}

impl Plan {
    /// All requests in order: each tenant's arrivals are a Poisson process.
    pub(super) fn arrivals(&self) -> Vec<Arrival> {
        let mut all = Vec::new();
        for (n, rate) in self.rates.iter().enumerate() {
            let mut rng = StdRng::seed_from_u64(self.seed.wrapping_add(n as u64 * 7_919));
            let mut at = 0.0;
            loop {
                let draw: f64 = rng.random_range(f64::EPSILON..1.0);
                at -= draw.ln() / rate.a_second;
                if at >= self.length.as_secs_f64() {
                    break;
                }
                all.push(Arrival {
                    after: Duration::from_secs_f64(at),
                    tenant: rate.tenant.clone(),
                    prompt: self.prompt(&rate.tenant, &mut rng),
                });
            }
        }
        all.sort_by_key(|arrival| arrival.after);
        all
    }

    fn prompt(&self, tenant: &str, rng: &mut StdRng) -> String {
        let family = rng.random_range(0..self.families.max(1));
        let own: u32 = rng.random();
        let mut prompt = format!("{tenant}-{family}");
        for word in 1..self.words {
            // Writing to a string does not fail.
            let _ = write!(prompt, " w{word}");
        }
        let _ = write!(prompt, " {own}");
        prompt
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn arrivals_follow_rate_and_seed() {
        let rate = Rate {
            tenant: "t".to_owned(),
            a_second: 100.0,
        };
        let plan = Plan {
            rates: vec![rate],
            length: Duration::from_secs(20),
            seed: 3,
            words: 4,
            families: 2,
        };
        let arrivals = plan.arrivals();
        assert!(
            (1_800..2_200).contains(&arrivals.len()),
            "{}",
            arrivals.len()
        );
        assert_eq!(arrivals, plan.arrivals());
    }
}
