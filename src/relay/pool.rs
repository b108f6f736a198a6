//! Pool of keep-alive connections to backend servers.
//!
//! Each connection carries one request at a time, and their number per server is limited.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use snafu::{OptionExt as _, ResultExt as _, Snafu, ensure};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::carried::Carried;
use super::choose::Link;
use crate::boot::Boot;
use crate::http::announcements::{Announcements, CheckedStream, READ_BUFFER_BYTES};
use crate::instance::events::event;
use crate::instance::interfaces::Backend;

/// Limit on opening a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Margin by which the server's stated idle timeout is shortened, for the network latency.
const IDLE_MARGIN: Duration = Duration::from_millis(600);
/// Idle timeout of a connection whose server states none.
const IDLE_DEFAULT: Duration = Duration::from_secs(2);

/// Why no connection is available.
#[derive(Debug, Snafu)]
pub enum PoolError {
    /// The server did not accept the connection in time.
    #[snafu(display("no connection within {CONNECT_TIMEOUT:?}"))]
    ConnectTimeout,
    /// The connection was refused or could not be opened.
    #[snafu(display("no connection: refused or not opened: {source}"))]
    Refused {
        /// The cause.
        source: std::io::Error,
    },
    /// The HTTP handshake failed.
    #[snafu(display("no connection: HTTP handshake failed: {source}"))]
    Handshake {
        /// The cause.
        source: hyper::Error,
    },
    /// This instance's share of the server's connections is in use.
    #[snafu(display("all connections to the server are in use"))]
    Exhausted,
}

/// Result of probing whether a backend server accepts connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Probe {
    /// The server accepted a connection.
    Up,
    /// The connection was refused.
    Down,
    /// The probe was inconclusive.
    Unknown,
}

/// Key of a backend server process; a restart changes the key.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct ServerKey {
    id: String,
    born: u64,
    address: SocketAddr,
}

impl ServerKey {
    fn of(backend: &Backend) -> Self {
        Self {
            id: backend.id.clone(),
            born: backend.born,
            address: backend.address,
        }
    }
}

/// A connection that waits in the pool for the next request.
struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    announcements: Announcements,
    carried: Carried,
    opened: Boot,
    expires: Boot,
}

/// The connections to one server.
#[derive(Default)]
struct ServerConnections {
    idle: Vec<IdleConnection>,
    /// Number of open connections, idle ones included.
    open: usize,
}

/// Connections per backend server; clones share the pool.
#[derive(Clone, Default)]
pub struct Pool {
    servers: Rc<RefCell<HashMap<ServerKey, ServerConnections>>>,
    opened: Rc<std::cell::Cell<u64>>,
}

impl std::fmt::Debug for Pool {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Pool({} servers)", self.servers.borrow().len())
    }
}

/// A connection in use.
///
/// Dropping the value closes the connection; [`PooledConnection::return_to_pool`] returns it to
/// the pool instead.
pub struct PooledConnection {
    pool: Pool,
    key: ServerKey,
    /// Sends requests on the connection; taken when the use ends.
    pub sender: Option<SendRequest<Full<Bytes>>>,
    /// Counts the announcements of a response.
    pub announcements: Announcements,
    /// The requests that were sent on the connection.
    pub carried: Carried,
    /// When the connection was opened.
    pub opened: Boot,
    /// Whether the connection was reused or new.
    pub link: Link,
    /// Time for which the connection may stay idle; zero if the server closes it.
    idle_limit: Duration,
}

impl std::fmt::Debug for PooledConnection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "PooledConnection({})", self.key.id)
    }
}

impl PooledConnection {
    /// Sets the idle limit from the response head.
    ///
    /// `closes` tells whether the server closes the connection; `keep` is the idle timeout that
    /// the server states.
    pub fn set_keep_alive(&mut self, closes: bool, keep: Option<Duration>) {
        self.idle_limit = match keep {
            _ if closes => Duration::ZERO,
            Some(span) => span.saturating_sub(IDLE_MARGIN),
            None => IDLE_DEFAULT,
        };
    }

    /// Returns the connection to the pool after a complete response.
    ///
    /// If the server closes the connection, it is dropped instead.
    pub fn return_to_pool(mut self) {
        let Some(sender) = self.sender.take() else {
            return;
        };
        if sender.is_closed() || self.idle_limit.is_zero() || !self.carried.is_reusable() {
            self.release();
            return;
        }
        let expires = Boot::now() + self.idle_limit;
        let mut servers = self.pool.servers.borrow_mut();
        servers
            .entry(self.key.clone())
            .or_default()
            .idle
            .push(IdleConnection {
                sender,
                announcements: self.announcements.clone(),
                carried: std::mem::take(&mut self.carried),
                opened: self.opened,
                expires,
            });
    }

    /// Removes the connection from the count of open ones.
    fn release(&self) {
        let mut servers = self.pool.servers.borrow_mut();
        if let Some(server) = servers.get_mut(&self.key) {
            server.open = server.open.saturating_sub(1);
        }
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        if self.sender.take().is_some() {
            self.release();
        }
    }
}

impl Pool {
    /// Returns the number of connections opened so far.
    #[must_use]
    pub fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// Takes an idle connection to a backend server, or opens a new one.
    ///
    /// The connection has not carried a request with this id before: a late copy of that request's
    /// answer would be taken for the answer to this one.
    ///
    /// # Errors
    /// [`PoolError`] if no connection is available; nothing was sent.
    pub async fn checkout(
        &self,
        backend: &Backend,
        id: Option<&str>,
        limit: usize,
    ) -> Result<PooledConnection, PoolError> {
        let key = ServerKey::of(backend);
        if let Some(idle) = self.take_idle(&key, id) {
            return Ok(PooledConnection {
                pool: self.clone(),
                key,
                sender: Some(idle.sender),
                announcements: idle.announcements,
                carried: idle.carried,
                opened: idle.opened,
                link: Link::Reused,
                idle_limit: IDLE_DEFAULT,
            });
        }
        self.connect(backend, limit).await
    }

    /// Opens a connection to a backend server.
    async fn connect(
        &self,
        backend: &Backend,
        limit: usize,
    ) -> Result<PooledConnection, PoolError> {
        let key = ServerKey::of(backend);
        // Idle connections are left only if each has carried the id of the request at hand.
        let is_repeat = self.idle(&key) > 0;
        ensure!(self.make_room(&key, limit), ExhaustedSnafu);
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(key.address)).await;
        let stream = stream
            .ok()
            .context(ConnectTimeoutSnafu)?
            .context(RefusedSnafu)?;
        let opened = Boot::now();
        // A failure only delays small packets.
        let _ = stream.set_nodelay(true);
        let announcements = Announcements::default();
        let stream = CheckedStream::new(stream, announcements.clone());
        let handshake = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await.context(HandshakeSnafu)?;
        tokio::task::spawn_local(async move {
            // The sender returns the same error.
            let _ = connection.await;
        });
        event!("connection", "server" => backend.id, "service" => backend.service,
            "repeat" => is_repeat);
        self.opened.set(self.opened.get() + 1);
        self.servers
            .borrow_mut()
            .entry(key.clone())
            .or_default()
            .open += 1;
        Ok(PooledConnection {
            pool: self.clone(),
            key,
            sender: Some(sender),
            announcements,
            carried: Carried::default(),
            opened,
            link: Link::New,
            idle_limit: IDLE_DEFAULT,
        })
    }

    /// Probes whether a backend server accepts connections; the new connection is pooled.
    pub async fn probe(&self, backend: &Backend, limit: usize) -> Probe {
        match self.connect(backend, limit).await {
            Ok(connection) => {
                connection.return_to_pool();
                Probe::Up
            }
            Err(PoolError::Refused { .. }) => Probe::Down,
            Err(PoolError::ConnectTimeout | PoolError::Handshake { .. } | PoolError::Exhausted) => {
                Probe::Unknown
            }
        }
    }

    /// Returns whether a request to a backend server would reuse a connection.
    #[must_use]
    pub fn link(&self, backend: &Backend, now: Boot) -> Link {
        let servers = self.servers.borrow();
        let mut idle = servers
            .get(&ServerKey::of(backend))
            .into_iter()
            .flat_map(|server| &server.idle);
        if idle.any(|idle| idle.expires > now) {
            Link::Reused
        } else {
            Link::New
        }
    }

    /// Takes the most recently used idle connection that may carry this id, and discards unusable
    /// ones.
    fn take_idle(&self, key: &ServerKey, id: Option<&str>) -> Option<IdleConnection> {
        let mut servers = self.servers.borrow_mut();
        let server = servers.get_mut(key)?;
        let now = Boot::now();
        let before = server.idle.len();
        server
            .idle
            .retain(|idle| idle.expires > now && idle.sender.is_ready());
        server.open = server.open.saturating_sub(before - server.idle.len());
        let admits = |idle: &IdleConnection| idle.carried.admits(id);
        let at = server.idle.iter().rposition(admits)?;
        Some(server.idle.remove(at))
    }

    /// Whether another connection to a server may be opened, if need be in place of an idle one
    /// that is of no use to the request at hand.
    fn make_room(&self, key: &ServerKey, limit: usize) -> bool {
        let mut servers = self.servers.borrow_mut();
        let Some(server) = servers.get_mut(key).filter(|server| server.open >= limit) else {
            return true;
        };
        if server.open > limit || server.idle.is_empty() {
            return false;
        }
        server.idle.remove(0);
        server.open -= 1;
        true
    }

    /// Number of idle connections to a server.
    fn idle(&self, key: &ServerKey) -> usize {
        let servers = self.servers.borrow();
        servers.get(key).map_or(0, |server| server.idle.len())
    }

    /// Closes idle connections to servers that are no longer live.
    pub fn retain(&self, is_live: impl Fn(&str, u64) -> bool) {
        let mut servers = self.servers.borrow_mut();
        servers.retain(|key, server| {
            let live = is_live(&key.id, key.born);
            if !live {
                server.open = server.open.saturating_sub(server.idle.len());
                server.idle.clear();
            }
            live || server.open > 0
        });
    }
}
