//! Simulated trainers that pull rounds while weights change, and check every sample.

mod puller;
mod report;

use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use gumdrop::Options;
use http::{Method, Request, header};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::http::Client;
use crate::util::{random_id, unix_ms};
use crate::wire::{ConfigBody, ConfigRecord, Published, RoundSpec, Status, Verdict};

use super::engine::HEAVY_TAIL;
use puller::Puller;
use report::{Report, Step};

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(40);
/// Milliseconds from a round's creation to its deadline.
const ROUND_DEADLINE_MS: u64 = 600_000;
/// Backoff before a call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Runs trainers that pull one round a step, and prints what they measured as JSON.
#[derive(Clone, Debug, Options)]
pub struct Args {
    #[options(help = "print this text")]
    help: bool,
    /// Control daemons.
    #[options(
        help = "base URL of a control daemon; may be repeated",
        required,
        meta = "URL"
    )]
    pub control: Vec<String>,
    #[options(help = "file with a key of the tenant", required, meta = "FILE")]
    key_file: PathBuf,
    #[options(help = "file with the operator's key", required, meta = "FILE")]
    operator_key: PathBuf,
    #[options(
        no_short,
        help = "the manifest in force, with its base and version",
        required,
        meta = "FILE"
    )]
    manifest: PathBuf,
    #[options(help = "the tenant", required)]
    tenant: String,
    #[options(no_short, help = "the model", default = "stroke-1")]
    model: String,
    #[options(
        no_short,
        help = "prefix of the rounds' names, which determines all samples' lengths",
        default = "t"
    )]
    seed: String,
    #[options(no_short, help = "trainers", default = "3")]
    trainers: u32,
    #[options(no_short, help = "steps of each trainer", default = "4")]
    steps: u32,
    #[options(no_short, help = "groups of a round", default = "32")]
    groups: u32,
    #[options(no_short, help = "samples of a group", default = "8")]
    samples: u32,
    #[options(
        no_short,
        help = "most tokens; one sample in 100 has as many, 20 times the median",
        default = "2000"
    )]
    max_tokens: u32,
    #[options(no_short, help = "largest staleness", default = "2")]
    staleness: u64,
    #[options(
        no_short,
        help = "milliseconds that a trainer computes a step",
        default = "2000"
    )]
    train_ms: u64,
    #[options(
        no_short,
        help = "milliseconds between two weight versions; 0 for none",
        default = "5000"
    )]
    version_ms: u64,
    #[options(
        no_short,
        help = "milliseconds for one token of a lone request",
        default = "2"
    )]
    token_ms: u64,
}

/// State shared by all trainers of the process.
#[derive(Debug)]
pub(super) struct Shared {
    args: Args,
    key: String,
    operator: String,
    client: Client,
    /// The newest weight version published.
    version: AtomicU64,
    /// Whether all trainers are done.
    ended: AtomicBool,
}

/// Runs all trainers and prints the report.
///
/// # Errors
/// A file cannot be read, a call still failed after retries, or samples were not as expected.
pub fn run(args: &Args) -> io::Result<()> {
    let read =
        |path: &PathBuf| Ok::<_, io::Error>(std::fs::read_to_string(path)?.trim().to_owned());
    let shared = Arc::new(Shared {
        key: read(&args.key_file)?,
        operator: read(&args.operator_key)?,
        args: args.clone(),
        client: Client::new(),
        version: AtomicU64::new(1),
        ended: AtomicBool::new(false),
    });
    let report = tokio::runtime::Runtime::new()?.block_on(train(&shared))?;
    println!("{}", serde_json::to_string(&report)?);
    if report.is_valid() {
        return Ok(());
    }
    Err(io::Error::other(
        "samples are missing, duplicated, inconsistent with their versions or too old",
    ))
}

async fn train(shared: &Arc<Shared>) -> io::Result<Report> {
    let manifest = std::fs::read_to_string(&shared.args.manifest)?;
    let publisher = tokio::spawn(publish_versions(Arc::clone(shared), manifest));
    let trainers = (0..shared.args.trainers).map(|n| train_one(shared, n));
    let steps = join_all(trainers).await;
    shared.ended.store(true, Ordering::Relaxed);
    publisher.await.map_err(io::Error::other)??;
    let mut all = Vec::new();
    for steps in steps {
        all.extend(steps?);
    }
    Ok(Report::new(all, shared.version.load(Ordering::Relaxed)))
}

/// Creates a round for each step, pulls it, then waits for the training time.
async fn train_one(shared: &Arc<Shared>, trainer: u32) -> io::Result<Vec<Step>> {
    let mut steps = Vec::new();
    for step in 0..shared.args.steps {
        let name = format!("{}-{trainer}-{step}", shared.args.seed);
        shared.create(&name).await?;
        let first = trainer as usize;
        steps.push(
            Puller::new(Arc::clone(shared), &name, first)
                .pull_all()
                .await?,
        );
        tokio::time::sleep(Duration::from_millis(shared.args.train_ms)).await;
    }
    Ok(steps)
}

/// Publishes a new weight version every `version_ms` until the trainers are done.
async fn publish_versions(shared: Arc<Shared>, manifest: String) -> io::Result<()> {
    let period = Duration::from_millis(shared.args.version_ms);
    if period.is_zero() {
        return Ok(());
    }
    loop {
        tokio::time::sleep(period).await;
        if shared.ended.load(Ordering::Relaxed) {
            return Ok(());
        }
        let next = shared.version.load(Ordering::Relaxed) + 1;
        let status: Status = shared.operator_call(Method::GET, "status", &()).await?;
        let text = manifest.replace("version = 1", &format!("version = {next}"));
        let base = status.revision;
        let text = text.replace("base = 0", &format!("base = {base}"));
        shared.publish(ConfigBody::Manifest { base, text }).await?;
        shared.version.store(next, Ordering::Relaxed);
    }
}

impl Shared {
    fn control(&self, turn: usize) -> &str {
        let controls = &self.args.control;
        controls[turn % controls.len()].trim_end_matches('/')
    }

    async fn create(&self, name: &str) -> io::Result<()> {
        let args = &self.args;
        let prompt = |group: u32| format!("{HEAVY_TAIL} {name} {group}");
        let round = RoundSpec {
            deadline_ms: unix_ms() + ROUND_DEADLINE_MS,
            groups: args.groups,
            max_tokens: args.max_tokens,
            model: args.model.clone(),
            name: name.to_owned(),
            prompts: (0..args.groups).map(prompt).collect(),
            samples: args.samples,
            staleness: args.staleness,
            tenant: args.tenant.clone(),
        };
        self.publish(ConfigBody::RoundCreate { round }).await
    }

    /// Publishes a record with retries; an error unless it was accepted.
    async fn publish(&self, body: ConfigBody) -> io::Result<()> {
        let record = ConfigRecord {
            body,
            id: random_id(),
        };
        let published: Published = self.operator_call(Method::POST, "records", &record).await?;
        match published.verdict {
            Verdict::Accepted { .. } => Ok(()),
            other => Err(io::Error::other(format!(
                "the record was not accepted: {other:?}"
            ))),
        }
    }

    /// Calls the operator interface; fails over to the next control daemon on errors.
    async fn operator_call<T: DeserializeOwned>(
        &self,
        method: Method,
        page: &str,
        body: &impl Serialize,
    ) -> io::Result<T> {
        let mut last = None;
        for turn in 0..20 {
            let url = format!("{}/operator/{page}", self.control(turn));
            match self.call(method.clone(), &url, &self.operator, body).await {
                Ok(answer) => return Ok(answer),
                Err(error) => last = Some(error),
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        Err(last.unwrap_or_else(|| io::Error::other("no call was made")))
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        url: &str,
        key: &str,
        body: &impl Serialize,
    ) -> io::Result<T> {
        let request = Request::builder()
            .method(method)
            .uri(url)
            .header(header::AUTHORIZATION, format!("Bearer {key}"))
            .body(Bytes::from(serde_json::to_vec(body)?))
            .map_err(io::Error::other)?;
        let answer = self.client.fetch(request, CALL_TIMEOUT).await;
        let answer = answer.map_err(io::Error::other)?;
        if answer.status().is_success() {
            return Ok(serde_json::from_slice(answer.body())?);
        }
        let detail = String::from_utf8_lossy(answer.body()).into_owned();
        Err(io::Error::other(format!(
            "{url}: {} {detail}",
            answer.status()
        )))
    }
}
