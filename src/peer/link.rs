//! An open link to a peer: its handshake, send queue, and rounds of digests.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::StreamExt as _;
use parking_lot::Mutex;
use tokio::sync::{Notify, mpsc};

use super::Peers;
use super::clock::LinkClock;
use super::metrics::Direction;
use super::socket::{self, LinkError, Socket, UnexpectedSnafu, UnneededSnafu};
use super::table::PeerView;
use crate::names::{Incarnation, InstanceId};
use crate::wire::{Daemon, PeerMessage};

/// Most messages queued on one link, not counting digests.
const QUEUE_MAX: usize = 64;
/// Longest time between two rounds of digests; each wait is random, from half to all of it.
const ROUND_INTERVAL: Duration = Duration::from_millis(600);
/// Debounce of rounds that are triggered by changes; changes within it share one round.
const ROUND_DEBOUNCE: Duration = Duration::from_millis(20);

/// Identifies one run of one daemon.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PeerId {
    /// The daemon's instance.
    pub instance: InstanceId,
    /// Which of the instance's daemons.
    pub daemon: Daemon,
    /// The run of the daemon; each start has a new incarnation.
    pub incarnation: Incarnation,
}

impl PeerId {
    pub(super) fn hello(&self) -> PeerMessage {
        PeerMessage::Hello {
            daemon: self.daemon,
            incarnation: self.incarnation.to_string(),
            instance: self.instance.to_string(),
        }
    }
}

/// State of the exchange of digests on one link.
#[derive(Debug)]
pub(super) struct DigestExchange {
    pub view: PeerView,
    pub clock: LinkClock,
}

/// An open link to a peer.
#[derive(Debug)]
pub struct Link {
    /// The peer at the other side.
    pub peer: PeerId,
    pub(super) id: u64,
    pub(super) exchange: Mutex<DigestExchange>,
    pub(super) close: Notify,
    queue: mpsc::Sender<PeerMessage>,
}

impl Link {
    /// Queues a message. Returns false if the link is closing or its queue is full.
    #[must_use]
    pub fn send(&self, message: PeerMessage) -> bool {
        self.queue.try_send(message).is_ok()
    }
}

/// Runs a link from its hello messages to its end, and returns why it ended.
///
/// `opened` is an instant before the WebSocket handshake. If `expected` is given and the peer
/// is another incarnation, the link ends at once.
pub(super) async fn run(
    peers: &Arc<Peers>,
    mut ws: Socket,
    opened: Instant,
    expected: Option<&Incarnation>,
) -> LinkError {
    let peer = match exchange_hello(peers, &mut ws).await {
        Ok(peer) => peer,
        Err(error) => return error,
    };
    if expected.is_some_and(|expected| *expected != peer.incarnation) {
        let what = "hello of another incarnation than expected";
        return UnexpectedSnafu { what }.build();
    }
    let (queue, queued) = mpsc::channel(QUEUE_MAX);
    let link = Arc::new(Link {
        peer,
        id: peers.next_link_id(),
        exchange: Mutex::new(DigestExchange {
            view: PeerView::default(),
            clock: LinkClock::new(opened),
        }),
        close: Notify::new(),
        queue,
    });
    let _guard = OpenLinkGuard::new(peers, &link);
    let (mut sink, mut stream) = ws.split();
    tokio::select! {
        error = write(peers, &link, &mut sink, queued) => error,
        error = read(peers, &link, &mut stream) => error,
        () = link.close.notified() => UnneededSnafu.build(),
    }
}

/// Exchanges hello messages; each side sends its own without waiting for the other's.
async fn exchange_hello(peers: &Peers, ws: &mut Socket) -> Result<PeerId, LinkError> {
    socket::send(ws, &peers.me.hello()).await?;
    let (message, _) = socket::receive(ws).await?;
    let PeerMessage::Hello {
        daemon,
        incarnation,
        instance,
    } = message
    else {
        return UnexpectedSnafu {
            what: "first message is not a hello",
        }
        .fail();
    };
    Ok(PeerId {
        instance: instance.into(),
        daemon,
        incarnation: incarnation.into(),
    })
}

type Sink = futures_util::stream::SplitSink<Socket, tokio_tungstenite::tungstenite::Message>;
type Stream = futures_util::stream::SplitStream<Socket>;

/// Sends queued messages, and digests in rounds, until the link fails.
async fn write(
    peers: &Peers,
    link: &Link,
    sink: &mut Sink,
    mut queued: mpsc::Receiver<PeerMessage>,
) -> LinkError {
    let mut wake = peers.wake.subscribe();
    let mut next_round = Instant::now();
    loop {
        let message = tokio::select! {
            biased;
            Some(message) = queued.recv() => message,
            () = tokio::time::sleep_until(next_round.into()) => {
                let now = Instant::now();
                next_round = now + ROUND_INTERVAL.mul_f64(rand::random_range(0.5..=1.0));
                peers.digests_message(link, now)
            }
            _ = wake.changed() => {
                next_round = next_round.min(Instant::now() + ROUND_DEBOUNCE);
                continue;
            }
        };
        match socket::send(sink, &message).await {
            Ok(size) => peers.metrics.count_bytes(Direction::Sent, size),
            Err(error) => return error,
        }
    }
}

/// Passes received messages on until the link fails.
async fn read(peers: &Arc<Peers>, link: &Arc<Link>, stream: &mut Stream) -> LinkError {
    loop {
        match socket::receive(stream).await {
            Ok((message, size)) => {
                peers.metrics.count_bytes(Direction::Received, size);
                if let PeerMessage::Hello { .. } = message {
                    let what = "second hello on the link";
                    return UnexpectedSnafu { what }.build();
                }
                peers.receive(link, message);
            }
            Err(error) => return error,
        }
    }
}

/// Keeps a link among the open links. Dropping it removes the link and fails its calls.
struct OpenLinkGuard<'a> {
    peers: &'a Peers,
    id: u64,
}

impl<'a> OpenLinkGuard<'a> {
    fn new(peers: &'a Peers, link: &Arc<Link>) -> Self {
        peers.links.lock().insert(link.id, Arc::clone(link));
        peers.metrics.link_opened();
        Self { peers, id: link.id }
    }
}

impl Drop for OpenLinkGuard<'_> {
    fn drop(&mut self) {
        self.peers.links.lock().remove(&self.id);
        self.peers.calls.link_ended(self.id);
        self.peers.metrics.link_ended();
    }
}
