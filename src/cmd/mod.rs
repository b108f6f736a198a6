//! The operators' command line, with one file for each subcommand.
//!
//! Exit statuses: 0 done, 1 failed, 2 wrong usage, 3 refused by basillead.

mod burn;
mod check;
pub mod daemon;
mod explain;
mod explain_route;
mod key;
mod publish;
mod remote;
mod replay;
mod round;
mod schema;
mod status;
mod usage;

use std::process::ExitCode;

use gumdrop::Options;

/// Exit status of a malformed command line.
const EXIT_USAGE: u8 = 2;
/// Exit status of a request that basillead refused.
pub(crate) const EXIT_REFUSED: u8 = 3;

/// The error of a subcommand, printed to standard error.
pub(crate) type CmdError = Box<dyn std::error::Error + Send + Sync>;

/// Operates basillead.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this text")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "check a manifest or settings file; nothing is sent")]
    Check(check::Args),
    #[options(help = "publish a manifest and wait for the verdict")]
    Publish(publish::Args),
    #[options(help = "grant, withdraw or list keys")]
    Key(key::Args),
    #[options(help = "create, show or cancel rollout rounds")]
    Round(round::Args),
    #[options(help = "print the JSON Schema of manifests or settings")]
    Schema(schema::Args),
    #[options(help = "show the revision in force, daemons and servers")]
    Status(status::Args),
    #[options(help = "show usage windows")]
    Usage(usage::Args),
    #[options(help = "show how fast error budgets are used up")]
    Burn(burn::Args),
    #[options(help = "show what instances logged about a request")]
    Explain(explain::Args),
    #[options(help = "show where an instance would send a request now")]
    ExplainRoute(explain_route::Args),
    #[options(help = "recompute usage reports from the log alone")]
    Replay(replay::Args),
}

/// Parses the command line and runs the subcommand that it names.
#[must_use]
pub fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    let Some(command) = args.command else {
        eprintln!("Usage: basillead COMMAND [OPTIONS]\n\n{}", Args::usage());
        eprintln!("\nCommands:\n{}", Args::command_list().unwrap_or_default());
        return ExitCode::from(EXIT_USAGE);
    };
    let result = match command {
        Command::Check(args) => check::run(&args),
        Command::Publish(args) => publish::run(&args),
        Command::Key(args) => key::run(&args),
        Command::Round(args) => round::run(&args),
        Command::Schema(args) => schema::run(&args),
        Command::Status(args) => status::run(&args),
        Command::Usage(args) => usage::run(&args),
        Command::Burn(args) => burn::run(&args),
        Command::Explain(args) => explain::run(&args),
        Command::ExplainRoute(args) => explain_route::run(&args),
        Command::Replay(args) => replay::run(&args),
    };
    result.unwrap_or_else(|error| fail(&*error))
}

/// Prints an error to standard error and returns the exit status of a failure.
pub(crate) fn fail(error: &dyn std::error::Error) -> ExitCode {
    eprintln!("{error}");
    ExitCode::FAILURE
}
