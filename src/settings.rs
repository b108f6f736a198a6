//! An instance's settings: one TOML file that both daemons read.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use snafu::{ResultExt, Snafu};

use crate::checked::{self, Field, Findings, Table};
use crate::names::{InstanceId, Secret, Zone};

/// Worker threads that one daemon may use.
const THREADS: std::ops::RangeInclusive<u64> = 1..=64;

/// Why the settings could not be loaded.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// A file could not be read.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The settings file does not parse or has invalid fields.
    #[snafu(display("{}", findings.in_file(path)))]
    Invalid {
        /// The file.
        path: PathBuf,
        /// All findings with line and column.
        findings: Findings,
    },
}

/// The addresses on which one daemon listens.
#[derive(Clone, Debug)]
pub struct Listen {
    /// Address for HTTP.
    pub http: SocketAddr,
    /// Address for links from peer daemons.
    pub peer: SocketAddr,
}

/// Base URLs of the platform's interfaces.
#[derive(Clone, Debug)]
pub struct Platform {
    /// Base URL of the log service.
    pub log: String,
    /// Base URL of the instance list.
    pub instances: String,
    /// Base URL of the backend server interface.
    pub servers: String,
    /// Base URL of the usage interface.
    pub usage: String,
    /// Base URL of the weight store.
    pub weights: String,
}

/// How log events are written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogFormat {
    /// One line of text for each event.
    Text,
    /// One JSON object for each event.
    Json,
}

/// The lowest severity that is logged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogLevel {
    /// Errors only.
    Error,
    /// Warnings and errors.
    Warn,
    /// Normal operation, warnings and errors.
    Info,
    /// All events.
    Debug,
}

/// An instance's settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The instance's name in the instance list.
    pub instance: InstanceId,
    /// The region, within which majorities and freshness are computed.
    pub region: String,
    /// The availability zone.
    pub zone: Zone,
    /// Worker threads of each daemon.
    pub threads: usize,
    /// Listen addresses of the entry daemon.
    pub entry: Listen,
    /// Listen addresses of the control daemon.
    pub control: Listen,
    /// Base URLs of the platform's interfaces.
    pub platform: Platform,
    /// Shared secret of the links between peer daemons.
    pub peer_secret: Secret,
    /// Key that the operator interface requires.
    pub operator_key: Secret,
    /// Format of log events.
    pub log_format: LogFormat,
    /// Lowest severity that is logged.
    pub log_level: LogLevel,
}

/// Paths of the secret files, which are read only once the settings are valid.
struct SecretPaths {
    peer: PathBuf,
    operator: PathBuf,
}

impl Settings {
    /// Loads settings and the secret files that they name.
    ///
    /// # Errors
    /// Fails if a file cannot be read, a secret is empty, or the settings are invalid.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = read_file(path)?;
        let (mut settings, secrets) =
            checked::read(&text, parse).map_err(|findings| SettingsError::Invalid {
                path: path.to_owned(),
                findings,
            })?;
        let dir = path.parent().unwrap_or(Path::new("."));
        settings.peer_secret = read_secret(&dir.join(secrets.peer))?;
        settings.operator_key = read_secret(&dir.join(secrets.operator))?;
        Ok(settings)
    }
}

impl Settings {
    /// Lists the fields that a settings file may have.
    #[must_use]
    pub fn fields() -> Vec<Field> {
        checked::fields(parse)
    }
}

fn read_file(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).context(FileSnafu { path })
}

fn read_secret(path: &Path) -> Result<Secret, SettingsError> {
    let secret = Secret::new(&read_file(path)?);
    if secret.reveal().is_empty() {
        let source = std::io::Error::other("the secret file is empty");
        return Err(source).context(FileSnafu { path });
    }
    Ok(secret)
}

fn parse(root: &Table<'_>) -> (Settings, SecretPaths) {
    let secrets = root.table("secrets");
    let log = root.table_opt("log");
    let settings = Settings {
        instance: root.text("instance").into(),
        region: root.text("region"),
        zone: root.text("zone").into(),
        threads: usize::try_from(root.number_or("threads", 2, &THREADS)).unwrap_or(2),
        entry: parse_listen(root, "entry"),
        control: parse_listen(root, "control"),
        platform: parse_platform(root),
        peer_secret: Secret::new(""),
        operator_key: Secret::new(""),
        log_format: log.as_ref().map_or(LogFormat::Json, parse_format),
        log_level: log.as_ref().map_or(LogLevel::Info, parse_level),
    };
    let path = |key| {
        secrets
            .as_ref()
            .map_or_else(PathBuf::new, |t| t.text(key).into())
    };
    let paths = SecretPaths {
        peer: path("peer"),
        operator: path("operator"),
    };
    (settings, paths)
}

fn parse_listen(root: &Table<'_>, key: &str) -> Listen {
    let table = root.table(key);
    let address = |field: &str| {
        let unset = SocketAddr::from(([0, 0, 0, 0], 0));
        let Some(table) = &table else {
            return unset;
        };
        let text = table.text(field);
        let parsed = text.parse();
        if parsed.is_err() && !text.is_empty() {
            let expected = "expected an IP address and port, such as 10.0.0.1:7000";
            table.report(field, expected);
        }
        parsed.unwrap_or(unset)
    };
    Listen {
        http: address("http"),
        peer: address("peer"),
    }
}

fn parse_platform(root: &Table<'_>) -> Platform {
    let table = root.table("platform");
    let url = |field: &str| {
        let Some(table) = &table else {
            return String::new();
        };
        let text = table.text(field);
        let is_url = text
            .parse::<http::Uri>()
            .is_ok_and(|uri| uri.host().is_some());
        if !is_url && !text.is_empty() {
            table.report(field, "expected a URL, such as http://10.0.0.9:9000/log");
        }
        text
    };
    Platform {
        log: url("log"),
        instances: url("instances"),
        servers: url("servers"),
        usage: url("usage"),
        weights: url("weights"),
    }
}

fn parse_format(log: &Table<'_>) -> LogFormat {
    let choices = [("text", LogFormat::Text), ("json", LogFormat::Json)];
    log.choice_or("format", LogFormat::Json, &choices)
}

fn parse_level(log: &Table<'_>) -> LogLevel {
    let choices = [
        ("error", LogLevel::Error),
        ("warn", LogLevel::Warn),
        ("info", LogLevel::Info),
        ("debug", LogLevel::Debug),
    ];
    log.choice_or("level", LogLevel::Info, &choices)
}
