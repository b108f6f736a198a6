//! `basillead publish`: publishes a manifest.

use std::path::PathBuf;
use std::process::ExitCode;

use gumdrop::Options;

use super::remote::{self, Remote};
use super::{CmdError, EXIT_REFUSED};
use crate::manifest::Manifest;
use crate::wire::ConfigBody;

/// Publishes a manifest and waits for the verdict.
///
/// The manifest's `base` names the revision that it replaces. It is safe to repeat after
/// a lost answer: a manifest that is in force already ends in a conflict, never twice.
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
    let remote = Remote::new(&args.control, &args.key_file)?;
    let body = ConfigBody::Manifest {
        base: manifest.base,
        text,
    };
    let published = remote.publish(body)?;
    if args.json {
        println!("{}", serde_json::to_string(&published)?);
    }
    if remote::show(&published) {
        Ok(ExitCode::SUCCESS)
    } else {
        Ok(ExitCode::from(EXIT_REFUSED))
    }
}
