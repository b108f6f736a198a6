//! The operators' interface: publishes records, and answers with status and usage.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::StatusCode;
use xitca_web::body::RequestBody;

use crate::edge::Servers as _;
use crate::http::{Refusal, RefusalKind, Response, json, read_body};
use crate::peer::freshness::FRESH_FOR;
use crate::peer::table::GONE_AFTER;
use crate::peer::{InstanceCount, PeerDigest};
use crate::wire::{
    BackendServer, ConfigBody, ConfigRecord, Daemon, InstanceStatus, Published, ServerStatus,
    Status, Verdict,
};

use super::{Control, withdraw};

/// Largest record in bytes.
const RECORD_MAX: usize = 4 << 20;
/// Timeout for the request body to arrive.
const UPLOAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for a record to be folded, or for the usage stream to be read to its head.
const FOLD_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for a majority of instances to hold a record.
const MAJORITY_TIMEOUT: Duration = Duration::from_secs(10);
/// Poll interval while waiting for a majority.
const MAJORITY_POLL: Duration = Duration::from_millis(20);

/// Appends a record and answers with its verdict.
///
/// An accepted record is answered once a majority of the listed instances holds it.
pub(super) async fn publish(
    control: &Arc<Control>,
    body: &mut RequestBody,
) -> Result<Response, Refusal> {
    let body = read_body(body, RECORD_MAX, Instant::now() + UPLOAD_TIMEOUT).await?;
    let record: ConfigRecord = serde_json::from_slice(&body)
        .map_err(|error| Refusal::not_run(RefusalKind::Malformed, error.to_string()))?;
    if let ConfigBody::KeyWithdraw { digest } = &record.body {
        withdraw::deny(control, digest);
    }
    let verdict = control
        .config
        .submit(&record, Instant::now() + FOLD_TIMEOUT)
        .await;
    let Some(verdict) = verdict else {
        return Err(withdraw::not_recorded(control, &record.body));
    };
    let coverage = match &verdict {
        Verdict::Accepted { offset, .. } => wait_majority(control, *offset).await?,
        _ => control.peers.count_holding(u64::MAX),
    };
    let published = Published {
        holding: coverage.holding,
        listed: coverage.listed,
        verdict,
    };
    Ok(json(StatusCode::OK, &published))
}

/// Waits until a majority of the listed instances holds the record at `offset`.
async fn wait_majority(control: &Control, offset: u64) -> Result<InstanceCount, Refusal> {
    let until = Instant::now() + MAJORITY_TIMEOUT;
    loop {
        let coverage = control.peers.count_holding(offset);
        if coverage.is_majority() {
            return Ok(coverage);
        }
        if Instant::now() >= until {
            let detail = format!(
                "recorded at offset {offset}, but only {} of {} listed instances hold it; \
                 see `basillead status` and publish it again",
                coverage.holding, coverage.listed
            );
            return Err(Refusal::unknown(RefusalKind::Deadline, detail));
        }
        tokio::time::sleep(MAJORITY_POLL).await;
    }
}

/// Answers with the configuration in force, the daemons and the servers.
pub(super) async fn status(control: &Arc<Control>) -> Result<Response, Refusal> {
    let state = control.config.state();
    let snapshot = state.snapshot();
    let servers = match control.servers.list().await {
        Ok(list) => list.servers.into_iter().map(server_status).collect(),
        Err(_) => Vec::new(),
    };
    let status = Status {
        daemons: daemons(control),
        keys: snapshot.keys,
        listed: u32::try_from(control.peers.listed().len()).unwrap_or(u32::MAX),
        manifest: state.digest.to_string(),
        revision: state.revision,
        rounds: snapshot.rounds,
        servers,
    };
    Ok(json(StatusCode::OK, &status))
}

/// The latest process of each daemon, by the digests of peers.
fn daemons(control: &Control) -> Vec<InstanceStatus> {
    let mut digests = control.peers.digests();
    digests.sort_unstable_by(|a, b| {
        let name = |peer: &PeerDigest| (peer.digest.instance.clone(), peer.digest.daemon);
        name(a).cmp(&name(b)).then(b.beat_at.cmp(&a.beat_at))
    });
    digests.dedup_by(|later, first| {
        later.digest.instance == first.digest.instance && later.digest.daemon == first.digest.daemon
    });
    digests.into_iter().map(daemon_status).collect()
}

fn daemon_status(peer: PeerDigest) -> InstanceStatus {
    let limit = match peer.digest.daemon {
        Daemon::Entry => FRESH_FOR,
        // Control daemons send heartbeats less often.
        Daemon::Control => GONE_AFTER,
    };
    let recent = peer.beat_at.elapsed() < limit;
    let digest = peer.digest;
    InstanceStatus {
        config_next: digest.config_next,
        daemon: digest.daemon,
        fresh: digest.fresh && recent,
        instance: digest.instance,
        leases: digest.leases,
        leaving: digest.leaving,
        manifest: digest.manifest,
        revision: digest.revision,
        url: digest.url,
        zone: digest.zone,
    }
}

/// Answers with the usage windows, as of the log's head.
pub(super) async fn usage(control: &Arc<Control>) -> Result<Response, Refusal> {
    if !control.usage.catch_up(Instant::now() + FOLD_TIMEOUT).await {
        let detail = "the usage stream could not be read to its end";
        return Err(Refusal::not_run(RefusalKind::NotFresh, detail));
    }
    Ok(json(StatusCode::OK, &control.usage.status()))
}

fn server_status(server: BackendServer) -> ServerStatus {
    ServerStatus {
        id: server.id,
        pool: server.pool,
        price: server.price,
        state: server.state,
        version: None,
        zone: server.zone,
    }
}
