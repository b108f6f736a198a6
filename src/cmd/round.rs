//! `basillead round`: creates, shows and cancels rollout rounds.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use gumdrop::Options;

use super::CmdError;
use super::remote::ControlClient;
use crate::util::unix_ms;
use crate::wire::{ConfigBody, RoundEntry, RoundSpec, Status};

/// Creates, shows or cancels rollout rounds.
#[derive(Debug, Options)]
pub(super) struct Args {
    #[options(help = "print this text")]
    help: bool,
    #[options(command, required)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "create a round; its name is never used again")]
    Create(Create),
    #[options(help = "show all rounds, or one by its name")]
    Show(Show),
    #[options(help = "cancel a round for good")]
    Cancel(Cancel),
}

#[derive(Debug, Options)]
struct Create {
    #[options(help = "print this text")]
    help: bool,
    #[options(help = "base URL of a control daemon", required, meta = "URL")]
    control: String,
    #[options(help = "file with the operator's key", required, meta = "FILE")]
    key_file: PathBuf,
    #[options(free, required, help = "the round's name")]
    name: String,
    #[options(help = "the tenant whose keys may pull the round", required)]
    tenant: String,
    #[options(help = "the model", required)]
    model: String,
    #[options(
        help = "file with one prompt per line, one line for each group",
        required,
        meta = "FILE"
    )]
    prompts: PathBuf,
    #[options(help = "groups (default: one for each prompt)")]
    groups: Option<u32>,
    #[options(help = "samples of each group", default = "8")]
    samples: u32,
    #[options(
        no_short,
        help = "largest lag of a sample's oldest version behind the trainer's version",
        default = "1"
    )]
    staleness: u64,
    #[options(
        no_short,
        help = "largest number of tokens of a sample",
        default = "1024"
    )]
    max_tokens: u32,
    #[options(
        no_short,
        help = "seconds from now after which no sample is started",
        default = "3600"
    )]
    deadline_s: u64,
}

#[derive(Debug, Options)]
struct Show {
    #[options(help = "print this text")]
    help: bool,
    #[options(help = "base URL of a control daemon", required, meta = "URL")]
    control: String,
    #[options(help = "file with the operator's key", required, meta = "FILE")]
    key_file: PathBuf,
    #[options(free, help = "the round's name (default: all)")]
    name: Option<String>,
    #[options(help = "print the answer as JSON")]
    json: bool,
}

#[derive(Debug, Options)]
struct Cancel {
    #[options(help = "print this text")]
    help: bool,
    #[options(help = "base URL of a control daemon", required, meta = "URL")]
    control: String,
    #[options(help = "file with the operator's key", required, meta = "FILE")]
    key_file: PathBuf,
    #[options(free, required, help = "the round's name")]
    name: String,
}

pub(super) fn run(args: &Args) -> Result<ExitCode, CmdError> {
    match &args.command {
        Some(Command::Create(create)) => create.run(),
        Some(Command::Show(show)) => show.run(),
        Some(Command::Cancel(cancel)) => cancel.run(),
        None => Err("round: expected create, show or cancel".into()),
    }
}

/// Publishes a record and prints the verdict; returns success only if the record took effect.
fn publish(control: &str, key_file: &Path, body: ConfigBody) -> Result<ExitCode, CmdError> {
    ControlClient::new(control, key_file)?.publish_and_show(body, false)
}

impl Create {
    fn run(&self) -> Result<ExitCode, CmdError> {
        let round = self.spec()?;
        let body = ConfigBody::RoundCreate { round };
        publish(&self.control, &self.key_file, body)
    }

    fn spec(&self) -> Result<RoundSpec, CmdError> {
        let read = std::fs::read_to_string(&self.prompts);
        let text = read.map_err(|error| format!("{}: {error}", self.prompts.display()))?;
        let prompts: Vec<String> = text.lines().map(str::to_owned).collect();
        if prompts.is_empty() {
            return Err(format!("{}: no prompts", self.prompts.display()).into());
        }
        let groups = u32::try_from(prompts.len())?;
        Ok(RoundSpec {
            deadline_ms: unix_ms() + self.deadline_s.saturating_mul(1_000),
            groups: self.groups.unwrap_or(groups),
            max_tokens: self.max_tokens,
            model: self.model.clone(),
            name: self.name.clone(),
            prompts,
            samples: self.samples,
            staleness: self.staleness,
            tenant: self.tenant.clone(),
        })
    }
}

impl Show {
    fn run(&self) -> Result<ExitCode, CmdError> {
        let client = ControlClient::new(&self.control, &self.key_file)?;
        let status: Status = client.get("/operator/status")?;
        let wanted = |round: &&RoundEntry| {
            let name = self.name.as_ref();
            name.is_none_or(|name| *name == round.spec.name)
        };
        let rounds: Vec<&RoundEntry> = status.rounds.iter().filter(wanted).collect();
        if self.json {
            println!("{}", serde_json::to_string(&rounds)?);
        } else {
            for round in &rounds {
                show(round);
            }
        }
        if rounds.is_empty() && self.name.is_some() {
            return Err("no round of that name".into());
        }
        Ok(ExitCode::SUCCESS)
    }
}

fn show(round: &RoundEntry) {
    let spec = &round.spec;
    let left = spec.deadline_ms.saturating_sub(unix_ms()) / 1_000;
    let state = match (round.cancelled, left) {
        (true, _) => "cancelled".to_owned(),
        (false, 0) => "past its deadline".to_owned(),
        (false, left) => format!("open for {left} s"),
    };
    println!(
        "{} tenant {} model {} groups {} samples {} staleness {}: {state}",
        spec.name, spec.tenant, spec.model, spec.groups, spec.samples, spec.staleness
    );
}

impl Cancel {
    fn run(&self) -> Result<ExitCode, CmdError> {
        let name = self.name.clone();
        publish(
            &self.control,
            &self.key_file,
            ConfigBody::RoundCancel { name },
        )
    }
}
