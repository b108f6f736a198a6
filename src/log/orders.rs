//! The fold of the order stream: intents without an outcome, and what was started.

use std::collections::{BTreeMap, VecDeque};

use crate::wire::{
    LogPage, Order, OrderAction, OrderBody, OrderOutcome, OrderRecord, OrderResult, Price,
};

/// Record ids that are kept for whoever appended the records.
const IDS_KEPT: usize = 1_024;
/// Started servers that are kept, for lists that do not show them yet.
const STARTED_KEPT: usize = 256;

/// An order that may have been sent and has no outcome yet.
#[derive(Clone, Debug, PartialEq)]
pub struct Intent {
    /// Offset of the claim under which it was written last.
    pub claim: u64,
    /// The order.
    pub order: Order,
}

/// A server that an order started.
#[derive(Clone, Debug, PartialEq)]
pub struct Started {
    /// The order that started it.
    pub order: String,
    /// The server.
    pub server: String,
    /// Its pool.
    pub pool: String,
    /// Its availability zone.
    pub zone: String,
    /// Its price.
    pub price: Price,
}

/// Folds the order stream.
///
/// Orders older than the stream's retention need no snapshot: their connections were
/// closed with their leases, and the platform itself knows their outcome.
#[derive(Clone, Debug, Default)]
pub struct OrderFold {
    next: u64,
    open: BTreeMap<String, Intent>,
    started: VecDeque<Started>,
    ids: VecDeque<String>,
}

impl OrderFold {
    /// Offset after the last record folded.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Intents without an outcome, by order id.
    #[must_use]
    pub fn open(&self) -> &BTreeMap<String, Intent> {
        &self.open
    }

    /// The servers that were started last.
    pub fn started(&self) -> impl Iterator<Item = &Started> {
        self.started.iter()
    }

    /// Whether the record with this id was folded.
    #[must_use]
    pub fn is_folded(&self, id: &str) -> bool {
        self.ids.iter().rev().any(|known| known == id)
    }

    /// Folds a page.
    pub fn apply_page(&mut self, page: &LogPage) {
        self.next = self.next.max(page.first);
        for entry in &page.records {
            self.apply(entry.offset, &entry.data);
        }
    }

    fn apply(&mut self, offset: u64, data: &str) {
        if offset < self.next {
            return;
        }
        self.next = offset + 1;
        let Ok(record) = serde_json::from_str::<OrderRecord>(data) else {
            spdlog::warn!("unreadable order record skipped", kv: { offset });
            return;
        };
        if self.is_folded(&record.id) {
            return;
        }
        if self.ids.len() == IDS_KEPT {
            self.ids.pop_front();
        }
        self.ids.push_back(record.id);
        match record.body {
            OrderBody::Intent { claim, order } => {
                self.open.insert(order.id.clone(), Intent { claim, order });
            }
            OrderBody::Outcome {
                order,
                outcome,
                server,
            } => self.close(&OrderResult {
                order,
                outcome,
                server,
            }),
        }
    }

    fn close(&mut self, result: &OrderResult) {
        let Some(intent) = self.open.remove(&result.order) else {
            return;
        };
        let OrderAction::Start { pool, price, zone } = intent.order.action else {
            return;
        };
        let Some(server) = &result.server else {
            return;
        };
        if result.outcome != OrderOutcome::Applied {
            return;
        }
        if self.started.len() == STARTED_KEPT {
            self.started.pop_front();
        }
        self.started.push_back(Started {
            order: result.order.clone(),
            server: server.clone(),
            pool,
            zone,
            price,
        });
    }
}
