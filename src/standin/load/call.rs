//! Sends one request and classifies its outcome.

use std::time::{Duration, Instant};

use bytes::Bytes;
use eventsource_stream::Eventsource as _;
use futures_util::{StreamExt as _, TryStreamExt as _};
use http::{Method, Request, Response, header};
use http_body_util::{BodyExt as _, BodyStream};
use serde::{Deserialize, Serialize};

use crate::http::{AnswerBody, Client};
use crate::standin::engine::answer_text;
use crate::wire::{Problem, Run};

/// Timeout of requests when the load sets none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(120);

/// Parameters shared by all requests of a load.
#[derive(Clone, Debug)]
pub(super) struct Target {
    /// The HTTP client.
    pub client: Client,
    /// The model asked for.
    pub model: String,
    /// Tokens of each answer.
    pub tokens: u32,
    /// Timeout that requests carry, if any.
    pub timeout: Option<Duration>,
}

/// The outcome of one request; times count from its planned instant.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Outcome {
    /// The answer is complete and correct.
    Complete {
        /// Time to the first token.
        first: Duration,
        /// Time to the last token.
        last: Duration,
    },
    /// A refusal with a problem document.
    Refused {
        /// The title of the problem.
        kind: String,
        /// Whether the problem says that the request did not run.
        not_run: bool,
        /// Whether there is a `Retry-After` header.
        retry_after: bool,
        /// Time to the refusal.
        after: Duration,
    },
    /// An error event in the stream.
    Failed(String),
    /// The connection broke, the timeout expired, or a refusal had no problem document.
    NoAnswer(String),
    /// The answer is malformed or is not the one to this request.
    Wrong(String),
}

#[derive(Serialize)]
struct Body<'a> {
    model: &'a str,
    prompt: &'a str,
    max_tokens: u32,
    stream: bool,
}

#[derive(Deserialize)]
struct Event {
    id: String,
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    text: String,
}

impl Target {
    /// Sends a request planned for `due`, and checks its answer.
    pub(super) async fn call(&self, entry: &str, key: &str, prompt: &str, due: Instant) -> Outcome {
        let limit = self.timeout.unwrap_or(DEFAULT_TIMEOUT) + Duration::from_secs(1);
        let called = self.send(entry, key, prompt, due);
        let called = tokio::time::timeout_at((due + limit).into(), called).await;
        called.unwrap_or_else(|_| Outcome::NoAnswer("no answer in time".to_owned()))
    }

    async fn send(&self, entry: &str, key: &str, prompt: &str, due: Instant) -> Outcome {
        let body = Body {
            model: &self.model,
            prompt,
            max_tokens: self.tokens,
            stream: true,
        };
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(format!("{entry}/v1/completions"))
            .header(header::AUTHORIZATION, format!("Bearer {key}"));
        if let Some(timeout) = self.timeout {
            let ms = timeout.as_millis().to_string();
            request = request.header("x-request-timeout-ms", ms);
        }
        let body = Bytes::from(serde_json::to_vec(&body).unwrap_or_default());
        let Ok(request) = request.body(body) else {
            return Outcome::NoAnswer("the request is not valid HTTP".to_owned());
        };
        match self.client.send(request).await {
            Err(error) => Outcome::NoAnswer(error.to_string()),
            Ok(answer) if answer.status().is_success() => self.stream(answer, due).await,
            Ok(answer) => refused(answer, due).await,
        }
    }

    async fn stream(&self, answer: Response<AnswerBody>, due: Instant) -> Outcome {
        let data = BodyStream::new(answer.into_body())
            .try_filter_map(async |frame| Ok(frame.into_data().ok()));
        let mut events = Box::pin(data.eventsource());
        let (mut id, mut text, mut first) = (String::new(), String::new(), None);
        while let Some(event) = events.next().await {
            let event = match event {
                Ok(event) => event,
                Err(error) => return Outcome::NoAnswer(error.to_string()),
            };
            if event.event == "error" {
                return Outcome::Failed(event.data);
            }
            if event.data == "[DONE]" {
                return self.check(&id, &text, first.unwrap_or_default(), due.elapsed());
            }
            first.get_or_insert_with(|| due.elapsed());
            let Ok(event) = serde_json::from_str::<Event>(&event.data) else {
                return Outcome::Wrong(event.data);
            };
            if !id.is_empty() && id != event.id {
                return Outcome::Wrong(format!(
                    "the stream of {id} holds an event of {}",
                    event.id
                ));
            }
            id = event.id;
            text.extend(event.choices.into_iter().map(|choice| choice.text));
        }
        Outcome::NoAnswer("the stream ended before its last event".to_owned())
    }

    fn check(&self, id: &str, text: &str, first: Duration, last: Duration) -> Outcome {
        if text == answer_text(id, self.tokens as usize) {
            Outcome::Complete { first, last }
        } else {
            Outcome::Wrong(format!(
                "the text of the answer to {id} differs from the engine's"
            ))
        }
    }
}

async fn refused(answer: Response<AnswerBody>, due: Instant) -> Outcome {
    let after = due.elapsed();
    let status = answer.status();
    let retry_after = answer.headers().contains_key(header::RETRY_AFTER);
    let body = answer.into_body().collect().await;
    let body = body.map(http_body_util::Collected::to_bytes);
    match body.map(|body| serde_json::from_slice::<Problem>(&body)) {
        Ok(Ok(problem)) => Outcome::Refused {
            kind: problem.title,
            not_run: problem.run == Run::NotRun,
            retry_after,
            after,
        },
        _ => Outcome::NoAnswer(format!("status {status} without a problem document")),
    }
}
