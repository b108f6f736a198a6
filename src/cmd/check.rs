//! `basillead check`: checks a manifest or a settings file.

use std::path::PathBuf;
use std::process::ExitCode;

use gumdrop::Options;

use super::CmdError;
use crate::manifest::Manifest;
use crate::settings::Settings;

/// Checks a manifest, or with --settings an instance's settings. Nothing is sent.
///
/// Prints every finding with its line, column and field.
#[derive(Debug, Options)]
pub(super) struct Args {
    #[options(help = "print this text")]
    help: bool,
    #[options(free, required, help = "the file")]
    file: PathBuf,
    #[options(help = "the file holds an instance's settings")]
    settings: bool,
}

pub(super) fn run(args: &Args) -> Result<ExitCode, CmdError> {
    if args.settings {
        Settings::load(&args.file)?;
    } else {
        args.check_manifest()?;
    }
    println!("{}: no findings", args.file.display());
    Ok(ExitCode::SUCCESS)
}

impl Args {
    fn check_manifest(&self) -> Result<(), CmdError> {
        let name = self.file.display();
        let text = std::fs::read_to_string(&self.file).map_err(|e| format!("{name}: {e}"))?;
        Manifest::parse(&text).map_err(|findings| findings.in_file(&self.file))?;
        Ok(())
    }
}
