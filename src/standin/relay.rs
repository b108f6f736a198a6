//! TCP relays between instances that simulate network partitions, one direction at a time.
//!
//! Bytes of a direction that is cut are held back, as by a network that loses packets; they
//! are forwarded once the direction is restored.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{IpAddr, SocketAddr};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::wire::Instance;

/// Size in bytes of a relay's read buffer.
const BUFFER: usize = 16 << 10;

/// One direction of the links between two instances.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Direction {
    /// The instance that sends.
    pub from: String,
    /// The instance that receives.
    pub to: String,
}

impl Direction {
    fn reversed(&self) -> Self {
        Self {
            from: self.to.clone(),
            to: self.from.clone(),
        }
    }
}

type Cuts = BTreeSet<Direction>;

/// All relays of a platform.
///
/// A relay is started when an instance first reads an instance list that holds its target.
#[derive(Debug)]
pub struct Relays {
    cuts: watch::Sender<Cuts>,
    /// Addresses of the relays by direction and target address.
    addresses: Mutex<BTreeMap<(Direction, String), SocketAddr>>,
}

impl Default for Relays {
    fn default() -> Self {
        Self {
            cuts: watch::Sender::new(Cuts::new()),
            addresses: Mutex::default(),
        }
    }
}

impl Relays {
    /// Cuts these directions and restores all others.
    pub fn cut(&self, directions: Vec<Direction>) {
        self.cuts.send_replace(directions.into_iter().collect());
    }

    /// Rewrites the list for `instance`: relays replace the peer addresses of the others.
    ///
    /// # Errors
    /// No port is free.
    pub async fn rewrite(
        &self,
        instance: &str,
        list: &[Instance],
        ip: IpAddr,
    ) -> io::Result<Vec<Instance>> {
        let mut rewritten = list.to_vec();
        for other in &mut rewritten {
            if other.id != instance {
                let direction = Direction {
                    from: instance.to_owned(),
                    to: other.id.clone(),
                };
                for address in [&mut other.entry_peer, &mut other.control_peer] {
                    *address = self.relay(&direction, address, ip).await?.to_string();
                }
            }
        }
        Ok(rewritten)
    }

    /// Returns the address of a relay to `target`; starts the relay if there is none yet.
    async fn relay(
        &self,
        direction: &Direction,
        target: &str,
        ip: IpAddr,
    ) -> io::Result<SocketAddr> {
        let key = (direction.clone(), target.to_owned());
        if let Some(address) = self.addresses.lock().get(&key) {
            return Ok(*address);
        }
        let listener = TcpListener::bind(SocketAddr::new(ip, 0)).await?;
        let address = listener.local_addr()?;
        // Concurrent callers may each create a relay; the later replaces the earlier in the
        // map, and the earlier keeps working.
        self.addresses.lock().insert(key, address);
        let cuts = self.cuts.subscribe();
        tokio::spawn(accept(listener, direction.clone(), target.to_owned(), cuts));
        Ok(address)
    }
}

async fn accept(
    listener: TcpListener,
    direction: Direction,
    target: String,
    cuts: watch::Receiver<Cuts>,
) {
    while let Ok((client, _)) = listener.accept().await {
        let (direction, target, cuts) = (direction.clone(), target.clone(), cuts.clone());
        tokio::spawn(async move {
            let Ok(upstream) = TcpStream::connect(&target).await else {
                return;
            };
            let _ = client.set_nodelay(true);
            let _ = upstream.set_nodelay(true);
            let (client_read, client_write) = client.into_split();
            let (upstream_read, upstream_write) = upstream.into_split();
            // When one direction ends, close both.
            tokio::select! {
                _ = forward(client_read, upstream_write, direction.clone(), cuts.clone()) => {}
                _ = forward(upstream_read, client_write, direction.reversed(), cuts) => {}
            }
        });
    }
}

/// Forwards bytes, and holds them back while the direction is cut.
async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: Direction,
    mut cuts: watch::Receiver<Cuts>,
) -> io::Result<()> {
    let mut buf = vec![0; BUFFER];
    loop {
        let count = from.read(&mut buf).await?;
        if count == 0 {
            return Ok(());
        }
        let restored = cuts.wait_for(|cuts| !cuts.contains(&direction)).await;
        restored.map_err(io::Error::other)?;
        to.write_all(&buf[..count]).await?;
    }
}
