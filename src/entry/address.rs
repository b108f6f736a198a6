//! The address answer: which entries a caller may use, and until when.

use crate::util::unix_ms;
use crate::wire::{Address, Addresses};

use super::Entry;

/// The addresses that callers may use now.
pub(super) fn addresses(entry: &Entry) -> Addresses {
    let own = Address {
        url: format!("http://{}", entry.settings.entry.http),
        incarnation: entry.incarnation.to_string(),
        zone: entry.settings.zone.to_string(),
    };
    let holds = entry.config.state().manifest.limits.address;
    Addresses {
        addresses: vec![own],
        until_ms: unix_ms() + holds,
    }
}
