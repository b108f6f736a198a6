//! `basillead usage`: shows usage windows.

use std::path::PathBuf;
use std::process::ExitCode;

use gumdrop::Options;

use super::CmdError;
use super::remote::ControlClient;
use crate::wire::{UsageLine, UsageStatus};

/// Shows usage windows: open, closed, reported, and what came late.
///
/// Figures of open windows may still grow. `uncertain` lists requests that an entry reported
/// as running before it stopped reporting: their usage, at most the tokens shown, is not counted.
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
    client.print("/operator/usage", args.json, show)
}

fn show(status: &UsageStatus) {
    println!("window state tenant unit amount late");
    for window in &status.windows {
        if window.lines.is_empty() {
            println!("{} {} - - 0 0", window.window, window.state);
        }
        for line in &window.lines {
            println!("{} {} {}", window.window, window.state, row(line));
        }
    }
    for line in &status.late {
        println!("next late {}", row(line));
    }
    for line in &status.expired {
        println!("- expired {}", row(line));
    }
    for open in &status.uncertain {
        println!(
            "uncertain: {} requests of {} at {}, up to {} tokens",
            open.requests, open.tenant, open.incarnation, open.tokens
        );
    }
}

/// Formats a usage line as columns of the printed table.
pub(super) fn row(line: &UsageLine) -> String {
    let UsageLine {
        amount,
        late,
        tenant,
        unit,
    } = line;
    format!("{tenant} {unit} {amount} {late}")
}
