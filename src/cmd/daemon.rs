//! The main function of both daemons: reads settings, sets up logging, runs.

use std::path::PathBuf;
use std::process::ExitCode;

use gumdrop::Options;

use super::CmdError;
use crate::control::Control;
use crate::entry::Entry;
use crate::settings::Settings;
use crate::telemetry;

/// Which daemon to run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// The entry daemon.
    Entry,
    /// The control daemon.
    Control,
}

/// Runs a basillead daemon until SIGTERM or SIGINT.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this text")]
    help: bool,
    #[options(help = "the instance's settings file", required, meta = "FILE")]
    settings: PathBuf,
    #[options(help = "check the settings and exit")]
    check: bool,
}

/// Parses the command line and runs the daemon.
#[must_use]
pub fn main(kind: Kind) -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    match run(kind, &args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => super::fail(&*error),
    }
}

fn run(kind: Kind, args: &Args) -> Result<(), CmdError> {
    let settings = Settings::load(&args.settings)?;
    if args.check {
        return Ok(());
    }
    crate::failpoint::setup();
    telemetry::init_log(settings.log_format, settings.log_level)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.threads)
        .enable_all()
        .build()?;
    match kind {
        Kind::Entry => runtime.block_on(Entry::new(settings)?.run())?,
        Kind::Control => runtime.block_on(Control::new(settings)?.run())?,
    }
    Ok(())
}
