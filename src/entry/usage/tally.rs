//! Usage of one request, counted when the request ends.

use std::sync::Arc;

use crate::names::Tenant;
use crate::util::unix_ms;
use crate::wire::UsageUnit;

use super::super::Entry;

/// Tokens of one request, added to the usage counters when the tally is dropped.
///
/// The request is charged to the window in which it ends.
#[derive(Debug)]
pub(in crate::entry) struct Tally {
    entry: Arc<Entry>,
    tenant: Tenant,
    max_tokens: u64,
    /// 1, or 0 for the continuation of a request that was counted already.
    requests: u64,
    tokens_in: u64,
    tokens_out: u64,
}

impl Tally {
    /// Starts the tally of a request that may generate `max_tokens`.
    pub(in crate::entry) fn new(entry: &Arc<Entry>, tenant: &Tenant, max_tokens: u32) -> Self {
        let max_tokens = u64::from(max_tokens);
        entry.usage.begin(tenant, max_tokens);
        Self {
            entry: Arc::clone(entry),
            tenant: tenant.clone(),
            max_tokens,
            requests: 1,
            tokens_in: 0,
            tokens_out: 0,
        }
    }

    /// Marks a request as the continuation of one that was counted already, with its prompt.
    pub(in crate::entry) fn resumed(mut self) -> Self {
        self.requests = 0;
        self
    }

    /// Adds `generated` tokens; `prompt` is the length of the whole prompt in tokens.
    pub(in crate::entry) fn count(&mut self, prompt: u32, generated: usize) {
        self.tokens_in = u64::from(prompt) * self.requests;
        self.tokens_out += generated as u64;
    }
}

impl Drop for Tally {
    fn drop(&mut self) {
        if self.tokens_out > 0 {
            let window = self.entry.config.state().manifest.window;
            let amounts = [
                (UsageUnit::Requests, self.requests),
                (UsageUnit::TokensIn, self.tokens_in),
                (UsageUnit::TokensOut, self.tokens_out),
            ];
            let usage = &self.entry.usage;
            usage.add(unix_ms(), window, &self.tenant, &amounts);
            self.entry.counts.tokens(&self.tenant, self.tokens_out);
        }
        self.entry.usage.end(&self.tenant, self.max_tokens);
    }
}
