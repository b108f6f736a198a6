//! Finds the texts of results that stand in the log of texts.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use tokio::time::timeout;

use crate::instance::Shared;
use crate::instance::edge::Shown;
use crate::instance::events::event;
use crate::job::{Listed, Text};
use crate::ledger::record::{Decoder, Record};

/// Time within which the store answers a read of texts.
const ANSWER: Duration = Duration::from_millis(900);
/// Texts that are remembered.
const REMEMBERED: usize = 256;

/// Texts by the offset of their first record.
type Texts = BTreeMap<u64, Rc<str>>;

/// Results with their texts; none if a text cannot be read now.
pub(super) async fn resolve(shared: &Shared, page: Vec<Rc<Listed>>) -> Option<Vec<Shown>> {
    let offsets = page.iter().filter_map(|listed| match listed.text {
        Text::Apart { offset, .. } => Some(offset),
        Text::Here(_) => None,
    });
    let texts = find(shared, offsets.collect()).await?;
    let show = |listed: Rc<Listed>| {
        let text = match &listed.text {
            Text::Here(text) => Rc::from(text.as_str()),
            Text::Apart { offset, .. } => Rc::clone(texts.get(offset)?),
        };
        Some(Shown { listed, text })
    };
    page.into_iter().map(show).collect()
}

/// Finds the texts at these offsets; each read of the log brings many of them.
async fn find(shared: &Shared, mut missing: BTreeSet<u64>) -> Option<Texts> {
    let mut found = Texts::new();
    missing.retain(|offset| match shared.texts.borrow().get(offset) {
        Some(text) => found.insert(*offset, Rc::clone(text)).is_some(),
        None => true,
    });
    while let Some(first) = missing.first().copied() {
        let read = read(shared, first).await?;
        let wanted = read
            .into_iter()
            .filter(|(offset, _)| missing.contains(offset));
        let wanted: Texts = wanted.collect();
        missing.retain(|offset| !wanted.contains_key(offset));
        if missing.contains(&first) {
            event!("text_missing", "offset" => first);
            return None;
        }
        let mut known = shared.texts.borrow_mut();
        known.extend(
            wanted
                .iter()
                .map(|(offset, text)| (*offset, Rc::clone(text))),
        );
        while known.len() > REMEMBERED {
            known.pop_first();
        }
        found.extend(wanted);
    }
    Some(found)
}

/// Reads the texts that stand in the log from an offset on, as many as one answer holds.
async fn read(shared: &Shared, from: u64) -> Option<Texts> {
    let read = timeout(ANSWER, shared.store.texts(from)).await;
    let page = match read {
        Ok(Ok(page)) => page,
        Ok(Err(error)) => {
            event!("text_failed", "offset" => from, "error" => error);
            return None;
        }
        Err(_) => {
            event!("text_unanswered", "offset" => from);
            return None;
        }
    };
    let mut decoder = Decoder::default();
    let mut first = from;
    let mut texts = Texts::new();
    for (at, piece) in page.items {
        match decoder.push(&piece) {
            Ok(Some(Record::Text(text))) => {
                texts.insert(first, text.into());
                first = at + 1;
            }
            Ok(Some(_)) => first = at + 1,
            Ok(None) => {}
            Err(error) => event!("record", "offset" => at, "error" => error),
        }
    }
    Some(texts)
}
