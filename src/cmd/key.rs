//! `basillead key`: grants, withdraws and lists keys.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use gumdrop::Options;

use super::remote::{self, ControlClient};
use super::{CmdError, EXIT_REFUSED};
use crate::entry::{KEY_DIGITS, KEY_PREFIX};
use crate::names::KeyDigest;
use crate::util::random_id;
use crate::wire::{ConfigBody, Daemon, Status, Verdict};

/// Time within which every entry must refuse a withdrawn key.
const WITHDRAW_TIMEOUT: Duration = Duration::from_secs(10);
/// Poll interval while a withdrawal spreads to the entries.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Grants, withdraws or lists keys.
#[derive(Debug, Options)]
pub(super) struct Args {
    #[options(help = "print this text")]
    help: bool,
    #[options(command, required)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "make a key for a tenant; the key is shown once")]
    Grant(Grant),
    #[options(help = "withdraw a key for good")]
    Withdraw(Withdraw),
    #[options(help = "list keys by digest")]
    List(List),
}

#[derive(Debug, Options)]
struct Grant {
    #[options(help = "print this text")]
    help: bool,
    #[options(help = "base URL of a control daemon", required, meta = "URL")]
    control: String,
    #[options(help = "file with the operator's key", required, meta = "FILE")]
    key_file: PathBuf,
    #[options(help = "the tenant", required)]
    tenant: String,
    #[options(help = "a name for the key", default = "")]
    label: String,
}

#[derive(Debug, Options)]
struct Withdraw {
    #[options(help = "print this text")]
    help: bool,
    #[options(help = "base URL of a control daemon", required, meta = "URL")]
    control: String,
    #[options(help = "file with the operator's key", required, meta = "FILE")]
    key_file: PathBuf,
    #[options(free, required, help = "the key's digest, as `list` shows it")]
    digest: String,
}

#[derive(Debug, Options)]
struct List {
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
    match &args.command {
        Some(Command::Grant(grant)) => grant.run(),
        Some(Command::Withdraw(withdraw)) => withdraw.run(),
        Some(Command::List(list)) => list.run(),
        None => Err("key: expected grant, withdraw or list".into()),
    }
}

/// Publishes a record and prints the verdict; returns whether the record took effect.
fn publish(control: &str, key_file: &Path, body: ConfigBody) -> Result<bool, CmdError> {
    let published = ControlClient::new(control, key_file)?.publish(body)?;
    Ok(remote::show_verdict(&published))
}

impl Grant {
    fn run(&self) -> Result<ExitCode, CmdError> {
        let digits = random_id() + &random_id();
        let key = format!("{KEY_PREFIX}{}", &digits[..KEY_DIGITS]);
        let body = ConfigBody::KeyGrant {
            digest: KeyDigest::of(&key).to_string(),
            label: self.label.clone(),
            tenant: self.tenant.clone(),
        };
        if !publish(&self.control, &self.key_file, body)? {
            return Ok(ExitCode::from(EXIT_REFUSED));
        }
        println!("key: {key}");
        Ok(ExitCode::SUCCESS)
    }
}

impl Withdraw {
    fn run(&self) -> Result<ExitCode, CmdError> {
        let body = ConfigBody::KeyWithdraw {
            digest: self.digest.clone(),
        };
        let client = ControlClient::new(&self.control, &self.key_file)?;
        let published = client.publish(body)?;
        if !remote::show_verdict(&published) {
            return Ok(ExitCode::from(EXIT_REFUSED));
        }
        let Verdict::Accepted { offset, .. } = published.verdict else {
            return Ok(ExitCode::from(EXIT_REFUSED));
        };
        wait_refused(&client, offset)
    }
}

/// Waits until no entry accepts the key whose withdrawal has this offset in the log.
fn wait_refused(client: &ControlClient, offset: u64) -> Result<ExitCode, CmdError> {
    let until = Instant::now() + WITHDRAW_TIMEOUT;
    loop {
        let status: Status = client.get("/operator/status")?;
        let accepting = accepting_instances(&status, offset);
        if accepting.is_empty() {
            show_refused(&status);
            return Ok(ExitCode::SUCCESS);
        }
        if Instant::now() >= until {
            let accepting = accepting.join(", ");
            return Err(format!("withdrawn, but not yet known to be dead at {accepting}").into());
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Returns the instances whose entry may still accept the withdrawn key.
///
/// An entry refuses all keys by itself while its configuration is not fresh or while no
/// control daemon hears from it.
fn accepting_instances(status: &Status, offset: u64) -> Vec<&str> {
    let entries = status.daemons.iter().filter(|d| d.daemon == Daemon::Entry);
    let accepting = entries.filter(|entry| entry.fresh && entry.config_next <= offset);
    accepting.map(|entry| entry.instance.as_str()).collect()
}

fn show_refused(status: &Status) {
    let entries = status.daemons.iter().filter(|d| d.daemon == Daemon::Entry);
    let fresh = entries.filter(|entry| entry.fresh).count();
    println!("dead at {fresh} of {} instances", status.listed);
    let silent = usize::try_from(status.listed).map_or(0, |listed| listed.saturating_sub(fresh));
    if silent > 0 {
        println!("{silent} instances not fresh or not heard from: they refuse all keys");
    }
}

impl List {
    fn run(&self) -> Result<ExitCode, CmdError> {
        let client = ControlClient::new(&self.control, &self.key_file)?;
        let status: Status = client.get("/operator/status")?;
        if self.json {
            println!("{}", serde_json::to_string(&status.keys)?);
            return Ok(ExitCode::SUCCESS);
        }
        for key in &status.keys {
            let state = if key.withdrawn {
                "withdrawn"
            } else {
                "granted"
            };
            println!("{} {} {state} {}", key.digest, key.tenant, key.label);
        }
        Ok(ExitCode::SUCCESS)
    }
}
