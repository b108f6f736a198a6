//! `basillead burn`: how fast each tenant uses up its error budget.

use std::path::PathBuf;
use std::process::ExitCode;

use gumdrop::Options;

use super::CmdError;
use super::remote::ControlClient;
use crate::wire::{BurnRange, BurnStatus};

/// Shows error-budget burn rates by tenant and route or model, over all entries that answer.
///
/// A rate of 1 uses up the budget of the manifest's `objective` exactly. Act when the rates
/// of both ranges are high: the short one alone may be a peak that has passed. Refused,
/// failed and slow requests count as bad; refusals that are the caller's fault do not count.
#[derive(Debug, Options)]
pub(super) struct Args {
    #[options(help = "print this text")]
    help: bool,
    #[options(help = "base URL of a control daemon", required, meta = "URL")]
    control: String,
    #[options(help = "file with the operator's key", required, meta = "FILE")]
    key_file: PathBuf,
    #[options(help = "print the answer as JSON")]
    json: bool,
}

pub(super) fn run(args: &Args) -> Result<ExitCode, CmdError> {
    let client = ControlClient::new(&args.control, &args.key_file)?;
    client.print("/operator/burn", args.json, show)
}

fn show(status: &BurnStatus) {
    println!("{} of {} entries answered", status.answered, status.known);
    println!("tenant route range rate total refused failed slow p50_ms p99_ms");
    for row in &status.rows {
        for (name, range) in [("short", &row.short), ("long", &row.long)] {
            println!("{} {} {name} {}", row.tenant, row.route, columns(range));
        }
    }
    match &status.worst {
        Some(tenant) => println!("worst-served team: {tenant}"),
        None => println!("worst-served team: none burns its budget"),
    }
}

fn columns(range: &BurnRange) -> String {
    format!(
        "{:.2} {} {} {} {} {} {}",
        range.rate,
        range.total,
        range.refused,
        range.failed,
        range.slow,
        range.p50_ms,
        range.p99_ms
    )
}
