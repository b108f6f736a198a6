//! `basillead explain`: shows what instances logged about one request.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use gumdrop::Options;
use serde_json::{Map, Value};

use super::{CmdError, EXIT_REFUSED};

/// Log fields that hold the id of a request, job, item or scorer.
const ID_FIELDS: [&str; 4] = ["id", "job", "item", "scorer"];
/// Events of servers, the store, leases, the configuration and processes, which may affect
/// any request in flight.
const CONTEXT_EVENTS: [&str; 8] = [
    "server",
    "store_lost",
    "store_regained",
    "stop",
    "end",
    "start",
    "lease_won",
    "configuration",
];
/// Milliseconds before and after the request's own lines in which context events are shown.
const CONTEXT_MS: u64 = 1500;

/// Shows what instances logged about a request, an item or a job, in order of time.
///
/// Reads log files of any number of instances; text before the first brace of a line is
/// shown as the line's source. For an item, the lines of its scorers are shown as well, but
/// not those of its job's other items. Other events from shortly before the first to shortly
/// after the last of these lines are shown, too: those of the servers that the lines name, of
/// the store, leases, configuration and processes. Exit status 3 if no line names the id.
#[derive(Debug, Options)]
pub(super) struct Args {
    #[options(help = "print this text")]
    help: bool,
    #[options(free, required, help = "id of a request, an item or a job")]
    id: String,
    #[options(free, help = "log files")]
    files: Vec<PathBuf>,
    #[options(help = "leave out other events of the same time")]
    own: bool,
}

/// A log event with its time in Unix milliseconds and the text before its JSON object.
struct Line {
    ms: u64,
    source: String,
    fields: Map<String, Value>,
}

impl Line {
    fn parse(text: &str) -> Option<Self> {
        let brace = text.find('{')?;
        let fields: Map<String, Value> = serde_json::from_str(&text[brace..]).ok()?;
        let ms = fields.get("t")?.as_u64()?;
        Some(Self {
            ms,
            source: text[..brace].trim().to_owned(),
            fields,
        })
    }

    fn text(&self, name: &str) -> &str {
        self.fields
            .get(name)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    fn has_id(&self, ids: &BTreeSet<String>) -> bool {
        ID_FIELDS.iter().any(|name| ids.contains(self.text(name)))
    }

    fn show(&self, start: u64) {
        let skipped = ["t", "event"];
        let shown = self
            .fields
            .iter()
            .filter(|(name, _)| !skipped.contains(&name.as_str()));
        let shown: Vec<String> = shown
            .map(|(name, value)| match value.as_str() {
                Some(text) => format!("{name}={text}"),
                None => format!("{name}={value}"),
            })
            .collect();
        let ms = i128::from(self.ms) - i128::from(start);
        println!(
            "{ms:+} ms {} {} {}",
            self.source,
            self.text("event"),
            shown.join(" ")
        );
    }
}

pub(super) fn run(args: &Args) -> Result<ExitCode, CmdError> {
    let mut lines = Vec::new();
    for file in &args.files {
        read_log(file, &mut lines)?;
    }
    lines.sort_by_key(|line| line.ms);
    let ids = related_ids(&lines, &args.id);
    let own: Vec<&Line> = lines.iter().filter(|line| line.has_id(&ids)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        eprintln!("no line names {}", args.id);
        return Ok(ExitCode::from(EXIT_REFUSED));
    };
    let servers: BTreeSet<&str> = own.iter().map(|line| line.text("server")).collect();
    let span = first.ms.saturating_sub(CONTEXT_MS)..=last.ms + CONTEXT_MS;
    let is_context = |line: &&Line| {
        let event = line.text("event");
        let is_near = CONTEXT_EVENTS.contains(&event) && span.contains(&line.ms);
        is_near && (event != "server" || servers.contains(line.text("server")))
    };
    for line in lines
        .iter()
        .filter(|line| line.has_id(&ids) || (!args.own && is_context(line)))
    {
        line.show(first.ms);
    }
    Ok(ExitCode::SUCCESS)
}

/// Returns the id and, for an item, the ids of its scorers.
fn related_ids(lines: &[Line], id: &str) -> BTreeSet<String> {
    let mut ids = BTreeSet::from([id.to_owned()]);
    for line in lines.iter().filter(|line| line.text("item") == id) {
        let scorer = line.text("scorer");
        if !scorer.is_empty() {
            ids.insert(scorer.to_owned());
        }
    }
    ids
}

fn read_log(file: &Path, lines: &mut Vec<Line>) -> Result<(), CmdError> {
    let bytes = std::fs::read(file).map_err(|error| format!("{}: {error}", file.display()))?;
    let text = String::from_utf8_lossy(&bytes);
    lines.extend(text.lines().filter_map(Line::parse));
    Ok(())
}
