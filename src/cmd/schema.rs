//! `basillead schema`: prints the JSON Schema of manifests or settings.

use std::process::ExitCode;

use gumdrop::Options;

use super::CmdError;
use crate::checked::json_schema;
use crate::manifest::Manifest;
use crate::settings::Settings;

/// Prints the JSON Schema of manifests, or with --settings of an instance's settings.
///
/// The schema is generated from the code that reads the files, so both always agree.
#[derive(Debug, Options)]
pub(super) struct Args {
    #[options(help = "print this text")]
    help: bool,
    #[options(help = "the schema of settings")]
    settings: bool,
}

pub(super) fn run(args: &Args) -> Result<ExitCode, CmdError> {
    let schema = if args.settings {
        json_schema("basillead settings", &Settings::fields())
    } else {
        json_schema("basillead manifest", &Manifest::fields())
    };
    println!("{}", serde_json::to_string_pretty(&schema)?);
    Ok(ExitCode::SUCCESS)
}
