//! Client of a control daemon's operator interface.

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, header};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::{CmdError, EXIT_REFUSED};
use crate::http::Client;
use crate::names::Secret;
use crate::util::random_id;
use crate::wire::{ConfigBody, ConfigRecord, Problem, Published, Verdict};

/// Timeout of one call to the control daemon.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Attempts to publish a record, the first included.
const MAX_ATTEMPTS: usize = 3;

/// A client of one control daemon, with the operator's key.
#[derive(Debug)]
pub(super) struct ControlClient {
    url: String,
    key: Secret,
    runtime: tokio::runtime::Runtime,
    client: Client,
}

impl ControlClient {
    /// Creates a client of the control daemon at `url`, with the key from a file.
    pub(super) fn new(url: &str, key_file: &Path) -> Result<Self, CmdError> {
        let read = std::fs::read_to_string(key_file);
        let text = read.map_err(|error| format!("{}: {error}", key_file.display()))?;
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        Ok(Self {
            url: url.trim_end_matches('/').to_owned(),
            key: Secret::new(&text),
            runtime,
            client: Client::new(),
        })
    }

    /// Fetches a page of the operator interface.
    pub(super) fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CmdError> {
        self.call(Method::GET, path, Bytes::new())
    }

    /// Fetches a page and prints it, as JSON or with `show`.
    pub(super) fn print<T: DeserializeOwned + Serialize>(
        &self,
        path: &str,
        json: bool,
        show: impl Fn(&T),
    ) -> Result<ExitCode, CmdError> {
        let page: T = self.get(path)?;
        if json {
            println!("{}", serde_json::to_string(&page)?);
        } else {
            show(&page);
        }
        Ok(ExitCode::SUCCESS)
    }

    /// Publishes a record and prints the verdict; returns success only if the record took effect.
    pub(super) fn publish_and_show(
        &self,
        body: ConfigBody,
        json: bool,
    ) -> Result<ExitCode, CmdError> {
        let published = self.publish(body)?;
        if json {
            println!("{}", serde_json::to_string(&published)?);
        } else {
            show_verdict(&published);
        }
        if matches!(published.verdict, Verdict::Accepted { .. }) {
            Ok(ExitCode::SUCCESS)
        } else {
            Ok(ExitCode::from(EXIT_REFUSED))
        }
    }

    /// Publishes a record, with retries in case the answer was lost. Retries carry the same
    /// record id, so that the record takes effect only once.
    pub(super) fn publish(&self, body: ConfigBody) -> Result<Published, CmdError> {
        let record = ConfigRecord {
            body,
            id: random_id(),
        };
        let body = Bytes::from(serde_json::to_vec(&record)?);
        let mut attempt = 1;
        loop {
            let published = self.call(Method::POST, "/operator/records", body.clone());
            if published.is_ok() || attempt == MAX_ATTEMPTS {
                return published;
            }
            attempt += 1;
        }
    }

    fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, CmdError> {
        let url = format!("{}{path}", self.url);
        let request = Request::builder()
            .method(method)
            .uri(&url)
            .header(
                header::AUTHORIZATION,
                format!("Bearer {}", self.key.reveal()),
            )
            .body(body)?;
        let fetched = self.client.fetch(request, CALL_TIMEOUT);
        let answer = self.runtime.block_on(fetched);
        let answer = answer.map_err(|error| format!("{url}: {error}"))?;
        if answer.status().is_success() {
            return Ok(serde_json::from_slice(answer.body())?);
        }
        let detail = match serde_json::from_slice::<Problem>(answer.body()) {
            Ok(problem) => format!("{}: {} ({})", problem.title, problem.detail, problem.run),
            Err(_) => answer.status().to_string(),
        };
        Err(format!("{url}: {detail}").into())
    }
}

/// Prints a verdict as text; returns whether the record took effect.
pub(super) fn show_verdict(published: &Published) -> bool {
    let (holding, listed) = (published.holding, published.listed);
    match &published.verdict {
        Verdict::Accepted { revision, .. } => {
            println!("accepted: revision {revision}, in force on {holding} of {listed} instances");
            true
        }
        Verdict::Conflict { base, revision } => {
            eprintln!("conflict: base is {base}, but revision {revision} is in force");
            false
        }
        Verdict::Invalid { findings } => {
            eprintln!("invalid:\n{}", crate::checked::Findings(findings.clone()));
            false
        }
        Verdict::Ignored { reason } => {
            eprintln!("nothing changed: {reason}");
            false
        }
    }
}
