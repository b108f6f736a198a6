//! `basillead replay`: recomputes every usage report from the log alone.

use std::process::ExitCode;
use std::time::Duration;

use gumdrop::Options;

use super::usage::row;
use super::{CmdError, EXIT_REFUSED};
use crate::edge::{HttpLog, Log, Stream};
use crate::http::Client;
use crate::log::UsageReader;
use crate::wire::UsageReport;

/// Recomputes usage reports from the log alone; nothing is sent to basillead.
///
/// With --json each line is, byte for byte, the body that was sent to the usage interface.
/// If records have expired, the replay starts at the oldest snapshot that the log still holds.
/// Exit status 3 if --window is given and the log does not hold the closed window.
#[derive(Debug, Options)]
pub(super) struct Args {
    #[options(help = "print this text")]
    help: bool,
    #[options(help = "base URL of the log service", required, meta = "URL")]
    log: String,
    #[options(
        help = "only the window with this start in Unix seconds",
        meta = "START"
    )]
    window: Option<u64>,
    #[options(help = "print the reports as JSON, one on each line")]
    json: bool,
}

pub(super) fn run(args: &Args) -> Result<ExitCode, CmdError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let reports = runtime.block_on(args.reports())?;
    let mut found = args.window.is_none();
    for report in &reports {
        if args.window.is_none_or(|window| window == report.window) {
            found = true;
            args.show(report)?;
        }
    }
    if found {
        return Ok(ExitCode::SUCCESS);
    }
    eprintln!("the log holds no closed window with the given start");
    Ok(ExitCode::from(EXIT_REFUSED))
}

impl Args {
    /// Replays the usage stream up to the head seen at the first read.
    async fn reports(&self) -> Result<Vec<UsageReport>, CmdError> {
        let log = HttpLog::new(&Client::new(), &self.log);
        let mut reader = UsageReader::default();
        let mut reports = Vec::new();
        let mut head = None;
        loop {
            let page = log.read(Stream::Usage, reader.next(), Duration::ZERO);
            let page = page.await?;
            let head = *head.get_or_insert(page.next);
            reports.extend(reader.apply_page(&page));
            if reader.is_lost() {
                return Err(
                    "usage records have expired, and the log holds no snapshot to start from"
                        .into(),
                );
            }
            if reader.next() >= head {
                return Ok(reports);
            }
        }
    }

    fn show(&self, report: &UsageReport) -> Result<(), CmdError> {
        if self.json {
            println!("{}", serde_json::to_string(report)?);
            return Ok(());
        }
        if report.lines.is_empty() {
            println!("{} - - 0 0", report.window);
        }
        for line in &report.lines {
            println!("{} {}", report.window, row(line));
        }
        Ok(())
    }
}
