//! The server list, combined with the servers that the configuration log marks as leaving.

use std::sync::Arc;

use futures_util::FutureExt as _;
use futures_util::future::BoxFuture;

use crate::edge::{EdgeResult, Servers};
use crate::lease::HeldLease;
use crate::log::ConfigLog;
use crate::wire::{Order, OrderResult, ServerList, ServerState};

/// Server interface that lists marked servers as leaving.
///
/// The entry then treats them like servers that the platform itself lists as leaving.
#[derive(Debug)]
pub(super) struct MarkedServers<S> {
    pub(super) inner: S,
    pub(super) config: Arc<ConfigLog>,
}

impl<S: Servers> Servers for MarkedServers<S> {
    fn list(&self) -> BoxFuture<'_, EdgeResult<ServerList>> {
        async move {
            let mut list = self.inner.list().await?;
            let state = self.config.state();
            for server in &mut list.servers {
                if state.leaving.contains(server.id.as_str()) {
                    server.state = ServerState::Leaving;
                }
            }
            Ok(list)
        }
        .boxed()
    }

    fn order(&self, order: Order, held: HeldLease) -> BoxFuture<'_, EdgeResult<OrderResult>> {
        self.inner.order(order, held)
    }
}
