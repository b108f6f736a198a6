//! Assigns each server of a service to one model.
//!
//! Several trainers share the servers, and each names a new weight version every few seconds.
//! A server that followed all of them would spend most of its time loading weights, so each
//! server is assigned to one model, in proportion to the work in the models' rounds.

use std::collections::BTreeMap;

/// Shortfall of a model, in servers, from which on a server is moved to that model.
const REBALANCE_THRESHOLD: f64 = 1.0;

/// A server that can be assigned to a model.
#[derive(Clone, Debug, PartialEq)]
pub struct Assignable<'a> {
    /// Id of the server.
    pub id: &'a str,
    /// Model that the server is assigned to.
    pub model: Option<&'a str>,
    /// Number of weight versions that the server is behind, by model.
    pub behind: BTreeMap<&'a str, u64>,
    /// Requests in flight on the server.
    pub running: usize,
}

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

/// Number of servers that each model should have, in proportion to its work.
///
/// Each model gets at least one, unless there are fewer servers than models.
#[must_use]
pub fn quotas<'a>(work: &BTreeMap<&'a str, f64>, servers: usize) -> BTreeMap<&'a str, f64> {
    let models = to_f64(work.len().max(1));
    let spare = (to_f64(servers) - models).max(0.0);
    let total: f64 = work.values().sum();
    let part = |work: f64| {
        if total > 0.0 {
            work / total
        } else {
            1.0 / models
        }
    };
    let base = if to_f64(servers) < models {
        to_f64(servers) / models
    } else {
        1.0
    };
    work.iter()
        .map(|(model, work)| (*model, base + spare * part(*work)))
        .collect()
}

/// Chooses the servers whose assignment changes, each with its new model.
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
    let shortfall = |have: &BTreeMap<&'a str, usize>, model: &str| {
        quotas.get(model).copied().unwrap_or_default() - have.get(model).map_or(0.0, |n| to_f64(*n))
    };
    let mut changes = Vec::new();
    for server in servers
        .iter()
        .filter(|server| !is_assigned(server, &quotas))
    {
        let best = quotas.keys().max_by(|a, b| {
            let by_lag = |model: &str| server.behind.get(model).copied().unwrap_or_default();
            let fill = |model: &str| {
                (
                    shortfall(&have, model) > 0.0,
                    std::cmp::Reverse(by_lag(model)),
                )
            };
            let order = fill(a).cmp(&fill(b));
            order.then(shortfall(&have, a).total_cmp(&shortfall(&have, b)))
        });
        if let Some(model) = best {
            *have.entry(model).or_default() += 1;
            changes.push((server.id, *model));
        }
    }
    if changes.is_empty()
        && let Some(change) = rebalance(servers, &quotas, &have, &shortfall)
    {
        changes.push(change);
    }
    changes
}

fn is_assigned(server: &Assignable<'_>, quotas: &BTreeMap<&str, f64>) -> bool {
    server.model.is_some_and(|model| quotas.contains_key(model))
}

/// Moves one server from the model with the largest surplus to that with the largest shortfall.
fn rebalance<'a>(
    servers: &[Assignable<'a>],
    quotas: &BTreeMap<&'a str, f64>,
    have: &BTreeMap<&'a str, usize>,
    shortfall: &impl Fn(&BTreeMap<&'a str, usize>, &str) -> f64,
) -> Option<(&'a str, &'a str)> {
    let by_shortfall =
        |a: &&&'a str, b: &&&'a str| shortfall(have, a).total_cmp(&shortfall(have, b));
    let recipient = quotas.keys().max_by(by_shortfall)?;
    let donor = quotas.keys().min_by(by_shortfall)?;
    let is_short =
        shortfall(have, recipient) >= REBALANCE_THRESHOLD || have.get(recipient) == Some(&0);
    if !is_short || recipient == donor || have.get(donor).copied().unwrap_or_default() < 2 {
        return None;
    }
    let own = servers.iter().filter(|server| server.model == Some(*donor));
    own.min_by_key(|server| server.running)
        .map(|server| (server.id, *recipient))
}
