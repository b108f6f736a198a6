//! A model engine: continuous batching, priorities, a prefix cache, resume and cancel.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use parking_lot::{MappedMutexGuard, Mutex, MutexGuard};
use tokio::sync::{mpsc, oneshot};

use crate::names::sha256_hex;
use crate::wire::{EngineChunk, EngineLoad, EngineRequest};

pub use super::config::EngineConfig;
use super::counts::{EngineCounts, Fail};
use super::loading::Loaded;
use super::prefix::PrefixCache;
use super::serve::{self, Answer, Served, events, json, whole};
use super::service::ServiceRecord;
use super::weights::WeightStore;

/// Prompts with this word crash the engine that runs them.
pub const POISON: &str = "POISON";
/// Prompts with this word get answers whose length depends on the seed.
pub const HEAVY_TAIL: &str = "HEAVYTAIL";
/// Times the median that the longest answers of a heavy tail are.
const TAIL_FACTOR: u64 = 20;
/// One answer of a heavy tail in this many is a long one.
const TAIL_ONE_IN: u64 = 100;
/// Chunks that may wait for a slow reader.
const CHUNKS_WAITING: usize = 4;

#[derive(Debug)]
struct State {
    fail: Option<Fail>,
    counts: EngineCounts,
    loaded: Loaded,
    running: u32,
    sequence: u64,
    waiting: BTreeMap<(u32, u64), oneshot::Sender<()>>,
    cache: PrefixCache,
    report: EngineLoad,
    generated: u64,
    served: u64,
}

/// One engine.
#[derive(Debug)]
pub struct Engine {
    config: EngineConfig,
    store: Arc<WeightStore>,
    record: Arc<ServiceRecord>,
    state: Mutex<State>,
    crash: mpsc::UnboundedSender<()>,
}

/// A running slot. Dropping it lets the next waiting request run.
struct SlotGuard(Arc<Engine>);

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let mut state = self.0.state.lock();
        state.running -= 1;
        while let Some((_, next)) = state.waiting.pop_first() {
            if next.send(()).is_ok() {
                state.running += 1;
                break;
            }
        }
    }
}

impl Engine {
    /// An engine that holds no weights yet. A message on `crash` asks to break it.
    #[must_use]
    pub fn new(
        config: EngineConfig,
        store: Arc<WeightStore>,
        record: Arc<ServiceRecord>,
        crash: mpsc::UnboundedSender<()>,
    ) -> Arc<Self> {
        let report = EngineLoad {
            failed: None,
            loading: None,
            model: String::new(),
            queued_tokens: 0,
            running: 0,
            version: 0,
            waiting: 0,
        };
        Arc::new(Self {
            config,
            store,
            record,
            crash,
            state: Mutex::new(State {
                fail: None,
                counts: EngineCounts::default(),
                loaded: Loaded::default(),
                running: 0,
                sequence: 0,
                waiting: BTreeMap::new(),
                cache: PrefixCache::new(config.cache),
                report,
                generated: 0,
                served: 0,
            }),
        })
    }

    /// Serves the engine's interface.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn serve(self: &Arc<Self>, address: SocketAddr) -> io::Result<Served> {
        let engine = Arc::clone(self);
        let lagging = Arc::downgrade(self);
        let lag = self.config.lag;
        tokio::spawn(async move {
            while let Some(engine) = lagging.upgrade() {
                engine.refresh_report();
                drop(engine);
                tokio::time::sleep(lag).await;
            }
        });
        serve::serve(address, move |request| Arc::clone(&engine).answer(request)).await
    }

    /// Sets the weight version without a load.
    pub fn set_version(&self, model: &str, version: u64) {
        let mut state = self.state.lock();
        model.clone_into(&mut state.loaded.model);
        state.loaded.version = version;
    }

    /// Makes the engine fail in a way, or work again.
    pub fn set_fail(&self, fail: Option<Fail>) {
        self.state.lock().fail = fail;
    }

    /// What it did so far.
    #[must_use]
    pub fn counts(&self) -> EngineCounts {
        self.state.lock().counts
    }

    /// Tokens generated so far.
    #[must_use]
    pub fn generated(&self) -> u64 {
        self.state.lock().generated
    }

    /// What the engine holds and is loading.
    pub(super) fn loaded(&self) -> MappedMutexGuard<'_, Loaded> {
        MutexGuard::map(self.state.lock(), |state| &mut state.loaded)
    }

    /// Whether orders with an old fencing number are refused.
    pub(super) fn is_fenced(&self) -> bool {
        self.config.fenced
    }

    /// The weight store.
    pub(super) fn store(&self) -> &WeightStore {
        &self.store
    }

    /// Breaks the engine.
    pub(super) fn crash(&self) {
        // Without a receiver the engine is gone already.
        let _ = self.crash.send(());
    }

    pub(super) fn refresh_report(&self) {
        let mut state = self.state.lock();
        state.report = EngineLoad {
            failed: state.loaded.failed,
            loading: state.loaded.loading,
            model: state.loaded.model.clone(),
            queued_tokens: 0,
            running: state.running,
            version: state.loaded.version,
            waiting: u32::try_from(state.waiting.len()).unwrap_or(u32::MAX),
        };
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        let (head, body) = request.into_parts();
        match (&head.method, head.uri.path()) {
            (&Method::GET, "/load") => Ok(json(&self.state.lock().report)),
            (&Method::POST, "/generate") => {
                let body = serve::read(body).await?;
                self.record.note_engine(&head, &body);
                match serde_json::from_slice(&body) {
                    Ok(request) => Ok(self.generate(request)),
                    Err(error) => Ok(whole(StatusCode::BAD_REQUEST, error.to_string())),
                }
            }
            (&Method::POST, "/orders") => {
                let body = serve::read(body).await?;
                match serde_json::from_slice(&body) {
                    Ok(order) => Ok(self.order(&order)),
                    Err(error) => Ok(whole(StatusCode::BAD_REQUEST, error.to_string())),
                }
            }
            _ => Ok(whole(StatusCode::NOT_FOUND, "no such page")),
        }
    }

    fn generate(self: Arc<Self>, request: EngineRequest) -> Response<serve::Body> {
        let mut state = self.state.lock();
        state.counts.came += 1;
        if state.fail == Some(Fail::Refuse) {
            return whole(StatusCode::INTERNAL_SERVER_ERROR, "it fails on purpose");
        }
        let wrong = request
            .version
            .is_some_and(|oldest| oldest > state.loaded.version);
        if state.loaded.model != request.model || wrong {
            return whole(StatusCode::CONFLICT, "another model or version is loaded");
        }
        drop(state);
        let (sender, receiver) = mpsc::channel(CHUNKS_WAITING);
        tokio::spawn(self.run(request, sender));
        let pieces = futures_util::stream::unfold(receiver, async |mut receiver| {
            let chunk: EngineChunk = receiver.recv().await?;
            let mut event = b"data: ".to_vec();
            serde_json::to_writer(&mut event, &chunk).ok()?;
            event.extend_from_slice(b"\n\n");
            Some((Ok(Bytes::from(event)), receiver))
        });
        events(pieces)
    }

    /// Runs one request until it is done or its reader is gone.
    async fn run(self: Arc<Self>, request: EngineRequest, sender: mpsc::Sender<EngineChunk>) {
        let slot = self.slot(request.priority);
        let _slot = tokio::select! {
            slot = slot => slot,
            () = sender.closed() => return,
        };
        if self.state.lock().fail == Some(Fail::Break) {
            return;
        }
        if request.prompt.contains(POISON) {
            self.crash();
            return;
        }
        let words = request.prompt.split_whitespace().count();
        let cached = self.visit(&request.prompt, words);
        // A resumed answer's tokens are read like a prompt that is not cached.
        let missing = words.saturating_sub(cached) + request.resume.len();
        let missing = u32::try_from(missing).unwrap_or(u32::MAX);
        tokio::time::sleep(self.config.prefill * missing).await;
        let total = answer_length(&request);
        let mut index = request.resume.len();
        while index <= total {
            let count = self.config.chunk.min(total - index);
            self.pace(count).await;
            let version = self.note_generated(count);
            let id = self.chunk_id(&request.id);
            let chunk = EngineChunk {
                cached: u32::try_from(cached).ok(),
                done: index + count >= total,
                index: u32::try_from(index).unwrap_or(u32::MAX),
                prompt_tokens: u32::try_from(words).ok(),
                tokens: (index..index + count)
                    .map(|n| token_of(&request, &id, version, n))
                    .collect(),
                version,
                id,
            };
            let done = chunk.done;
            if sender.send(chunk).await.is_err() || done {
                break;
            }
            index += count;
        }
        self.state.lock().served += 1;
    }

    /// Caches a prompt; returns its words that were cached before.
    fn visit(&self, prompt: &str, words: usize) -> usize {
        let mut state = self.state.lock();
        let cached = state.cache.visit(prompt);
        state.counts.words += words as u64;
        state.counts.cached += cached as u64;
        cached
    }

    /// Waits for a slot, lower priority numbers first.
    async fn slot(self: &Arc<Self>, priority: u32) -> SlotGuard {
        let waiting = {
            let mut state = self.state.lock();
            if state.running < self.config.slots {
                state.running += 1;
                None
            } else {
                let (sender, receiver) = oneshot::channel();
                state.sequence += 1;
                let place = (priority, state.sequence);
                state.waiting.insert(place, sender);
                Some(receiver)
            }
        };
        if let Some(waiting) = waiting {
            // The sender is kept until it is used, so this does not fail.
            let _ = waiting.await;
        }
        SlotGuard(Arc::clone(self))
    }

    /// Takes the time that `tokens` take at the present load.
    async fn pace(&self, tokens: usize) {
        let others = self.state.lock().running.saturating_sub(1);
        let factor = 1.0 + self.config.slowdown * f64::from(others);
        let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
        tokio::time::sleep((self.config.token * tokens).mul_f64(factor)).await;
    }

    /// The id that a chunk carries: the request's, unless a crossed answer is asked for.
    fn chunk_id(&self, id: &str) -> String {
        if self.store.take_crossed() {
            return format!("crossed-{id}");
        }
        id.to_owned()
    }

    fn note_generated(&self, tokens: usize) -> u64 {
        let mut state = self.state.lock();
        state.generated += tokens as u64;
        state.loaded.version
    }
}

/// Tokens of the whole answer to a request.
///
/// In a heavy tail the longest answers are as long as the request allows.
fn answer_length(request: &EngineRequest) -> usize {
    let most = u64::from(request.max_tokens);
    let Some(seed) = request.seed.filter(|_| request.prompt.contains(HEAVY_TAIL)) else {
        return request.max_tokens as usize;
    };
    let median = (most / TAIL_FACTOR).max(1);
    let length = if seed.is_multiple_of(TAIL_ONE_IN) {
        most
    } else {
        median / 2 + (seed / TAIL_ONE_IN) % (median + 1)
    };
    usize::try_from(length).unwrap_or(usize::MAX)
}

fn token_of(request: &EngineRequest, id: &str, version: u64, index: usize) -> String {
    match request.seed {
        Some(_) => sample_token(id, version, index),
        None => token(id, index),
    }
}

/// The token at place `index` of the sample `id`, which shows the version that made it.
#[must_use]
pub fn sample_token(id: &str, version: u64, index: usize) -> String {
    token(&format!("{id}@{version}"), index)
}

/// The token that every engine makes at place `index` of the answer to `id`.
#[must_use]
pub fn token(id: &str, index: usize) -> String {
    let digest = sha256_hex(format!("{id}/{index}").as_bytes());
    format!(" {}", &digest[..4])
}

/// The whole answer of `tokens` tokens to the request `id`.
#[must_use]
pub fn answer_text(id: &str, tokens: usize) -> String {
    (0..tokens).map(|index| token(id, index)).collect()
}
