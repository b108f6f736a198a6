//! `basillead status`: shows the configuration in force, daemons and servers.

use std::path::PathBuf;
use std::process::ExitCode;

use gumdrop::Options;

use super::CmdError;
use super::remote::ControlClient;
use crate::wire::Status;

/// Shows the revision in force, daemons and backend servers; with --json also keys and rounds.
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
    client.print("/operator/status", args.json, show)
}

fn show(status: &Status) {
    println!("revision {} ({})", status.revision, status.manifest);
    println!("{} instances listed", status.listed);
    for daemon in &status.daemons {
        let fresh = if daemon.fresh { "fresh" } else { "not fresh" };
        let leaving = if daemon.leaving { " leaving" } else { "" };
        println!(
            "{} {} {} {} revision {} ({:.12}) offset {} {fresh}{leaving}",
            daemon.instance,
            daemon.daemon,
            daemon.zone,
            daemon.url,
            daemon.revision,
            daemon.manifest,
            daemon.config_next
        );
        for lease in &daemon.leases {
            println!("  holds lease {} since offset {}", lease.role, lease.claim);
        }
    }
    for server in &status.servers {
        println!(
            "{} {} {} {} {}",
            server.id, server.pool, server.zone, server.price, server.state
        );
    }
}
