//! Which model each server of a service is kept for.
//!
//! The load pattern: several trainers share the servers, and each names a new version every
//! few seconds. A server that follows all of them does little but load weights, so each is
//! kept for one model, in proportion to the work that the models' rounds bring.

use std::collections::BTreeMap;

/// Servers by which a model's share may be off before a server changes its model.
const SLACK: f64 = 1.0;

/// A server that may be kept for a model.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignable<'a> {
    /// The server.
    pub id: &'a str,
    /// The model that it is kept for.
    pub model: Option<&'a str>,
    /// How many versions it is behind, by model.
    pub behind: BTreeMap<&'a str, u64>,
    /// Requests that it runs.
    pub running: usize,
}

fn float(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// Servers that each model should have, by the work that it brings; at least one each.
#[must_use]
pub fn quotas<'a>(work: &BTreeMap<&'a str, f64>, servers: usize) -> BTreeMap<&'a str, f64> {
    let models = float(work.len().max(1));
    let spare = (float(servers) - models).max(0.0);
    let total: f64 = work.values().sum();
    let part = |work: f64| {
        if total > 0.0 {
            work / total
        } else {
            1.0 / models
        }
    };
    let base = if float(servers) < models {
        float(servers) / models
    } else {
        1.0
    };
    work.iter()
        .map(|(model, work)| (*model, base + spare * part(*work)))
        .collect()
}

/// Gives the servers that change their model, with the new one.
#[must_use]
pub fn assign<'a>(
    servers: &[Assignable<'a>],
    work: &BTreeMap<&'a str, f64>,
) -> Vec<(&'a str, &'a str)> {
    let quotas = quotas(work, servers.len());
    let mut have: BTreeMap<&str, usize> = quotas.keys().map(|model| (*model, 0)).collect();
    for server in servers {
        if let Some(count) = server.model.and_then(|model| have.get_mut(model)) {
            *count += 1;
        }
    }
    let lack = |have: &BTreeMap<&'a str, usize>, model: &str| {
        quotas.get(model).copied().unwrap_or_default() - have.get(model).map_or(0.0, |n| float(*n))
    };
    let mut changes = Vec::new();
    for server in servers.iter().filter(|server| !is_kept(server, &quotas)) {
        let best = quotas.keys().max_by(|a, b| {
            let by_lag = |model: &str| server.behind.get(model).copied().unwrap_or_default();
            let fill = |model: &str| (lack(&have, model) > 0.0, std::cmp::Reverse(by_lag(model)));
            let order = fill(a).cmp(&fill(b));
            order.then(lack(&have, a).total_cmp(&lack(&have, b)))
        });
        if let Some(model) = best {
            *have.entry(model).or_default() += 1;
            changes.push((server.id, *model));
        }
    }
    if changes.is_empty()
        && let Some(change) = rebalance(servers, &quotas, &have, &lack)
    {
        changes.push(change);
    }
    changes
}

fn is_kept(server: &Assignable<'_>, quotas: &BTreeMap<&str, f64>) -> bool {
    server.model.is_some_and(|model| quotas.contains_key(model))
}

/// Moves one server from the model with the most too many to that with the most too few.
fn rebalance<'a>(
    servers: &[Assignable<'a>],
    quotas: &BTreeMap<&'a str, f64>,
    have: &BTreeMap<&'a str, usize>,
    lack: &impl Fn(&BTreeMap<&'a str, usize>, &str) -> f64,
) -> Option<(&'a str, &'a str)> {
    let by_lack = |a: &&&'a str, b: &&&'a str| lack(have, a).total_cmp(&lack(have, b));
    let needs = quotas.keys().max_by(by_lack)?;
    let gives = quotas.keys().min_by(by_lack)?;
    let is_far = lack(have, needs) >= SLACK || have.get(needs) == Some(&0);
    if !is_far || needs == gives || have.get(gives).copied().unwrap_or_default() < 2 {
        return None;
    }
    let own = servers.iter().filter(|server| server.model == Some(*gives));
    own.min_by_key(|server| server.running)
        .map(|server| (server.id, *needs))
}
