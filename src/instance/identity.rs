//! Confirms to which start of a backend server a connection leads.
//!
//! A server may start again under its id and address, with another version of its software. An
//! instance that stood still or was cut off takes it for its former start, and the server doesn't
//! object: requests name only its id.

use std::time::Duration;

use tokio::time::timeout;

use super::Shared;
use super::events::event;
use super::interfaces::Backend;
use crate::boot::Boot;

/// Time limit on asking the registry.
const READ_TIMEOUT: Duration = Duration::from_millis(300);
/// Age of the last read of the registry up to which it counts as current if it can't be asked.
const READ_AGE_MAX: Duration = Duration::from_secs(1);

/// Whether a connection that was opened at `opened` leads to the start that `backend` describes.
///
/// It does if the registry lists no other start at a later time: a new start registers, and breaks
/// the connections to the former one.
pub async fn is_confirmed(shared: &Shared, backend: &Backend, opened: Boot) -> bool {
    let is_latest = || {
        let fleet = shared.fleet.borrow();
        let known = fleet.get(&backend.id);
        known.is_none_or(|known| known.born == backend.born)
    };
    let contact = || shared.contacts.borrow().servers;
    if !is_latest() || contact().last_read.is_some_and(|read| read >= opened) {
        return is_latest();
    }
    let asked = shared
        .store
        .servers(shared.servers_next.get(), Duration::ZERO);
    let is_same = match timeout(READ_TIMEOUT, asked).await {
        Ok(Ok(page)) if page.next >= page.end => {
            let entries = page
                .items
                .iter()
                .filter_map(|(_, change)| change.entry.as_ref());
            let mut starts = entries.filter(|entry| entry.id == backend.id);
            starts.all(|entry| entry.born == backend.born)
        }
        Ok(Ok(_)) => false,
        Ok(Err(_)) | Err(_) => contact().is_within(READ_AGE_MAX, Boot::now()),
    };
    if !is_same {
        event!("server_unconfirmed", "server" => backend.id, "born" => backend.born,
            "software" => backend.software);
    }
    // The registry may have been read in the meantime.
    is_same && is_latest()
}
