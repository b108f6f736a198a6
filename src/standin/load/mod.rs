//! Open-loop load generator for entries that checks the content of every answer.

mod call;
mod plan;
mod tally;

use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use gumdrop::Options;
use tokio::task::JoinSet;

use crate::http::Client;

use call::Target;
use plan::{Plan, Rate};
use tally::Tally;

/// Sends requests at stated rates, checks every answer, and prints figures as JSON.
///
/// Requests are sent at their planned instants, whether or not earlier ones were answered;
/// times count from these instants.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this text")]
    help: bool,
    /// Entries to send to, round-robin.
    #[options(required, help = "base URL of an entry; repeat for more", meta = "URL")]
    entry: Vec<String>,
    /// File with the tenants' keys.
    #[options(required, help = "JSON file that maps each tenant to its key")]
    keys: PathBuf,
    /// Requests a second of a tenant.
    #[options(help = "requests a second of a tenant", meta = "TENANT=RATE")]
    rate: Vec<String>,
    /// Seconds of load.
    #[options(help = "seconds of load", default = "10")]
    seconds: u64,
    /// Seed of the arrivals and prompts.
    #[options(help = "seed of arrivals and prompts", default = "1")]
    seed: u64,
    /// Model asked for.
    #[options(help = "model to ask for", default = "stroke-1")]
    model: String,
    /// Tokens of each answer.
    #[options(help = "tokens of each answer", default = "32")]
    tokens: u32,
    /// Words of the prefix that prompts of a family share.
    #[options(help = "words that prompts of a family share", default = "64")]
    words: usize,
    /// Families of prompts of each tenant.
    #[options(help = "families of prompts of a tenant", default = "8")]
    families: usize,
    /// Timeout of a request in milliseconds; 0 for none.
    #[options(
        help = "milliseconds that a caller waits, 0 for no limit",
        default = "0"
    )]
    timeout_ms: u64,
}

/// Runs the load and prints its figures as JSON.
///
/// # Errors
/// An argument is malformed, a file cannot be read, or an answer was wrong.
pub fn run(args: &Args) -> io::Result<()> {
    let runtime = tokio::runtime::Runtime::new()?;
    let tally = runtime.block_on(args.load())?;
    let report = tally.report(args.seconds);
    println!("{}", serde_json::to_string(&report)?);
    if report.wrong > 0 {
        let detail = format!("{} answers were wrong", report.wrong);
        return Err(io::Error::other(detail));
    }
    Ok(())
}

impl Args {
    async fn load(&self) -> io::Result<Tally> {
        let keys: BTreeMap<String, String> =
            serde_json::from_str(&std::fs::read_to_string(&self.keys)?)?;
        let plan = Plan {
            rates: self.rates()?,
            duration: Duration::from_secs(self.seconds),
            seed: self.seed,
            shared_words: self.words,
            families: self.families,
        };
        let target = Arc::new(Target {
            client: Client::new(),
            model: self.model.clone(),
            tokens: self.tokens,
            timeout: (self.timeout_ms > 0).then_some(Duration::from_millis(self.timeout_ms)),
        });
        let start = Instant::now();
        let mut calls = JoinSet::new();
        for (number, arrival) in plan.arrivals().into_iter().enumerate() {
            let due = start + arrival.offset;
            tokio::time::sleep_until(due.into()).await;
            let key = keys.get(&arrival.tenant).cloned().unwrap_or_default();
            let entry = self.entry[number % self.entry.len()].clone();
            let target = Arc::clone(&target);
            calls.spawn(async move {
                let outcome = target.call(&entry, &key, &arrival.prompt, due).await;
                (arrival.tenant, outcome)
            });
        }
        let mut tally = Tally::new(self.tokens);
        while let Some(done) = calls.join_next().await {
            let (tenant, outcome) = done.map_err(io::Error::other)?;
            tally.add(&tenant, &outcome);
        }
        Ok(tally)
    }

    fn rates(&self) -> io::Result<Vec<Rate>> {
        let malformed = |text: &str| io::Error::other(format!("{text}: expected TENANT=RATE"));
        let mut rates = Vec::new();
        for text in &self.rate {
            let (tenant, rate) = text.split_once('=').ok_or_else(|| malformed(text))?;
            rates.push(Rate {
                tenant: tenant.to_owned(),
                per_second: rate.parse().map_err(|_| malformed(text))?,
            });
        }
        Ok(rates)
    }
}
