//! `basillead publish`: publishes a manifest.

use std::path::PathBuf;
use std::process::ExitCode;

use gumdrop::Options;

use super::CmdError;
use super::remote::ControlClient;
use crate::manifest::Manifest;
use crate::wire::ConfigBody;

/// Publishes a manifest and waits for the verdict.
///
/// The manifest's `base` names the revision that it replaces. Publishing again after a lost
/// answer is safe: a manifest that is already in force is refused as a conflict and does not
/// take effect twice.
#[derive(Debug, Options)]
pub(super) struct Args {
    #[options(help = "print this text")]
    help: bool,
    #[options(free, required, help = "the manifest")]
    file: PathBuf,
    #[options(help = "base URL of a control daemon", required, meta = "URL")]
    control: String,
    #[options(help = "file with the operator's key", required, meta = "FILE")]
    key_file: PathBuf,
    #[options(help = "print the answer as JSON")]
    json: bool,
}

pub(super) fn run(args: &Args) -> Result<ExitCode, CmdError> {
    let name = args.file.display();
    let text = std::fs::read_to_string(&args.file).map_err(|e| format!("{name}: {e}"))?;
    let manifest = Manifest::parse(&text).map_err(|findings| findings.in_file(&args.file))?;
    let client = ControlClient::new(&args.control, &args.key_file)?;
    let body = ConfigBody::Manifest {
        base: manifest.base,
        text,
    };
    client.publish_and_show(body, args.json)
}
