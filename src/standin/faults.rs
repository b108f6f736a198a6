//! Faults injected into the platform's interfaces at run time.

use std::collections::BTreeMap;
use std::io;
use std::time::Duration;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::wire::Price;

/// An interface of the platform.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Interface {
    /// The log service.
    Log,
    /// The instance list.
    Instances,
    /// The backend server interface.
    Servers,
    /// The usage interface.
    Usage,
    /// The weight store.
    Weights,
}

/// Faults of one interface; the default is none.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call fails without effect.
    pub down: bool,
    /// Milliseconds by which every call is delayed.
    pub slow_ms: u64,
    /// Calls that take effect but whose answer is lost.
    pub lose_answers: u32,
    /// Milliseconds after which a log append that failed at once takes effect; 0 for none.
    pub late_ms: u64,
    /// Age in milliseconds of the lists that are returned.
    pub lag_ms: u64,
}

/// Sets the faults of an interface for one instance or all of them.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SetFaults {
    /// The interface.
    pub interface: Interface,
    /// The instance whose calls are affected; all when none is named.
    #[serde(default)]
    pub instance: Option<String>,
    /// The faults, which replace earlier ones.
    pub faults: Faults,
}

/// Sets how many records of a stream the log keeps.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SetRetention {
    /// The stream.
    pub stream: String,
    /// Records kept; all when there is no limit.
    #[serde(default)]
    pub keep: Option<usize>,
}

/// Sets how many servers of a price can still be started in an availability zone.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SetCapacity {
    /// The availability zone.
    pub zone: String,
    /// The price.
    pub price: Price,
    /// Servers left.
    pub left: u32,
}

/// Reclaims the cheap servers of an availability zone.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Reclaim {
    /// The availability zone.
    pub zone: String,
    /// Grace period in milliseconds between the notice and the reclaim.
    pub notice_ms: u64,
}

/// The active faults by interface and calling instance.
#[derive(Debug, Default)]
pub struct FaultTable {
    table: Mutex<BTreeMap<(Interface, Option<String>), Faults>>,
}

impl FaultTable {
    /// Replaces the faults of an interface and instance.
    pub fn set(&self, set: SetFaults) {
        let key = (set.interface, set.instance);
        self.table.lock().insert(key, set.faults);
    }

    /// Returns the faults set for `instance`, or else those set for all instances.
    #[must_use]
    pub fn get(&self, interface: Interface, instance: Option<&str>) -> Faults {
        let table = self.table.lock();
        let own = instance.and_then(|name| table.get(&(interface, Some(name.to_owned()))));
        let found = own.or_else(|| table.get(&(interface, None)));
        found.copied().unwrap_or_default()
    }

    /// Delays or fails a call before it takes effect.
    ///
    /// # Errors
    /// The interface is down for this caller.
    pub async fn before(&self, interface: Interface, instance: Option<&str>) -> io::Result<Faults> {
        let faults = self.get(interface, instance);
        if faults.slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        if faults.down {
            return Err(io::Error::other("the interface is down"));
        }
        Ok(faults)
    }

    /// Fails a call that took effect, and counts `lose_answers` down, unless it is zero.
    ///
    /// # Errors
    /// The answer is lost.
    pub fn after(&self, interface: Interface, instance: Option<&str>) -> io::Result<()> {
        let mut table = self.table.lock();
        for name in [instance.map(str::to_owned), None] {
            let Some(faults) = table.get_mut(&(interface, name)) else {
                continue;
            };
            if faults.lose_answers > 0 {
                faults.lose_answers -= 1;
                return Err(io::Error::other("the answer is lost"));
            }
        }
        Ok(())
    }
}
