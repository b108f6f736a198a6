//! Simulated outside systems, load generators and trainers for development and tests.
//!
//! None of them is part of an instance. One process simulates the whole platform and the
//! backend servers; `POST /fault` injects faults into its interfaces.

pub mod config;
pub mod counts;
pub mod demo;
pub mod engine;
pub mod faults;
pub mod fleet;
pub mod load;
pub mod loading;
pub mod log;
pub mod platform;
pub mod prefix;
pub mod relay;
pub mod serve;
pub mod service;
mod spec;
pub mod trainer;
pub mod weights;

use std::process::ExitCode;

use gumdrop::Options;

use crate::cmd::fail;

/// Runs stand-ins for the systems around basillead.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print this text")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "serve the platform's interfaces and backend servers")]
    Platform(platform::Args),
    #[options(help = "call the main interfaces once and check every answer")]
    Demo(demo::Args),
    #[options(help = "pull rounds as trainers do, and measure")]
    Trainer(trainer::Args),
    #[options(help = "compare reported usage with a replay")]
    Compare(demo::CompareArgs),
    #[options(help = "send requests at stated rates and check every answer")]
    Load(load::Args),
}

/// Parses the command line and runs the subcommand that it names.
#[must_use]
pub fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    let Some(command) = args.command else {
        eprintln!("{}", Args::usage());
        return ExitCode::from(2);
    };
    let done = match command {
        Command::Platform(args) => platform::run(&args),
        Command::Demo(args) => demo::run(&args),
        Command::Trainer(args) => trainer::run(&args),
        Command::Compare(args) => demo::compare(&args),
        Command::Load(args) => load::run(&args),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}
