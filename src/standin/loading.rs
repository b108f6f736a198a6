//! An engine's loads: orders to load a version, and what they leave behind.

use std::sync::Arc;

use http::{Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::wire::EngineOrder;

use super::engine::Engine;
use super::serve::{self, json, whole};
use super::weights::LoadEnd;

/// What an engine holds and is loading.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Loaded {
    /// The model; empty when no weights are usable.
    pub model: String,
    /// Its weight version.
    pub version: u64,
    /// The highest fencing number of an order taken.
    pub fence: u64,
    /// The version that is being loaded.
    pub loading: Option<u64>,
    /// The version whose last load failed.
    pub failed: Option<u64>,
    /// Loads that were begun.
    pub begun: u32,
    /// Orders that were refused for an old fencing number.
    pub refused: u32,
}

impl Loaded {
    /// Takes an order, unless its fencing number is old and that counts.
    fn take(&mut self, order: &EngineOrder, fenced: bool) -> Taken {
        if fenced && order.fence < self.fence {
            self.refused += 1;
            return Taken::Refused;
        }
        self.fence = self.fence.max(order.fence);
        let held = self.model == order.model && self.version == order.version;
        if self.loading == Some(order.version) || (held && self.loading.is_none()) {
            return Taken::Known;
        }
        self.loading = Some(order.version);
        self.failed = None;
        self.begun += 1;
        Taken::Begun(self.begun)
    }

    /// Ends the load with the number `begun`, unless a later one was begun.
    fn end(&mut self, begun: u32, order: &EngineOrder, end: LoadEnd) {
        if self.begun != begun {
            return;
        }
        self.loading = None;
        match end {
            LoadEnd::Loaded => {
                order.model.clone_into(&mut self.model);
                self.version = order.version;
            }
            LoadEnd::Failed => self.failed = Some(order.version),
            LoadEnd::Half => {
                self.failed = Some(order.version);
                self.model.clear();
            }
            LoadEnd::Crash => {}
        }
    }
}

enum Taken {
    Refused,
    Known,
    Begun(u32),
}

impl Engine {
    /// Answers an order; the load itself goes on afterwards.
    pub(super) fn order(self: &Arc<Self>, order: &EngineOrder) -> Response<serve::Body> {
        let taken = self.loaded().take(order, self.is_fenced());
        match taken {
            Taken::Refused => return whole(StatusCode::CONFLICT, "old fencing number"),
            Taken::Known => {}
            Taken::Begun(begun) => {
                let (engine, order) = (Arc::clone(self), order.clone());
                tokio::spawn(async move { engine.load(begun, &order).await });
            }
        }
        self.refresh_report();
        json(order)
    }

    async fn load(&self, begun: u32, order: &EngineOrder) {
        let end = self.store().fetch().await;
        if end == LoadEnd::Crash {
            self.crash();
        }
        self.loaded().end(begun, order, end);
        self.refresh_report();
    }
}
