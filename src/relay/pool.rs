//! Connections to backend servers: few, kept, and one request at a time on each.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use snafu::{OptionExt as _, ResultExt as _, Snafu};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::choose::Link;
use crate::boot::Boot;
use crate::instance::edge::Backend;
use crate::instance::events::event;

/// Time within which a connection must be made.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// What a kept connection's stated idle time is shortened by, for the way to the server.
const IDLE_MARGIN: Duration = Duration::from_millis(600);
/// Idle time of a connection whose server states none.
const IDLE_DEFAULT: Duration = Duration::from_secs(2);

/// Why no connection could be had.
#[derive(Debug, Snafu)]
pub enum PoolError {
    /// No answer within the time allowed.
    #[snafu(display("no connection within {CONNECT_TIMEOUT:?}"))]
    Silent,
    /// The connection was refused.
    #[snafu(display("no connection: {source}"))]
    Refused {
        /// The cause.
        source: std::io::Error,
    },
    /// The handshake failed.
    #[snafu(display("no connection: {source}"))]
    Handshake {
        /// The cause.
        source: hyper::Error,
    },
    /// All connections that the server accepts from this instance are in use.
    #[snafu(display("all connections to the server are in use"))]
    Exhausted,
}

/// Whether a backend server takes connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Probe {
    /// It does.
    Up,
    /// Nothing listens on its address.
    Down,
    /// That could not be found out.
    Unknown,
}

/// One start of a backend server.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Key {
    id: String,
    born: u64,
    address: SocketAddr,
}

impl Key {
    fn of(backend: &Backend) -> Self {
        Self {
            id: backend.id.clone(),
            born: backend.born,
            address: backend.address,
        }
    }
}

struct Idle {
    sender: SendRequest<Full<Bytes>>,
    expires: Boot,
}

#[derive(Default)]
struct Slots {
    idle: Vec<Idle>,
    open: usize,
}

/// Kept connections by backend server. Clones share them.
#[derive(Clone, Default)]
pub struct Pool {
    slots: Rc<RefCell<HashMap<Key, Slots>>>,
    opened: Rc<std::cell::Cell<u64>>,
}

impl std::fmt::Debug for Pool {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Pool({} servers)", self.slots.borrow().len())
    }
}

/// A connection in use. Dropping it closes the connection, unless it was given back.
pub struct Lane {
    pool: Pool,
    key: Key,
    /// Sends the request.
    pub sender: Option<SendRequest<Full<Bytes>>>,
    /// Whether the connection had served a request before.
    pub link: Link,
    /// Time for which the server keeps it idle; zero if it closes it after this answer.
    idle: Duration,
}

impl std::fmt::Debug for Lane {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Lane({})", self.key.id)
    }
}

impl Lane {
    /// Notes what the head of an answer says of the connection: whether the server closes it,
    /// and for how long it keeps it idle otherwise.
    pub fn answered(&mut self, closes: bool, keep: Option<Duration>) {
        self.idle = match keep {
            _ if closes => Duration::ZERO,
            Some(span) => span.saturating_sub(IDLE_MARGIN),
            None => IDLE_DEFAULT,
        };
    }

    /// Gives the connection back after a whole answer, unless the server closes it.
    pub fn keep(mut self) {
        let Some(sender) = self.sender.take() else {
            return;
        };
        if sender.is_closed() || self.idle.is_zero() {
            self.close();
            return;
        }
        let expires = Boot::now() + self.idle;
        let mut slots = self.pool.slots.borrow_mut();
        slots
            .entry(self.key.clone())
            .or_default()
            .idle
            .push(Idle { sender, expires });
    }

    fn close(&self) {
        let mut slots = self.pool.slots.borrow_mut();
        if let Some(slots) = slots.get_mut(&self.key) {
            slots.open = slots.open.saturating_sub(1);
        }
    }
}

impl Drop for Lane {
    fn drop(&mut self) {
        if self.sender.take().is_some() {
            self.close();
        }
    }
}

impl Pool {
    /// Connections made so far.
    #[must_use]
    pub fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// A kept connection to a backend server, or a new one.
    ///
    /// # Errors
    /// [`PoolError`]; nothing was sent.
    pub async fn lane(&self, backend: &Backend, limit: usize) -> Result<Lane, PoolError> {
        let key = Key::of(backend);
        if let Some(sender) = self.kept(&key) {
            return Ok(Lane {
                pool: self.clone(),
                key,
                sender: Some(sender),
                link: Link::Kept,
                idle: IDLE_DEFAULT,
            });
        }
        self.connect(backend, limit).await
    }

    /// Makes a new connection to a backend server.
    async fn connect(&self, backend: &Backend, limit: usize) -> Result<Lane, PoolError> {
        let key = Key::of(backend);
        if self
            .slots
            .borrow()
            .get(&key)
            .is_some_and(|slots| slots.open >= limit)
        {
            return ExhaustedSnafu.fail();
        }
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(key.address)).await;
        let stream = stream.ok().context(SilentSnafu)?.context(RefusedSnafu)?;
        // Only delays small packets if it fails.
        let _ = stream.set_nodelay(true);
        let handshake = http1::Builder::new().handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await.context(HandshakeSnafu)?;
        tokio::task::spawn_local(async move {
            // The sender sees the same error.
            let _ = connection.await;
        });
        event!("connection", "server" => backend.id, "service" => backend.service);
        self.opened.set(self.opened.get() + 1);
        self.slots.borrow_mut().entry(key.clone()).or_default().open += 1;
        Ok(Lane {
            pool: self.clone(),
            key,
            sender: Some(sender),
            link: Link::New,
            idle: IDLE_DEFAULT,
        })
    }

    /// Whether a backend server takes connections; one that is made is kept.
    pub async fn probe(&self, backend: &Backend, limit: usize) -> Probe {
        match self.connect(backend, limit).await {
            Ok(lane) => {
                lane.keep();
                Probe::Up
            }
            Err(PoolError::Refused { .. }) => Probe::Down,
            Err(PoolError::Silent | PoolError::Handshake { .. } | PoolError::Exhausted) => {
                Probe::Unknown
            }
        }
    }

    /// The connection that a request to a backend server would take.
    #[must_use]
    pub fn link(&self, backend: &Backend, now: Boot) -> Link {
        let slots = self.slots.borrow();
        let mut idle = slots
            .get(&Key::of(backend))
            .into_iter()
            .flat_map(|slots| &slots.idle);
        if idle.any(|idle| idle.expires > now) {
            Link::Kept
        } else {
            Link::New
        }
    }

    fn kept(&self, key: &Key) -> Option<SendRequest<Full<Bytes>>> {
        let mut slots = self.slots.borrow_mut();
        let slots = slots.get_mut(key)?;
        let now = Boot::now();
        while let Some(idle) = slots.idle.pop() {
            if idle.expires > now && idle.sender.is_ready() {
                return Some(idle.sender);
            }
            slots.open = slots.open.saturating_sub(1);
        }
        None
    }

    /// Closes the connections to servers that are gone.
    pub fn retain(&self, is_live: impl Fn(&str, u64) -> bool) {
        let mut slots = self.slots.borrow_mut();
        slots.retain(|key, slots| {
            let live = is_live(&key.id, key.born);
            if !live {
                slots.open = slots.open.saturating_sub(slots.idle.len());
                slots.idle.clear();
            }
            live || slots.open > 0
        });
    }
}
