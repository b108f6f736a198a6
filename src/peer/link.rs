//! One open link to a peer.

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

/// Messages that wait for one link at most, digests apart.
const QUEUE: usize = 64;
/// Time between two rounds of digests, half to all of which is waited.
const ROUND: Duration = Duration::from_millis(600);
/// Shortest time between two rounds.
const ROUND_MIN: Duration = Duration::from_millis(20);

/// One run of one daemon.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PeerId {
    /// The instance.
    pub instance: InstanceId,
    /// Which of its daemons.
    pub daemon: Daemon,
    /// The daemon's run.
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

/// What the rounds of one link know of the other side.
#[derive(Debug)]
pub(super) struct Rounds {
    pub view: PeerView,
    pub clock: LinkClock,
}

/// An open link.
#[derive(Debug)]
pub struct Link {
    /// The peer at the other side.
    pub peer: PeerId,
    pub(super) id: u64,
    pub(super) rounds: Mutex<Rounds>,
    pub(super) close: Notify,
    queue: mpsc::Sender<PeerMessage>,
}

impl Link {
    /// Queues a message; false when the link is closing or its queue is full.
    #[must_use]
    pub fn send(&self, message: PeerMessage) -> bool {
        self.queue.try_send(message).is_ok()
    }
}

/// Runs a link from its handshake to its end. `opened` lies before the handshake.
///
/// A link to another incarnation than the one that is wanted, if any, ends at once.
pub(super) async fn run(
    peers: &Arc<Peers>,
    mut ws: Socket,
    opened: Instant,
    wanted: Option<&Incarnation>,
) -> LinkError {
    let peer = match greet(peers, &mut ws).await {
        Ok(peer) => peer,
        Err(error) => return error,
    };
    if wanted.is_some_and(|wanted| *wanted != peer.incarnation) {
        let what = "another incarnation";
        return UnexpectedSnafu { what }.build();
    }
    let (queue, queued) = mpsc::channel(QUEUE);
    let link = Arc::new(Link {
        peer,
        id: peers.next_id(),
        rounds: Mutex::new(Rounds {
            view: PeerView::default(),
            clock: LinkClock::new(opened),
        }),
        close: Notify::new(),
        queue,
    });
    let _open = OpenLink::new(peers, &link);
    let (mut sink, mut stream) = ws.split();
    tokio::select! {
        error = write(peers, &link, &mut sink, queued) => error,
        error = read(peers, &link, &mut stream) => error,
        () = link.close.notified() => UnneededSnafu.build(),
    }
}

/// Exchanges the first messages; both sides send theirs without waiting.
async fn greet(peers: &Peers, ws: &mut Socket) -> Result<PeerId, LinkError> {
    socket::send(ws, &peers.me.hello()).await?;
    let (message, _) = socket::receive(ws).await?;
    let PeerMessage::Hello {
        daemon,
        incarnation,
        instance,
    } = message
    else {
        return UnexpectedSnafu { what: "no hello" }.fail();
    };
    Ok(PeerId {
        instance: instance.into(),
        daemon,
        incarnation: incarnation.into(),
    })
}

type Sink = futures_util::stream::SplitSink<Socket, tokio_tungstenite::tungstenite::Message>;
type Stream = futures_util::stream::SplitStream<Socket>;

/// Sends queued messages, and digests in rounds.
async fn write(
    peers: &Peers,
    link: &Link,
    sink: &mut Sink,
    mut queued: mpsc::Receiver<PeerMessage>,
) -> LinkError {
    let mut wake = peers.wake.subscribe();
    let mut round = Instant::now();
    loop {
        let message = tokio::select! {
            biased;
            Some(message) = queued.recv() => message,
            () = tokio::time::sleep_until(round.into()) => {
                let now = Instant::now();
                round = now + ROUND.mul_f64(rand::random_range(0.5..=1.0));
                peers.round(link, now)
            }
            _ = wake.changed() => {
                round = round.min(Instant::now() + ROUND_MIN);
                continue;
            }
        };
        match socket::send(sink, &message).await {
            Ok(size) => peers.metrics.bytes(Direction::Sent, size),
            Err(error) => return error,
        }
    }
}

async fn read(peers: &Arc<Peers>, link: &Arc<Link>, stream: &mut Stream) -> LinkError {
    loop {
        match socket::receive(stream).await {
            Ok((message, size)) => {
                peers.metrics.bytes(Direction::Received, size);
                if let PeerMessage::Hello { .. } = message {
                    let what = "a second hello";
                    return UnexpectedSnafu { what }.build();
                }
                peers.received(link, message);
            }
            Err(error) => return error,
        }
    }
}

/// A link's place among the open ones. Dropping it takes the link out.
struct OpenLink<'a> {
    peers: &'a Peers,
    id: u64,
}

impl<'a> OpenLink<'a> {
    fn new(peers: &'a Peers, link: &Arc<Link>) -> Self {
        peers.links.lock().insert(link.id, Arc::clone(link));
        peers.metrics.opened();
        Self { peers, id: link.id }
    }
}

impl Drop for OpenLink<'_> {
    fn drop(&mut self) {
        self.peers.links.lock().remove(&self.id);
        self.peers.calls.link_ended(self.id);
        self.peers.metrics.ended();
    }
}
