//! Counts what must not be cut off when the process exits: requests and open connections.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};

use super::connections::Slot;
use super::reply::Body;
use crate::instance::Shared;

/// Counts a request as in flight until the guard is dropped.
#[derive(Debug)]
pub struct ActiveRequest(Rc<Shared>);

impl ActiveRequest {
    /// Counts a request.
    #[must_use]
    pub fn enter(shared: &Rc<Shared>) -> Self {
        shared.in_flight.set(shared.in_flight.get() + 1);
        Self(Rc::clone(shared))
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        let in_flight = &self.0.in_flight;
        in_flight.set(in_flight.get().saturating_sub(1));
    }
}

/// Counts a caller's connection as open until the guard is dropped.
#[derive(Debug)]
pub struct OpenConnection(Rc<Shared>);

impl OpenConnection {
    /// Counts a connection.
    #[must_use]
    pub fn enter(shared: &Rc<Shared>) -> Self {
        shared
            .connections_open
            .set(shared.connections_open.get() + 1);
        Self(Rc::clone(shared))
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let open = &self.0.connections_open;
        open.set(open.get().saturating_sub(1));
    }
}

/// A response body whose request is in flight until the body has been sent or dropped.
#[derive(Debug)]
pub struct ActiveBody {
    body: Body,
    _active: ActiveRequest,
    slot: Rc<Slot>,
}

impl ActiveBody {
    /// Ties a request and its connection to the body of its response.
    #[must_use]
    pub fn new(body: Body, active: ActiveRequest, slot: Rc<Slot>) -> Self {
        Self {
            body,
            _active: active,
            slot,
        }
    }
}

impl Drop for ActiveBody {
    fn drop(&mut self) {
        self.slot.answered();
    }
}

impl HttpBody for ActiveBody {
    type Data = Bytes;
    type Error = <Body as HttpBody>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
