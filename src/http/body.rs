//! Reads bodies into memory, within a budget that all bodies of a kind share.
//!
//! A faulty sender may go on for ever, on many connections at a time.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::{Body as _, Incoming};
use snafu::{ResultExt as _, Snafu, ensure};

/// Size in bytes up to which a body counts as small.
///
/// Almost all requests and responses are far smaller; they have a budget of their own, so that
/// large bodies do not shut them out.
pub const SMALL_BYTES: usize = 64 << 10;

/// Why a body is not held.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// The body broke off.
    #[snafu(display("the body broke off: {source}"))]
    Broken {
        /// The cause.
        source: hyper::Error,
    },
    /// The body exceeds its own limit.
    #[snafu(display("the body exceeds {most} bytes"))]
    TooLarge {
        /// The limit in bytes.
        most: usize,
    },
    /// The body does not fit beside those that are held.
    #[snafu(display("no memory left for a body of {bytes} bytes and more"))]
    Exhausted {
        /// Bytes of the body so far.
        bytes: usize,
    },
}

/// Kind of the memory that a body needs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Size {
    /// At most 64 KB.
    Small,
    /// More than that.
    Large,
}

/// Memory for the bodies that a process holds at a time.
#[derive(Debug)]
pub struct BodyBudget {
    used: Cell<usize>,
    /// Bytes of small bodies.
    small: Cell<usize>,
    limit: usize,
    small_limit: usize,
}

impl BodyBudget {
    /// Creates a budget of `limit` bytes for large bodies; small ones are not limited.
    #[must_use]
    pub fn new(limit: usize) -> Rc<Self> {
        Self::with_small(limit, usize::MAX)
    }

    /// Creates a budget of `limit` bytes for large bodies and one of `small_limit` for small ones.
    #[must_use]
    pub fn with_small(limit: usize, small_limit: usize) -> Rc<Self> {
        Rc::new(Self {
            used: Cell::new(0),
            small: Cell::new(0),
            limit,
            small_limit,
        })
    }

    /// Bytes of small and of large bodies in memory.
    #[must_use]
    pub fn used(&self) -> (usize, usize) {
        (self.small.get(), self.used.get())
    }

    /// Reads a body of at most `most` bytes into memory.
    ///
    /// # Errors
    /// [`ReadError`]; what was read is dropped.
    pub async fn read(self: &Rc<Self>, body: Incoming, most: usize) -> Result<Held, ReadError> {
        self.read_with(body, most, |_| false).await
    }

    /// Like [`Self::read`]; where memory is short, `make_room` may close other senders'
    /// connections and then returns true.
    ///
    /// # Errors
    /// [`ReadError`]; what was read is dropped.
    pub async fn read_with(
        self: &Rc<Self>,
        mut body: Incoming,
        most: usize,
        make_room: impl Fn(Size) -> bool,
    ) -> Result<Held, ReadError> {
        let stated = body.size_hint().exact();
        let stated = stated.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
        ensure!(
            stated.is_none_or(|bytes| bytes <= most),
            TooLargeSnafu { most }
        );
        let mut share = Share {
            budget: Rc::clone(self),
            bytes: 0,
        };
        let mut buffer: Vec<u8> = Vec::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.context(BrokenSnafu)?.into_data() else {
                continue;
            };
            let length = buffer.len() + data.len();
            ensure!(length <= most, TooLargeSnafu { most });
            if stated == Some(data.len()) {
                share.grow_with(length, &make_room).await?;
                return Ok(Held {
                    bytes: data,
                    _share: share,
                });
            }
            // Copied, since a small frame may keep the whole buffer of its connection alive.
            if length > buffer.capacity() {
                let capacity = (buffer.capacity() * 2).min(stated.unwrap_or(most));
                let capacity = capacity.max(length);
                share.grow_with(capacity, &make_room).await?;
                buffer.reserve_exact(capacity - buffer.len());
            }
            buffer.extend_from_slice(&data);
        }
        Ok(Held {
            bytes: buffer.into(),
            _share: share,
        })
    }
}

/// A body in memory, which counts until this is dropped.
#[derive(Debug)]
pub struct Held {
    /// The whole body.
    pub bytes: Bytes,
    _share: Share,
}

fn size(bytes: usize) -> Size {
    if bytes <= SMALL_BYTES {
        Size::Small
    } else {
        Size::Large
    }
}

/// What one body takes of the budget.
#[derive(Debug)]
struct Share {
    budget: Rc<BodyBudget>,
    bytes: usize,
}

impl Share {
    /// Grows to `bytes`, if need be after room was made.
    async fn grow_with(
        &mut self,
        bytes: usize,
        make_room: impl Fn(Size) -> bool,
    ) -> Result<(), ReadError> {
        while let Err(error) = self.grow_to(bytes) {
            if !make_room(size(bytes)) {
                return Err(error);
            }
            // The closed connection's task releases its memory.
            tokio::task::yield_now().await;
        }
        Ok(())
    }

    /// Grows to `bytes` if these fit beside the other bodies of the kind, or there are no others.
    fn grow_to(&mut self, bytes: usize) -> Result<(), ReadError> {
        let to = size(bytes);
        let mut others = self.used(to).get();
        if size(self.bytes) == to {
            others -= self.bytes;
        }
        let limit = match to {
            Size::Small => self.budget.small_limit,
            Size::Large => self.budget.limit,
        };
        let fits = others == 0 || others.saturating_add(bytes) <= limit;
        ensure!(fits, ExhaustedSnafu { bytes });
        self.release();
        self.used(to).set(others + bytes);
        self.bytes = bytes;
        Ok(())
    }

    fn used(&self, size: Size) -> &Cell<usize> {
        match size {
            Size::Small => &self.budget.small,
            Size::Large => &self.budget.used,
        }
    }

    fn release(&mut self) {
        let used = self.used(size(self.bytes));
        used.set(used.get() - self.bytes);
        self.bytes = 0;
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.release();
    }
}
