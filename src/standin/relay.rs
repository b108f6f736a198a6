//! TCP relays between instances, whose directions can be cut one by one.
//!
//! Bytes of a direction that is cut are held, as by a network that loses packets; they
//! go on when it is mended.

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

/// Bytes that a relay reads at a time.
const BUFFER: usize = 16 << 10;

/// A direction between two instances.
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

/// All relays of a platform; they are made when an instance first asks for the list.
#[derive(Debug)]
pub struct Relays {
    cuts: watch::Sender<Cuts>,
    made: Mutex<BTreeMap<(Direction, String), SocketAddr>>,
}

impl Default for Relays {
    fn default() -> Self {
        Self {
            cuts: watch::Sender::new(Cuts::new()),
            made: Mutex::default(),
        }
    }
}

impl Relays {
    /// Cuts these directions, and mends all others.
    pub fn cut(&self, directions: Vec<Direction>) {
        self.cuts.send_replace(directions.into_iter().collect());
    }

    /// The list as `instance` sees it: peers' links of others lead through relays.
    ///
    /// # Errors
    /// No port is free.
    pub async fn view(
        &self,
        instance: &str,
        list: &[Instance],
        ip: IpAddr,
    ) -> io::Result<Vec<Instance>> {
        let mut seen = list.to_vec();
        for other in &mut seen {
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
        Ok(seen)
    }

    async fn relay(
        &self,
        direction: &Direction,
        target: &str,
        ip: IpAddr,
    ) -> io::Result<SocketAddr> {
        let key = (direction.clone(), target.to_owned());
        if let Some(address) = self.made.lock().get(&key) {
            return Ok(*address);
        }
        let listener = TcpListener::bind(SocketAddr::new(ip, 0)).await?;
        let address = listener.local_addr()?;
        // Two callers at once both make one; the later stands, the earlier goes on working.
        self.made.lock().insert(key, address);
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
    while let Ok((near, _)) = listener.accept().await {
        let (direction, target, cuts) = (direction.clone(), target.clone(), cuts.clone());
        tokio::spawn(async move {
            let Ok(far) = TcpStream::connect(&target).await else {
                return;
            };
            let _ = near.set_nodelay(true);
            let _ = far.set_nodelay(true);
            let (near_in, near_out) = near.into_split();
            let (far_in, far_out) = far.into_split();
            // When one direction ends, both do.
            tokio::select! {
                _ = pump(near_in, far_out, direction.clone(), cuts.clone()) => {}
                _ = pump(far_in, near_out, direction.reversed(), cuts) => {}
            }
        });
    }
}

/// Passes bytes on while their direction is not cut.
async fn pump(
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
        let passes = cuts.wait_for(|cuts| !cuts.contains(&direction)).await;
        passes.map_err(io::Error::other)?;
        to.write_all(&buf[..count]).await?;
    }
}
