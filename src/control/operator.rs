//! The operators' interface: records to publish, and the status.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::StatusCode;
use xitca_web::body::RequestBody;

use crate::edge::Servers as _;
use crate::http::{Refusal, RefusalKind, Response, json, read_body};
use crate::wire::{BackendServer, ConfigRecord, Published, ServerStatus, Status};

use super::Control;

/// Largest record in bytes.
const RECORD_MAX: usize = 4 << 20;
/// Time within which a record must arrive.
const UPLOAD: Duration = Duration::from_secs(10);
/// Time within which a record must be folded.
const FOLD: Duration = Duration::from_secs(10);

/// Appends a record and answers with its verdict.
pub(super) async fn records(
    control: &Arc<Control>,
    body: &mut RequestBody,
) -> Result<Response, Refusal> {
    let body = read_body(body, RECORD_MAX, Instant::now() + UPLOAD).await?;
    let record: ConfigRecord = serde_json::from_slice(&body)
        .map_err(|error| Refusal::not_run(RefusalKind::Malformed, error.to_string()))?;
    let verdict = control.config.submit(&record, Instant::now() + FOLD).await;
    let Some(verdict) = verdict else {
        let detail = "the log did not take the record in time; publish it again";
        return Err(Refusal::unknown(RefusalKind::Deadline, detail));
    };
    let published = Published {
        holding: 1,
        listed: 1,
        verdict,
    };
    Ok(json(StatusCode::OK, &published))
}

/// Answers with the state in force.
pub(super) async fn status(control: &Arc<Control>) -> Result<Response, Refusal> {
    let state = control.config.state();
    let snapshot = state.snapshot();
    let servers = match control.servers.list().await {
        Ok(list) => list.servers.into_iter().map(server_status).collect(),
        Err(_) => Vec::new(),
    };
    let status = Status {
        daemons: Vec::new(),
        keys: snapshot.keys,
        listed: 0,
        manifest: state.digest.to_string(),
        revision: state.revision,
        rounds: snapshot.rounds,
        servers,
    };
    Ok(json(StatusCode::OK, &status))
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
