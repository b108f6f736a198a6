//! Executes one action: writes the intent, reads it back, sends the order, writes the outcome.

use std::time::{Duration, Instant};

use opentelemetry::KeyValue;

use super::{CHEAP_COOLDOWN, Orders, Term};
use crate::control::plan::Action;
use crate::edge::{EdgeResult, Stream};
use crate::failpoint;
use crate::log::{Backoff, OrderFold};
use crate::wire::{
    Order, OrderAction, OrderBody, OrderOutcome, OrderRecord, OrderResult, Price, ServerList,
};

/// Timeout for an appended record to be read back.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(3);
/// Long-poll timeout of one read while waiting for the record.
const READ_WAIT: Duration = Duration::from_millis(200);

impl Orders {
    /// Resolves intents without an outcome, before anything new is ordered.
    ///
    /// An order that the platform lists has taken effect. An order that it does not list is
    /// sent again if still wanted, with the same order id, which makes the repeat idempotent.
    /// A stop is sent again only if its server is still marked as leaving.
    pub(super) async fn resolve(
        &self,
        term: &mut Term,
        fold: &mut OrderFold,
        list: &ServerList,
    ) -> EdgeResult<()> {
        let open: Vec<Order> = fold.open().values().map(|i| i.order.clone()).collect();
        for order in open {
            let known = list.orders.iter().find(|result| result.order == order.id);
            let outcome = match known {
                Some(result) => {
                    self.write_outcome(fold, result.clone()).await?;
                    "listed"
                }
                None if self.is_wanted(&order, list) => {
                    if !self.send(term, fold, order.clone()).await? {
                        return Ok(());
                    }
                    "sent again"
                }
                None => {
                    let outcome = OrderOutcome::Abandoned;
                    let order = order.id.clone();
                    let server = None;
                    let result = OrderResult {
                        order,
                        outcome,
                        server,
                    };
                    self.write_outcome(fold, result).await?;
                    "abandoned"
                }
            };
            spdlog::info!("intent resolved", kv: { order = order.id, outcome });
            let labels = [KeyValue::new("outcome", outcome)];
            self.metrics.resolved.add(1, &labels);
        }
        Ok(())
    }

    /// Whether the manifest and the marks still call for an order that is not listed.
    fn is_wanted(&self, order: &Order, list: &ServerList) -> bool {
        let state = self.config.state();
        match &order.action {
            OrderAction::Start { pool, .. } => {
                let have = list.servers.iter().filter(|s| s.pool == *pool).count() as u64;
                let spec = state.manifest.pools.get(pool.as_str());
                spec.is_some_and(|spec| have < spec.max)
            }
            OrderAction::Stop { server } => {
                let is_listed = list.servers.iter().any(|s| s.id == *server);
                is_listed && state.leaving.contains(server.as_str())
            }
        }
    }

    /// Executes an action; returns whether the lease is still held.
    pub(super) async fn execute(
        &self,
        term: &mut Term,
        fold: &mut OrderFold,
        action: Action,
    ) -> EdgeResult<bool> {
        if self.held(term.claim).is_none() {
            return Ok(false);
        }
        let action = match action {
            Action::Mark { server, leaving } => {
                self.mark(&server, leaving).await;
                return Ok(true);
            }
            Action::Start { pool, zone, cheap } => OrderAction::Start {
                pool: pool.to_string(),
                price: if cheap { Price::Cheap } else { Price::Regular },
                zone: zone.to_string(),
            },
            Action::Stop { server } => OrderAction::Stop {
                server: server.to_string(),
            },
        };
        let order = Order {
            action,
            fence: term.claim,
            id: crate::util::random_id(),
        };
        self.send(term, fold, order).await
    }

    /// Writes the intent, reads it back, sends the order and writes its outcome.
    ///
    /// Returns whether the lease is still held. The intent of an order without an answer stays
    /// open, to be resolved in a later pass.
    async fn send(
        &self,
        term: &mut Term,
        fold: &mut OrderFold,
        mut order: Order,
    ) -> EdgeResult<bool> {
        order.fence = term.claim;
        failpoint::reach("order-before-intent").await;
        let intent = OrderBody::Intent {
            claim: term.claim,
            order: order.clone(),
        };
        if !self.write(fold, intent).await? {
            return Ok(false);
        }
        failpoint::reach("order-after-intent").await;
        let Some(held) = self.held(term.claim) else {
            return Ok(false);
        };
        failpoint::reach("order-before-send").await;
        let answer = self.servers.order(order.clone(), held).await;
        failpoint::reach("order-after-send").await;
        let result = answer?;
        term.record_result(&order, &result);
        self.write_outcome(fold, result).await?;
        Ok(self.held(term.claim).is_some())
    }

    /// Counts the outcome of an order and writes it to the log.
    async fn write_outcome(&self, fold: &mut OrderFold, result: OrderResult) -> EdgeResult<()> {
        failpoint::reach("order-before-outcome").await;
        let labels = [KeyValue::new("outcome", result.outcome.to_string())];
        self.metrics.orders.add(1, &labels);
        let body = OrderBody::Outcome {
            order: result.order,
            outcome: result.outcome,
            server: result.server,
        };
        self.write(fold, body).await?;
        Ok(())
    }

    /// Appends a record; returns whether it was read back in time.
    ///
    /// Fails if the append failed and the record was not read back either.
    async fn write(&self, fold: &mut OrderFold, body: OrderBody) -> EdgeResult<bool> {
        let id = crate::util::random_id();
        let record = OrderRecord {
            id: id.clone(),
            body,
        };
        let text = serde_json::to_string(&record).unwrap_or_default();
        // A failed append may still have taken effect, so only the read-back counts.
        let appended = self.log.append(Stream::Orders, text).await;
        let until = Instant::now() + READ_BACK_TIMEOUT;
        let mut backoff = Backoff::default();
        while Instant::now() < until {
            let read = self.log.read(Stream::Orders, fold.next(), READ_WAIT);
            match read.await {
                Ok(page) => fold.apply_page(&page),
                Err(_) => backoff.pause().await,
            }
            if fold.is_folded(&id) {
                return Ok(true);
            }
        }
        appended.map(|_| false)
    }
}

impl Term {
    /// Logs the answer, and starts the cooldown where a cheap server was refused.
    fn record_result(&mut self, order: &Order, result: &OrderResult) {
        spdlog::info!("order answered", kv: {
            order = order.id,
            fence = order.fence,
            outcome = result.outcome.to_string(),
        });
        let OrderAction::Start { pool, price, zone } = &order.action else {
            return;
        };
        if *price == Price::Cheap && result.outcome == OrderOutcome::Refused {
            let place = (pool.as_str().into(), zone.as_str().into());
            self.cheap_cooldowns
                .insert(place, Instant::now() + CHEAP_COOLDOWN);
        }
    }
}
