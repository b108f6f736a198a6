//! HTTP client and server, and refusals as `application/problem+json`.

mod client;
mod refusal;
mod server;

pub(crate) use client::collect;
pub use client::{AnswerBody, Client, ClientError};
pub use refusal::{Refusal, RefusalKind};
pub use server::{
    BodyError, Request, Response, Server, finish, full_response, json, read_body, stream_response,
};
