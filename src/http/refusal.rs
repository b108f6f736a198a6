//! Refusals: `application/problem+json` responses that state whether the request ran.

use bytes::Bytes;
use derive_more::Display;
use http::{HeaderValue, StatusCode, header};

use super::{BodyError, Response, full_response};
use crate::wire::{Problem, Run};

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum RefusalKind {
    /// The request has no API key but needs one.
    #[display("key-missing")]
    KeyMissing,
    /// The API key is unknown or withdrawn.
    #[display("key-invalid")]
    KeyInvalid,
    /// The key's tenant may not use the requested resource.
    #[display("forbidden")]
    Forbidden,
    /// The entry cannot prove that its configuration is up to date.
    #[display("not-fresh")]
    NotFresh,
    /// No route, model or page has the requested name.
    #[display("not-found")]
    NotFound,
    /// The path does not support the method.
    #[display("method-not-allowed")]
    MethodNotAllowed,
    /// The headers are too large.
    #[display("headers-too-large")]
    HeadersTooLarge,
    /// The body is too large.
    #[display("body-too-large")]
    BodyTooLarge,
    /// The body did not arrive in time.
    #[display("body-too-slow")]
    BodyTooSlow,
    /// The request does not parse.
    #[display("malformed")]
    Malformed,
    /// The queue is full, or the deadline cannot be met.
    #[display("overloaded")]
    Overloaded,
    /// The tenant is over its limit.
    #[display("over-limit")]
    OverLimit,
    /// No backend server can take the request.
    #[display("no-server")]
    NoServer,
    /// Backend servers failed while running the request.
    #[display("server-failed")]
    ServerFailed,
    /// The deadline passed.
    #[display("deadline")]
    Deadline,
    /// The request has crashed backend servers before.
    #[display("poison")]
    Poison,
    /// The idempotency key names no known executor.
    #[display("key-unbound")]
    KeyUnbound,
    /// The executor of the idempotency key is gone.
    #[display("outcome-unknown")]
    OutcomeUnknown,
    /// The request ran, but its response is no longer kept.
    #[display("answer-dropped")]
    AnswerDropped,
    /// The idempotency key was used with a different request before.
    #[display("key-reused")]
    KeyReused,
    /// The entry is shutting down.
    #[display("leaving")]
    Leaving,
}

impl RefusalKind {
    /// The HTTP status of a refusal of this kind.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::KeyMissing | Self::KeyInvalid => StatusCode::UNAUTHORIZED,
            Self::Forbidden => StatusCode::FORBIDDEN,
            Self::NotFound => StatusCode::NOT_FOUND,
            Self::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            Self::HeadersTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::Malformed | Self::KeyUnbound => StatusCode::BAD_REQUEST,
            Self::OverLimit => StatusCode::TOO_MANY_REQUESTS,
            Self::NotFresh | Self::Overloaded | Self::NoServer | Self::Leaving => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::ServerFailed => StatusCode::BAD_GATEWAY,
            Self::Deadline => StatusCode::GATEWAY_TIMEOUT,
            Self::Poison | Self::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Self::OutcomeUnknown => StatusCode::CONFLICT,
            Self::AnswerDropped => StatusCode::GONE,
        }
    }
}

/// A refusal with its reason and whether the request ran.
#[derive(Clone, Debug, Display, PartialEq)]
#[display("{kind} ({run}): {detail}")]
pub struct Refusal {
    /// Why the request was refused.
    pub kind: RefusalKind,
    /// The reason as text for the caller.
    pub detail: String,
    /// Whether the request ran.
    pub run: Run,
    /// Seconds after which the caller may retry.
    pub retry: Option<u64>,
}

impl std::error::Error for Refusal {}

impl Refusal {
    /// Refuses a request of which no byte reached a backend server.
    #[must_use]
    pub fn not_run(kind: RefusalKind, detail: impl Into<String>) -> Self {
        Self::with_run(kind, detail, Run::NotRun)
    }

    /// Refuses a request that may have run.
    #[must_use]
    pub fn unknown(kind: RefusalKind, detail: impl Into<String>) -> Self {
        Self::with_run(kind, detail, Run::Unknown)
    }

    /// Refuses a request and states whether the request ran.
    #[must_use]
    pub fn with_run(kind: RefusalKind, detail: impl Into<String>, run: Run) -> Self {
        Self {
            kind,
            detail: detail.into(),
            run,
            retry: None,
        }
    }

    /// Sets the seconds after which the caller may retry.
    #[must_use]
    pub fn retry_after(mut self, seconds: u64) -> Self {
        self.retry = Some(seconds);
        self
    }

    /// The refusal as a problem document.
    #[must_use]
    pub fn problem(&self) -> Problem {
        Problem {
            type_: format!("urn:basillead:problem:{}", self.kind),
            title: self.kind.to_string(),
            status: self.kind.status().as_u16(),
            detail: self.detail.clone(),
            run: self.run,
        }
    }

    /// The refusal as an HTTP response.
    ///
    /// # Panics
    /// Panics if the problem document does not serialise, which is a bug.
    #[must_use]
    pub fn response(&self) -> Response {
        let body = serde_json::to_vec(&self.problem()).expect("a problem serialises");
        let kind = "application/problem+json";
        let mut answer = full_response(self.kind.status(), kind, Bytes::from(body));
        if let Some(seconds) = self.retry {
            answer
                .headers_mut()
                .insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        answer
    }
}

impl From<BodyError> for Refusal {
    fn from(error: BodyError) -> Self {
        let kind = match error {
            BodyError::TooLarge { .. } => RefusalKind::BodyTooLarge,
            BodyError::Exhausted => RefusalKind::Overloaded,
            BodyError::TooSlow => RefusalKind::BodyTooSlow,
            BodyError::Broken => RefusalKind::Malformed,
        };
        let refusal = Self::not_run(kind, error.to_string());
        match error {
            // Bodies arrive or time out within seconds.
            BodyError::Exhausted => refusal.retry_after(1),
            BodyError::TooLarge { .. } | BodyError::TooSlow | BodyError::Broken => refusal,
        }
    }
}
