//! Runs one generation on an engine, and resumes it on another server after a failure.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::http::{Refusal, RefusalKind};
use crate::manifest::RetryPolicy;
use crate::names::{Fingerprint, Model, Pool, ServerId, Tenant};
use crate::wire::{EngineChunk, EngineRequest, Run, Segment};

use super::Entry;
use super::eject::Failure;
use super::engine::{EngineError, EngineStream};
use super::gossip;
use super::metrics::Attempt;
use super::placement::{Placement, Placer};
use super::poison::Crash;
use super::prefix::block_hashes;
use super::servers::KnownServer;
use super::suspect::{self, TrialGuard};

/// Attempts on backend servers that one request may take, the first included.
const ATTEMPTS_MAX: u32 = 4;
/// `Retry-After` in seconds when the retry budget is used up.
const RETRY_S: u64 = 1;

/// The most urgent engine priority of rollout work; higher numbers are rollout work too.
pub(super) const PRIORITY_ROLLOUT_FIRST: u32 = 9;

/// The parameters of one generation.
#[derive(Clone, Debug)]
pub(super) struct Job {
    /// Request id, which the engine echoes.
    pub id: String,
    /// The tenant that the request belongs to.
    pub tenant: Tenant,
    /// The model.
    pub model: Model,
    /// The prompt.
    pub prompt: String,
    /// Maximum tokens of the whole answer, including those in `resume`.
    pub max_tokens: u32,
    /// Engine priority; lower runs first.
    pub priority: u32,
    /// Sampling seed, if the caller set one.
    pub seed: Option<u64>,
    /// When the answer must be complete.
    pub deadline: Instant,
    /// Oldest weight version that may generate the answer, if it matters.
    pub version: Option<u64>,
    /// Tokens that an earlier generation already produced.
    pub resume: Vec<String>,
    /// Servers that must not run the request, such as those that already failed it.
    pub avoid: Vec<ServerId>,
}

/// A generation in flight. Dropping a `Generation` cancels the engine's work.
#[derive(Debug)]
pub(super) struct Generation {
    entry: Arc<Entry>,
    job: Job,
    pool: Pool,
    /// Longest wait for the next chunk.
    idle_timeout: Duration,
    tokens: Vec<String>,
    segments: Vec<Segment>,
    prompt_tokens: u32,
    attempts: u32,
    /// Whether an engine may have run any part of the request.
    sent: bool,
    stream: Option<EngineStream>,
    server: Option<ServerId>,
    /// Number of tokens in the job's `resume`, which this generation did not produce.
    resumed: usize,
    fingerprint: Fingerprint,
    blocks: Vec<u64>,
    trial: Option<TrialGuard>,
}

impl Generation {
    /// Prepares a generation without sending anything.
    ///
    /// # Errors
    /// The model is not in the manifest.
    pub(super) fn new(entry: Arc<Entry>, mut job: Job) -> Result<Self, Refusal> {
        let state = entry.config.state();
        let Some(model) = state.manifest.models.get(&job.model) else {
            let detail = format!("no model is named {}", job.model);
            return Err(Refusal::not_run(RefusalKind::NotFound, detail));
        };
        let tokens = std::mem::take(&mut job.resume);
        let resumed = tokens.len();
        Ok(Self {
            pool: model.pool.clone(),
            idle_timeout: Duration::from_millis(state.manifest.limits.idle),
            tokens,
            segments: Vec::new(),
            prompt_tokens: 0,
            attempts: 0,
            sent: false,
            stream: None,
            server: None,
            resumed,
            fingerprint: fingerprint(&job),
            blocks: block_hashes(&job.prompt),
            trial: None,
            entry,
            job,
        })
    }

    /// The pool whose servers generate the answer.
    pub(super) fn pool(&self) -> &Pool {
        &self.pool
    }

    /// All tokens so far, including those of the job's `resume`.
    pub(super) fn tokens(&self) -> &[String] {
        &self.tokens
    }

    /// The weight versions of the tokens that this generation produced.
    pub(super) fn segments(&self) -> &[Segment] {
        &self.segments
    }

    /// Number of prompt tokens, as counted by the engine.
    pub(super) fn prompt_tokens(&self) -> u32 {
        self.prompt_tokens
    }

    /// The server that last accepted the request.
    pub(super) fn server(&self) -> Option<&ServerId> {
        self.server.as_ref()
    }

    /// Returns the next chunk; the last one has `done` set.
    ///
    /// After a failure, the generation continues on another server.
    ///
    /// # Errors
    /// No server could continue the generation, or the deadline passed.
    pub(super) async fn next(&mut self) -> Result<EngineChunk, Refusal> {
        loop {
            if Instant::now() >= self.job.deadline {
                return Err(self.refusal(RefusalKind::Deadline, "the deadline passed"));
            }
            let Some(mut stream) = self.stream.take() else {
                self.open().await?;
                continue;
            };
            match stream.next(self.idle_timeout, self.job.deadline).await {
                Ok(chunk) => {
                    self.append(&chunk);
                    if chunk.done {
                        self.on_success(&stream.inflight.server);
                    } else if !self.should_move(&stream.inflight.server) {
                        self.stream = Some(stream);
                    }
                    return Ok(chunk);
                }
                Err(error) => {
                    let server = Arc::clone(&stream.inflight.server);
                    drop(stream);
                    self.on_failure(&server, &error).await;
                }
            }
        }
    }

    /// Whether to continue on another server because this one is leaving.
    ///
    /// Only rollout work moves: if then no other server is ready, its tokens so far are kept.
    fn should_move(&self, server: &KnownServer) -> bool {
        let is_rollout = self.job.priority >= PRIORITY_ROLLOUT_FIRST;
        is_rollout && server.is_leaving() && !self.entry.servers.running(&self.pool).is_empty()
    }

    /// Picks a server and opens a stream on it.
    async fn open(&mut self) -> Result<(), Refusal> {
        self.begin_attempt()?;
        let placed = self.place().await?;
        let server = Arc::clone(&placed.inflight.server);
        self.trial = placed.trial;
        let request = self.request();
        let deadline = self.job.deadline.min(Instant::now() + self.idle_timeout);
        let opened =
            EngineStream::open(&self.entry.client, placed.inflight, &request, deadline).await;
        match opened {
            Ok(stream) => {
                self.sent = true;
                self.server = Some(server.id.clone());
                self.stream = Some(stream);
            }
            Err(error) => self.on_failure(&server, &error).await,
        }
        Ok(())
    }

    /// Counts an attempt.
    ///
    /// A retry, made before any token was generated, takes from the retry budget. A resume does
    /// not.
    fn begin_attempt(&mut self) -> Result<(), Refusal> {
        if self.attempts == ATTEMPTS_MAX {
            let detail = format!("gave up after {ATTEMPTS_MAX} backend servers");
            return Err(self.refusal(RefusalKind::ServerFailed, &detail));
        }
        let kind = match (self.attempts, self.tokens.len() > self.resumed) {
            (0, _) => Attempt::First,
            (_, true) => Attempt::Resume,
            (_, false) => Attempt::Retry,
        };
        let policy = self.entry.config.state().manifest.policy.retries;
        match kind {
            Attempt::First => self.entry.retries.earn(),
            Attempt::Retry if policy == RetryPolicy::Budget && !self.entry.retries.spend() => {
                let detail = "backend servers fail, and no more retries are made now";
                let refusal = self.refusal(RefusalKind::ServerFailed, detail);
                return Err(refusal.retry_after(RETRY_S));
            }
            Attempt::Retry | Attempt::Resume => {}
        }
        self.entry.counts.attempt(kind);
        self.attempts += 1;
        Ok(())
    }

    async fn place(&self) -> Result<Placement, Refusal> {
        let placer = Placer {
            entry: &self.entry,
            job: &self.job,
            pool: &self.pool,
            fingerprint: &self.fingerprint,
            blocks: &self.blocks,
        };
        placer.place().await.map_err(|mut refusal| {
            refusal.run = if self.sent { Run::Unknown } else { Run::NotRun };
            refusal
        })
    }

    fn request(&self) -> EngineRequest {
        EngineRequest {
            id: self.job.id.clone(),
            model: self.job.model.to_string(),
            prompt: self.job.prompt.clone(),
            max_tokens: self.job.max_tokens,
            priority: self.job.priority,
            resume: self.tokens.clone(),
            version: self.job.version,
            seed: self.job.seed,
        }
    }

    fn append(&mut self, chunk: &EngineChunk) {
        self.tokens.extend(chunk.tokens.iter().cloned());
        if let Some(prompt_tokens) = chunk.prompt_tokens {
            self.prompt_tokens = prompt_tokens;
        }
        let count = u32::try_from(chunk.tokens.len()).unwrap_or(u32::MAX);
        add_segment(&mut self.segments, chunk.version, count);
    }

    /// Records a failed attempt; if the server crashed, the request becomes a suspect.
    async fn on_failure(&mut self, server: &KnownServer, error: &EngineError) {
        self.sent |= !error.is_not_run();
        spdlog::warn!("engine failed", kv: {
            request = self.job.id.as_str(),
            tenant = self.job.tenant.as_str(),
            server = server.id.as_str(),
            attempt = self.attempts,
            error = error.to_string(),
        });
        self.job.avoid.push(server.id.clone());
        let may_be_crash = !error.is_not_run() && !self.entry.servers.is_leaving(&server.id);
        if may_be_crash && suspect::is_down(&server.address).await {
            self.on_crash(server);
        } else if let Some(failure) = error.failure() {
            server.record_failure(failure, Instant::now());
        }
        self.trial = None;
    }

    /// Records that the server crashed while it ran this request, and tells the peers.
    fn on_crash(&self, server: &KnownServer) {
        let now = Instant::now();
        server.record_failure(Failure::Unreachable, now);
        let alone = self.trial.as_ref().is_some_and(|guard| guard.trial.alone);
        let crash = Crash {
            fingerprint: self.fingerprint.clone(),
            server: server.id.clone(),
            at: now,
            alone,
        };
        self.entry.suspects.note(crash, now);
        self.entry.counts.crash(alone);
        gossip::publish(&self.entry, now);
        spdlog::warn!("backend server crashed", kv: {
            request = self.job.id.as_str(),
            tenant = self.job.tenant.as_str(),
            fingerprint = self.fingerprint.to_string(),
            server = server.id.as_str(),
            alone,
        });
    }

    /// Records a complete answer; a suspect request is then no longer suspect.
    fn on_success(&mut self, server: &KnownServer) {
        let now = Instant::now();
        server.record_success(now);
        if self.trial.take().is_some() {
            self.entry.suspects.note_completion(&self.fingerprint, now);
        }
    }

    /// Builds a refusal that states whether the request may have run.
    fn refusal(&self, kind: RefusalKind, detail: &str) -> Refusal {
        if self.sent {
            Refusal::unknown(kind, detail)
        } else {
            Refusal::not_run(kind, detail)
        }
    }
}

/// Identifies equal requests, so that crashes of the same request are counted together.
fn fingerprint(job: &Job) -> Fingerprint {
    let seed = job.seed.map_or(String::new(), |seed| seed.to_string());
    Fingerprint::of(&[job.tenant.as_str(), job.model.as_str(), &job.prompt, &seed])
}

/// Appends tokens of a weight version, merging them with the last segment if it matches.
pub(super) fn add_segment(segments: &mut Vec<Segment>, version: u64, tokens: u32) {
    if tokens == 0 {
        return;
    }
    match segments.last_mut() {
        Some(last) if last.version == version => last.tokens += tokens,
        _ => segments.push(Segment { version, tokens }),
    }
}
