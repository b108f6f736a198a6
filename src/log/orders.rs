//! Folds the order stream: open intents and recently started servers.

use std::collections::{BTreeMap, VecDeque};

use crate::wire::{
    LogPage, Order, OrderAction, OrderBody, OrderOutcome, OrderRecord, OrderResult, Price,
};

/// Recent record ids kept, to ignore repeats and to tell writers that a record was folded.
const RECENT_IDS_MAX: usize = 1_024;
/// Started servers kept, because the platform's server list may not show them yet.
const STARTED_MAX: usize = 256;

/// An order that may have been sent and has no outcome yet.
#[derive(Clone, Debug, PartialEq)]
pub struct Intent {
    /// Offset of the lease claim under which the intent was last written.
    pub claim: u64,
    /// The order.
    pub order: Order,
}

/// A server that an order started.
#[derive(Clone, Debug, PartialEq)]
pub struct Started {
    /// Id of the order that started the server.
    pub order: String,
    /// Id of the server.
    pub server: String,
    /// The server's pool.
    pub pool: String,
    /// The server's availability zone.
    pub zone: String,
    /// The server's price.
    pub price: Price,
}

/// Folds the order stream.
///
/// The stream needs no snapshots: connections of orders older than its retention were closed
/// when their leases ended, and the platform knows their outcome.
#[derive(Clone, Debug, Default)]
pub struct OrderFold {
    next: u64,
    open: BTreeMap<String, Intent>,
    started: VecDeque<Started>,
    ids: VecDeque<String>,
}

impl OrderFold {
    /// Offset after the last folded record.
    #[must_use]
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Intents that have no outcome yet, by order id.
    #[must_use]
    pub fn open(&self) -> &BTreeMap<String, Intent> {
        &self.open
    }

    /// The most recently started servers, oldest first.
    pub fn started(&self) -> impl Iterator<Item = &Started> {
        self.started.iter()
    }

    /// Whether the record with this id was folded recently.
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
        if self.ids.len() == RECENT_IDS_MAX {
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
            } => self.resolve(&OrderResult {
                order,
                outcome,
                server,
            }),
        }
    }

    /// Removes the intent that `result` belongs to, and keeps the server that it started.
    fn resolve(&mut self, result: &OrderResult) {
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
        if self.started.len() == STARTED_MAX {
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
