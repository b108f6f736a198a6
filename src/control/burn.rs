//! Merges the burn reports of all entries.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use http::{Request, header};

use crate::burn_rate::OutcomeCounts;
use crate::manifest::Objective;
use crate::wire::{BurnReport, BurnRow, BurnStatus, Daemon};

use super::Control;

/// Timeout of the request for an entry's burn report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Burn rates per tenant and route, over all entries that answer.
pub(super) async fn status(control: &Arc<Control>) -> BurnStatus {
    let digests = control.peers.digests();
    let entries = digests.iter().map(|known| &known.digest);
    let entries = entries.filter(|digest| digest.daemon == Daemon::Entry);
    let urls: Vec<&str> = entries.map(|digest| &*digest.url).collect();
    let reports = join_all(urls.iter().map(|url| fetch_report(control, url))).await;
    let reports: Vec<BurnReport> = reports.into_iter().flatten().collect();
    let rows = rows(&reports, control.config.state().manifest.objective);
    BurnStatus {
        answered: u32::try_from(reports.len()).unwrap_or(u32::MAX),
        known: u32::try_from(urls.len()).unwrap_or(u32::MAX),
        worst: worst(&rows),
        rows,
    }
}

/// Requests the burn report of the entry at `url`.
async fn fetch_report(control: &Control, url: &str) -> Option<BurnReport> {
    let secret = control.settings.peer_secret.reveal();
    let request = Request::get(format!("{url}/internal/burn"))
        .header(header::AUTHORIZATION, format!("Bearer {secret}"))
        .body(Bytes::new())
        .ok()?;
    let answer = control.client.fetch(request, REPORT_TIMEOUT).await;
    match answer {
        Ok(answer) if answer.status().is_success() => serde_json::from_slice(answer.body()).ok(),
        Ok(answer) => {
            let status = answer.status().as_u16();
            spdlog::warn!("burn report failed", kv: { url, status });
            None
        }
        Err(error) => {
            spdlog::warn!("burn report failed", kv: { url, error = error.to_string() });
            None
        }
    }
}

/// One row per tenant and route, the highest sustained burn rate first.
fn rows(reports: &[BurnReport], objective: Objective) -> Vec<BurnRow> {
    let mut sums: BTreeMap<(&str, &str), (OutcomeCounts, OutcomeCounts)> = BTreeMap::new();
    for line in reports.iter().flat_map(|report| &report.lines) {
        let (short, long) = sums.entry((&line.tenant, &line.route)).or_default();
        short.merge(&OutcomeCounts::from_wire(&line.short));
        long.merge(&OutcomeCounts::from_wire(&line.long));
    }
    let row = |((tenant, route), (short, long)): ((&str, &str), (OutcomeCounts, OutcomeCounts))| {
        BurnRow {
            long: long.burn(objective.bad),
            route: route.to_owned(),
            short: short.burn(objective.bad),
            tenant: tenant.to_owned(),
        }
    };
    let mut rows: Vec<BurnRow> = sums.into_iter().map(row).collect();
    rows.sort_by(|a, b| sustained_rate(b).total_cmp(&sustained_rate(a)));
    rows
}

/// The lower of the rates over the two ranges, so that neither a short nor a past peak counts
/// alone.
fn sustained_rate(row: &BurnRow) -> f64 {
    row.short.rate.min(row.long.rate)
}

/// The tenant with the highest sustained burn rate, if any rate is above zero.
fn worst(rows: &[BurnRow]) -> Option<String> {
    let first = rows.first().filter(|row| sustained_rate(row) > 0.0)?;
    Some(first.tenant.clone())
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::burn_rate::Outcome;
    use crate::wire::BurnLine;

    fn line(tenant: &str, good: u64, failed: u64) -> BurnLine {
        let mut counts = OutcomeCounts::default();
        for n in 0..good + failed {
            let outcome = if n < good {
                Outcome::Good
            } else {
                Outcome::Failed
            };
            counts.add(outcome, Some(Duration::from_millis(n)));
        }
        BurnLine {
            long: counts.to_wire(),
            route: "stroke-1".to_owned(),
            short: counts.to_wire(),
            tenant: tenant.to_owned(),
        }
    }

    #[test]
    fn rows_merge_entries() {
        let lines = [
            vec![line("desk", 90, 10), line("proof", 10, 0)],
            vec![line("desk", 100, 0)],
        ];
        let reports = lines.map(|lines| BurnReport { lines });
        let objective = Objective {
            bad: 10_000,
            ..Objective::default()
        };
        let rows = rows(&reports, objective);
        assert_eq!((rows[0].long.total, rows[0].long.failed), (200, 10));
        assert!((rows[0].long.rate - 5.0).abs() < 1e-9, "{rows:?}");
        assert_eq!(worst(&rows).as_deref(), Some("desk"));
    }
}
