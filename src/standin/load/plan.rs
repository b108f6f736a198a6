//! Plans the instant and the prompt of each request, determined by a seed.

use std::fmt::Write as _;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};

/// The request rate of one tenant.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Rate {
    /// The tenant.
    pub tenant: String,
    /// Mean requests per second.
    pub per_second: f64,
}

/// The parameters that determine all requests of a load.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    /// Each tenant's rate.
    pub rates: Vec<Rate>,
    /// Time for which requests are sent.
    pub duration: Duration,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Words of the prefix that prompts of a family share.
    pub shared_words: usize,
    /// Families of prompts of each tenant.
    pub families: usize,
}

/// One planned request.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Arrival {
    /// Time from the start of the load.
    pub offset: Duration,
    /// The tenant that sends the request.
    pub tenant: String,
    /// The prompt.
    pub prompt: String,
}

impl Plan {
    /// Returns all requests by time; each tenant's arrivals are a Poisson process.
    pub(super) fn arrivals(&self) -> Vec<Arrival> {
        let mut all = Vec::new();
        for (n, rate) in self.rates.iter().enumerate() {
            let mut rng = StdRng::seed_from_u64(self.seed.wrapping_add(n as u64 * 7_919));
            let mut at = 0.0;
            loop {
                let draw: f64 = rng.random_range(f64::EPSILON..1.0);
                at -= draw.ln() / rate.per_second;
                if at >= self.duration.as_secs_f64() {
                    break;
                }
                all.push(Arrival {
                    offset: Duration::from_secs_f64(at),
                    tenant: rate.tenant.clone(),
                    prompt: self.prompt(&rate.tenant, &mut rng),
                });
            }
        }
        all.sort_by_key(|arrival| arrival.offset);
        all
    }

    fn prompt(&self, tenant: &str, rng: &mut StdRng) -> String {
        let family = rng.random_range(0..self.families.max(1));
        let suffix: u32 = rng.random();
        let mut prompt = format!("{tenant}-{family}");
        for word in 1..self.shared_words {
            // Writing to a string does not fail.
            let _ = write!(prompt, " w{word}");
        }
        let _ = write!(prompt, " {suffix}");
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
            per_second: 100.0,
        };
        let plan = Plan {
            rates: vec![rate],
            duration: Duration::from_secs(20),
            seed: 3,
            shared_words: 4,
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
