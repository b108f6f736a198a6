//! Parses the `--server` arguments of the simulated platform.

use std::io;
use std::time::Duration;

use crate::wire::Price;

use super::engine::EngineConfig;
use super::fleet::PoolKind;
use super::platform::Args;

/// Servers of one pool in one availability zone.
#[derive(Debug)]
pub(super) struct ServerSpec {
    /// The pool.
    pub pool: String,
    /// Whether the servers are model engines.
    pub is_engine: bool,
    /// The availability zone.
    pub zone: String,
    /// Number of servers.
    pub count: u32,
    /// Price of the servers.
    pub price: Price,
}

impl ServerSpec {
    /// Parses a server argument.
    ///
    /// # Errors
    /// The text is malformed.
    pub(super) fn parse(text: &str) -> io::Result<Self> {
        let malformed = || {
            io::Error::other(format!(
                "{text}: expected POOL:KIND:ZONE:COUNT or POOL:KIND:ZONE:COUNT:cheap, \
                 where KIND is engine or service"
            ))
        };
        let (text, price) = match text.strip_suffix(":cheap") {
            Some(rest) => (rest, Price::Cheap),
            None => (text, Price::Regular),
        };
        let parts: Vec<&str> = text.split(':').collect();
        let [pool, kind, zone, count] = parts[..] else {
            return Err(malformed());
        };
        if kind != "engine" && kind != "service" {
            return Err(malformed());
        }
        Ok(Self {
            pool: pool.to_owned(),
            is_engine: kind == "engine",
            zone: zone.to_owned(),
            count: count.parse().map_err(|_| malformed())?,
            price,
        })
    }

    /// Returns the kind and settings of the pool's servers.
    pub(super) fn pool_kind(&self, config: EngineConfig, args: &Args) -> PoolKind {
        if self.is_engine {
            let model = args.model.clone();
            return PoolKind::Engine {
                config,
                model,
                version: 1,
            };
        }
        PoolKind::Service {
            work: Duration::from_millis(args.work_ms),
        }
    }
}
