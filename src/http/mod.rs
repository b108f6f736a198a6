//! HTTP client and server, and refusals as `application/problem+json`.

use http::StatusCode;

pub mod announcements;
pub mod body;
mod client;
mod refusal;
mod server;

/// Whether a status may be that of a final response.
///
/// 1xx only announce another response, and there is none from 600 on. Passed on, such a status
/// leaves the caller without an answer.
#[must_use]
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

pub use client::{AnswerBody, Client, ClientError};
pub(crate) use client::{RESPONSE_BYTES_MAX, collect};
pub use refusal::{Refusal, RefusalKind};
pub use server::{
    BodyError, Request, Response, Server, finish, full_response, json, read_body, stream_response,
};
