//! Amounts by tenant and unit.

use std::collections::BTreeMap;

use crate::names::Tenant;
use crate::wire::{UsageLine, UsageUnit};

/// Usage amounts by tenant and unit, sorted by both.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Figures(BTreeMap<(Tenant, UsageUnit), u64>);

impl Figures {
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(super) fn add(&mut self, tenant: Tenant, unit: UsageUnit, amount: u64) {
        let sum = self.0.entry((tenant, unit)).or_default();
        *sum = sum.saturating_add(amount);
    }

    pub(super) fn merge(&mut self, other: Self) {
        for ((tenant, unit), amount) in other.0 {
            self.add(tenant, unit, amount);
        }
    }

    fn get(&self, key: &(Tenant, UsageUnit)) -> u64 {
        self.0.get(key).copied().unwrap_or_default()
    }

    /// Report lines with these amounts and the late amounts of `late`.
    pub(super) fn lines(&self, late: &Self) -> Vec<UsageLine> {
        let mut keys: Vec<_> = self.0.keys().chain(late.0.keys()).collect();
        keys.sort();
        keys.dedup();
        let line = |key: &(Tenant, UsageUnit)| UsageLine {
            amount: self.get(key),
            late: late.get(key),
            tenant: key.0.to_string(),
            unit: key.1,
        };
        keys.into_iter().map(line).collect()
    }

    /// Collects the amounts of report lines.
    pub(super) fn amounts(lines: &[UsageLine]) -> Self {
        Self::of(lines, |line| line.amount)
    }

    /// Collects the late amounts of report lines.
    pub(super) fn late_amounts(lines: &[UsageLine]) -> Self {
        Self::of(lines, |line| line.late)
    }

    fn of(lines: &[UsageLine], amount: impl Fn(&UsageLine) -> u64) -> Self {
        let pair = |line: &UsageLine| ((Tenant::from(&*line.tenant), line.unit), amount(line));
        Self(lines.iter().map(pair).collect())
    }
}
