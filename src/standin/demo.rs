//! A smoke test that calls the main interfaces once, as a caller and as a trainer.

use std::collections::BTreeSet;
use std::io;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use bytes::Bytes;
use gumdrop::Options;
use http::{Method, Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::http::Client;
use crate::util::random_id;
use crate::wire::{
    Addresses, Problem, Pull, Pulled, Run, Sample, SessionOpen, SessionOpened, UsageReport,
};

use super::engine::answer_text;

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Time within which a step must succeed.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);
/// Backoff between two attempts of a step.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Tokens asked for in the streamed answer.
const TOKENS: usize = 40;
/// Samples that the round must deliver.
const SAMPLES: usize = 64;

/// Calls the main interfaces once and prints each step with a tick or the failure.
#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "print this text")]
    help: bool,
    #[options(help = "base URL of an entry", required, meta = "URL")]
    entry: String,
    #[options(help = "base URL of a control daemon", required, meta = "URL")]
    control: String,
    #[options(help = "base URL of the platform", required, meta = "URL")]
    platform: String,
    #[options(help = "file with a caller's key", required, meta = "FILE")]
    key_file: PathBuf,
    #[options(help = "the round to pull", required)]
    round: String,
}

/// Compares the reports that the usage interface received with a replay.
#[derive(Debug, Options)]
pub struct CompareArgs {
    #[options(help = "print this text")]
    help: bool,
    #[options(help = "base URL of the platform", required, meta = "URL")]
    platform: String,
    #[options(help = "file with what `basillead replay --json` printed", required)]
    replay: PathBuf,
}

/// The result of a step; an error says why the step failed.
type StepResult = Result<(), Box<dyn std::error::Error>>;

/// One client that acts as a caller and as a trainer.
struct Demo<'a> {
    args: &'a Args,
    key: String,
    client: Client,
    runtime: tokio::runtime::Runtime,
    /// The entry's incarnation, which starts the idempotency keys.
    incarnation: String,
}

/// Runs all steps.
///
/// # Errors
/// A step failed.
pub fn run(args: &Args) -> io::Result<()> {
    let mut demo = Demo {
        args,
        key: std::fs::read_to_string(&args.key_file)?.trim().to_owned(),
        client: Client::new(),
        runtime: tokio::runtime::Runtime::new()?,
        incarnation: String::new(),
    };
    demo.step("an address with its incarnation", Demo::address)?;
    demo.step("refused without a key, not run", Demo::refused)?;
    demo.step(
        "streamed answer, complete and the one to the request",
        Demo::streamed,
    )?;
    demo.step("order sent twice, run once", Demo::order)?;
    demo.step("round of 64 samples, complete", Demo::round)?;
    demo.step("usage window reported", Demo::reported)
}

impl Demo<'_> {
    /// Retries a step until it passes or its timeout expires.
    fn step(&mut self, what: &str, check: fn(&mut Self) -> StepResult) -> io::Result<()> {
        let until = Instant::now() + STEP_TIMEOUT;
        loop {
            let Err(error) = check(self) else {
                println!("✓ {what}");
                return Ok(());
            };
            if Instant::now() >= until {
                println!("✗ {what}");
                return Err(io::Error::other(format!("{what}: {error}")));
            }
            std::thread::sleep(RETRY_DELAY);
        }
    }

    fn call(&self, request: Request<Bytes>) -> Result<Response<Bytes>, Box<dyn std::error::Error>> {
        let fetched = self.client.fetch(request, CALL_TIMEOUT);
        Ok(self.runtime.block_on(fetched)?)
    }

    fn get<T: DeserializeOwned>(&self, url: &str) -> Result<T, Box<dyn std::error::Error>> {
        let answer = self.call(Request::get(url).body(Bytes::new())?)?;
        Ok(serde_json::from_slice(answer.body())?)
    }

    /// Posts JSON with the caller's key; the answer must be a success.
    fn post<T: DeserializeOwned>(
        &self,
        url: &str,
        body: &impl Serialize,
    ) -> Result<T, Box<dyn std::error::Error>> {
        let request = Request::post(url)
            .header("authorization", format!("Bearer {}", self.key))
            .body(Bytes::from(serde_json::to_vec(body)?))?;
        let answer = self.call(request)?;
        if !answer.status().is_success() {
            let text = String::from_utf8_lossy(answer.body()).into_owned();
            return Err(format!("{url}: {} {text}", answer.status()).into());
        }
        Ok(serde_json::from_slice(answer.body())?)
    }

    fn address(&mut self) -> StepResult {
        let url = format!("{}/v1/addresses", self.args.entry);
        let addresses: Addresses = self.get(&url)?;
        let own = addresses.addresses.iter();
        let own = own.into_iter().find(|a| a.url == self.args.entry);
        let own = own.ok_or("the entry is not among its own addresses")?;
        self.incarnation.clone_from(&own.incarnation);
        Ok(())
    }

    fn refused(&mut self) -> StepResult {
        let url = format!("{}/v1/completions", self.args.entry);
        let answer = self.call(Request::post(url).body(Bytes::from("{}"))?)?;
        let problem: Problem = serde_json::from_slice(answer.body())?;
        if answer.status() != StatusCode::UNAUTHORIZED || problem.run != Run::NotRun {
            return Err(problem.detail.into());
        }
        Ok(())
    }

    fn streamed(&mut self) -> StepResult {
        let body = serde_json::json!({
            "model": "stroke-1", "prompt": "letter the panel", "max_tokens": TOKENS, "stream": true,
        });
        let request = Request::post(format!("{}/v1/completions", self.args.entry))
            .header("authorization", format!("Bearer {}", self.key))
            .body(Bytes::from(body.to_string()))?;
        let answer = self.call(request)?;
        let (id, text) = streamed_text(answer.body())?;
        if text != answer_text(&id, TOKENS) {
            return Err(
                format!("the streamed text differs from the engine's answer: {text}").into(),
            );
        }
        Ok(())
    }

    fn order(&mut self) -> StepResult {
        let key = format!("{}.{}", self.incarnation, random_id());
        let url = format!("{}/orders", self.args.entry);
        let mut bodies = BTreeSet::new();
        for _ in 0..2 {
            let request = Request::builder()
                .method(Method::POST)
                .uri(&url)
                .header("authorization", format!("Bearer {}", self.key))
                .header("idempotency-key", &key)
                .body(Bytes::from(key.clone()))?;
            let answer = self.call(request)?;
            if !answer.status().is_success() {
                return Err(String::from_utf8_lossy(answer.body()).into_owned().into());
            }
            bodies.insert(answer.into_body());
        }
        let runs: std::collections::BTreeMap<String, u64> =
            self.get(&format!("{}/runs", self.args.platform))?;
        if bodies.len() != 1 || runs.get(&key) != Some(&1) {
            return Err(format!(
                "an order sent twice got {} different answers and {:?} runs",
                bodies.len(),
                runs.get(&key)
            )
            .into());
        }
        Ok(())
    }

    fn round(&mut self) -> StepResult {
        let sessions = format!("{}/v1/rounds/sessions", self.args.control);
        let open = SessionOpen {
            held: Vec::new(),
            round: self.args.round.clone(),
        };
        let opened: SessionOpened = self.post(&sessions, &open)?;
        let url = format!("{sessions}/{}/pull", opened.session);
        let mut samples: Vec<Sample> = Vec::new();
        let until = Instant::now() + STEP_TIMEOUT;
        for seq in 1.. {
            let pull = Pull {
                max: 16,
                seq,
                version: 1,
                wait_ms: 1_000,
            };
            let pulled: Pulled = self.post(&url, &pull)?;
            samples.extend(pulled.samples);
            if pulled.missing == 0 || Instant::now() >= until {
                break;
            }
        }
        check_samples(&samples)
    }

    fn reported(&mut self) -> StepResult {
        let reports: Vec<UsageReport> = self.get(&format!("{}/usage", self.args.platform))?;
        let lines = reports.iter().flat_map(|report| &report.lines);
        if lines.filter(|line| line.tenant == "desk").count() == 0 {
            return Err("no usage report has a line of tenant desk yet".into());
        }
        Ok(())
    }
}

/// Checks that each slot is filled once and that segments cover every token.
fn check_samples(samples: &[Sample]) -> StepResult {
    let slots = samples.iter().map(|s| (s.slot.group, s.slot.index));
    let slots: BTreeSet<(u32, u32)> = slots.collect();
    if samples.len() != SAMPLES || slots.len() != SAMPLES {
        return Err(format!(
            "expected {SAMPLES} samples, found {} in {} slots",
            samples.len(),
            slots.len()
        )
        .into());
    }
    for sample in samples {
        let tokens: u32 = sample.segments.iter().map(|segment| segment.tokens).sum();
        if tokens as usize != sample.text.split_whitespace().count() {
            return Err(format!(
                "the segments do not cover all tokens of the sample in {:?}",
                sample.slot
            )
            .into());
        }
    }
    Ok(())
}

/// Returns the id and the text of a streamed answer.
///
/// # Errors
/// The stream does not end with `[DONE]`, or an event lacks its id or its text.
pub fn streamed_text(body: &[u8]) -> Result<(String, String), Box<dyn std::error::Error>> {
    let text = String::from_utf8_lossy(body);
    let Some(events) = text.trim_end().strip_suffix("data: [DONE]") else {
        return Err(format!("the stream does not end with [DONE]: {text}").into());
    };
    let mut id = String::new();
    let mut whole = String::new();
    for event in events
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
    {
        let event: serde_json::Value = serde_json::from_str(event)?;
        let name = event["id"].as_str().ok_or("a stream event has no id")?;
        let text = event["choices"][0]["text"].as_str();
        name.clone_into(&mut id);
        whole.push_str(text.ok_or("a stream event has no text")?);
    }
    Ok((id, whole))
}

/// Checks that each usage report that was received is in a replay.
///
/// # Errors
/// A report is missing from the replay, or no report was received.
pub fn compare(args: &CompareArgs) -> io::Result<()> {
    let runtime = tokio::runtime::Runtime::new()?;
    let request = Request::get(format!("{}/usage", args.platform)).body(Bytes::new());
    let request = request.map_err(io::Error::other)?;
    let answer = runtime.block_on(Client::new().fetch(request, CALL_TIMEOUT));
    let answer = answer.map_err(io::Error::other)?;
    let reports: Vec<UsageReport> = serde_json::from_slice(answer.body())?;
    let replayed = std::fs::read_to_string(&args.replay)?;
    let replayed: BTreeSet<&str> = replayed.lines().collect();
    for report in &reports {
        let text = serde_json::to_string(report)?;
        if !replayed.contains(text.as_str()) {
            return Err(io::Error::other(format!(
                "this report is not in the replay: {text}"
            )));
        }
    }
    if reports.is_empty() {
        return Err(io::Error::other("the usage interface received no reports"));
    }
    Ok(())
}
