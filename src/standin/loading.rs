//! Weight loads of a simulated engine, and the orders that start them.

use std::sync::Arc;

use http::{Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::wire::EngineOrder;

use super::engine::Engine;
use super::serve::{self, full_response, json};
use super::weights::LoadOutcome;

/// The weights that an engine holds and is loading.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Loaded {
    /// The model; empty when no weights are usable.
    pub model: String,
    /// Its weight version.
    pub version: u64,
    /// The highest fencing token of an accepted order.
    pub fence: u64,
    /// The version that is being loaded.
    pub loading: Option<u64>,
    /// The version whose last load failed.
    pub failed: Option<u64>,
    /// Loads started; the latest load has this number.
    pub begun: u32,
    /// Orders refused for a stale fencing token.
    pub refused: u32,
}

impl Loaded {
    /// Accepts an order, or refuses a stale fencing token if `fenced` is set.
    fn accept(&mut self, order: &EngineOrder, fenced: bool) -> OrderDecision {
        if fenced && order.fence < self.fence {
            self.refused += 1;
            return OrderDecision::Refused;
        }
        self.fence = self.fence.max(order.fence);
        let is_current = self.model == order.model && self.version == order.version;
        if self.loading == Some(order.version) || (is_current && self.loading.is_none()) {
            return OrderDecision::NoOp;
        }
        self.loading = Some(order.version);
        self.failed = None;
        self.begun += 1;
        OrderDecision::Started(self.begun)
    }

    /// Applies the outcome of load `number`, unless a later load was started since.
    fn finish(&mut self, number: u32, order: &EngineOrder, outcome: LoadOutcome) {
        if self.begun != number {
            return;
        }
        self.loading = None;
        match outcome {
            LoadOutcome::Loaded => {
                order.model.clone_into(&mut self.model);
                self.version = order.version;
            }
            LoadOutcome::Failed => self.failed = Some(order.version),
            LoadOutcome::Half => {
                self.failed = Some(order.version);
                self.model.clear();
            }
            LoadOutcome::Crash => {}
        }
    }
}

/// What an engine does with an order.
enum OrderDecision {
    /// The fencing token is stale.
    Refused,
    /// The version is held or being loaded already.
    NoOp,
    /// The load with this number starts.
    Started(u32),
}

impl Engine {
    /// Answers an order at once; the load runs in the background.
    pub(super) fn order(self: &Arc<Self>, order: &EngineOrder) -> Response<serve::Body> {
        let decision = self.loaded().accept(order, self.is_fenced());
        match decision {
            OrderDecision::Refused => {
                return full_response(StatusCode::CONFLICT, "stale fencing token");
            }
            OrderDecision::NoOp => {}
            OrderDecision::Started(number) => {
                let (engine, order) = (Arc::clone(self), order.clone());
                tokio::spawn(async move { engine.load(number, &order).await });
            }
        }
        self.refresh_report();
        json(order)
    }

    async fn load(&self, number: u32, order: &EngineOrder) {
        let outcome = self.store().fetch().await;
        if outcome == LoadOutcome::Crash {
            self.crash();
        }
        self.loaded().finish(number, order, outcome);
        self.refresh_report();
    }
}
