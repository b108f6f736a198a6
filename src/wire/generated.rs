#[doc = "An entry that callers may use."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct Address {
    pub incarnation: ::std::string::String,
    pub url: ::std::string::String,
    pub zone: ::std::string::String,
}
#[doc = "Answer to GET /v1/addresses."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct Addresses {
    pub addresses: ::std::vec::Vec<Address>,
    #[doc = "Unix time in milliseconds until which the answer holds."]
    pub until_ms: u64,
}
#[doc = "The log's answer to an append."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct Appended {
    pub offset: u64,
}
#[doc = "One backend server as the backend server interface lists it."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct BackendServer {
    pub address: ::std::string::String,
    pub id: ::std::string::String,
    #[doc = "Unix time in milliseconds when the server is reclaimed."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub notice_ms: ::std::option::Option<u64>,
    pub pool: ::std::string::String,
    pub price: Price,
    pub state: ServerState,
    pub zone: ::std::string::String,
}
#[doc = "The part of a digest that changes all the time."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct Beat {
    pub age: u64,
    pub fresh: bool,
    #[doc = "Hash of the incarnation."]
    pub id: u64,
    pub next: u64,
    pub seq: u64,
}
#[doc = "Judged requests of a time range, with the histogram of their first answers in milliseconds."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct BurnCounts {
    pub failed: u64,
    #[doc = "Base64 of an HdrHistogram V2; empty without answers."]
    pub first: ::std::string::String,
    pub refused: u64,
    pub slow: u64,
    pub total: u64,
}
#[doc = "One tenant's requests of one route or model, over the short and the long range."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct BurnLine {
    pub long: BurnCounts,
    pub route: ::std::string::String,
    pub short: BurnCounts,
    pub tenant: ::std::string::String,
}
#[doc = "Burn over one range: how fast the error budget goes, 1 being as fast as allowed."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct BurnRange {
    pub failed: u64,
    pub p50_ms: u64,
    pub p99_ms: u64,
    pub rate: f64,
    pub refused: u64,
    pub slow: u64,
    pub total: u64,
}
#[doc = "One entry's judged requests."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct BurnReport {
    pub lines: ::std::vec::Vec<BurnLine>,
}
#[doc = "One tenant's burn of one route or model, over all entries that answered."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct BurnRow {
    pub long: BurnRange,
    pub route: ::std::string::String,
    pub short: BurnRange,
    pub tenant: ::std::string::String,
}
#[doc = "Answer of the operators' burn call; `worst` is the tenant that burns fastest over both ranges."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct BurnStatus {
    #[doc = "Entries that answered."]
    pub answered: u32,
    #[doc = "Entries that are alive."]
    pub known: u32,
    pub rows: ::std::vec::Vec<BurnRow>,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub worst: ::std::option::Option<::std::string::String>,
}
#[doc = "What a configuration record says."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(tag = "kind")]
pub enum ConfigBody {
    #[doc = "manifest\n\nA manifest that replaces revision `base`."]
    #[serde(rename = "manifest")]
    Manifest {
        base: u64,
        text: ::std::string::String,
    },
    #[doc = "key_grant\n\nGrants a key, named by its SHA-256 digest in hex, to a tenant."]
    #[serde(rename = "key_grant")]
    KeyGrant {
        digest: ::std::string::String,
        label: ::std::string::String,
        tenant: ::std::string::String,
    },
    #[doc = "key_withdraw\n\nWithdraws a key for good."]
    #[serde(rename = "key_withdraw")]
    KeyWithdraw { digest: ::std::string::String },
    #[doc = "round_create\n\nCreates a rollout round."]
    #[serde(rename = "round_create")]
    RoundCreate { round: RoundSpec },
    #[doc = "round_cancel\n\nCancels a rollout round for good."]
    #[serde(rename = "round_cancel")]
    RoundCancel { name: ::std::string::String },
    #[doc = "snapshot\n\nThe folded state of all records before offset `upto`."]
    #[serde(rename = "snapshot")]
    Snapshot { state: ConfigSnapshot, upto: u64 },
    #[doc = "server_mark\n\nMarks a backend server as leaving, or takes the mark away."]
    #[serde(rename = "server_mark")]
    ServerMark {
        leaving: bool,
        server: ::std::string::String,
    },
}
#[doc = "One record of the configuration stream."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct ConfigRecord {
    pub body: ConfigBody,
    #[doc = "Random id; a repeated append carries the same id."]
    pub id: ::std::string::String,
}
#[doc = "The folded configuration state."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct ConfigSnapshot {
    pub keys: ::std::vec::Vec<KeyEntry>,
    #[doc = "Servers that are marked as leaving."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub leaving: ::std::vec::Vec<::std::string::String>,
    pub manifest: ::std::string::String,
    #[doc = "Verdicts of the last records, so that repeats stay without effect and are answered."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub recent: ::std::vec::Vec<KnownVerdict>,
    pub revision: u64,
    pub rounds: ::std::vec::Vec<RoundEntry>,
}
#[doc = "A request that ran on a backend server when it crashed."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct Crash {
    pub age_ms: u64,
    pub fingerprint: ::std::string::String,
    pub server: ::std::string::String,
    pub stage: CrashStage,
}
#[doc = "A crash that was seen, seen with no other suspect there, or a suspect's run under way."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum CrashStage {
    #[serde(rename = "seen")]
    Seen,
    #[serde(rename = "alone")]
    Alone,
    #[serde(rename = "trial")]
    Trial,
    #[serde(rename = "trial-alone")]
    TrialAlone,
}
impl ::std::fmt::Display for CrashStage {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Seen => f.write_str("seen"),
            Self::Alone => f.write_str("alone"),
            Self::Trial => f.write_str("trial"),
            Self::TrialAlone => f.write_str("trial-alone"),
        }
    }
}
impl ::std::str::FromStr for CrashStage {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "seen" => Ok(Self::Seen),
            "alone" => Ok(Self::Alone),
            "trial" => Ok(Self::Trial),
            "trial-alone" => Ok(Self::TrialAlone),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for CrashStage {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for CrashStage {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "Which daemon a peer is."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum Daemon {
    #[serde(rename = "entry")]
    Entry,
    #[serde(rename = "control")]
    Control,
}
impl ::std::fmt::Display for Daemon {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Entry => f.write_str("entry"),
            Self::Control => f.write_str("control"),
        }
    }
}
impl ::std::str::FromStr for Daemon {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "entry" => Ok(Self::Entry),
            "control" => Ok(Self::Control),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Daemon {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Daemon {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "What one daemon tells its peers about itself; passed on by peers. A higher `seq` replaces a lower one."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct Digest {
    #[doc = "Time since `seq` was counted up, added up along the way."]
    pub age_ms: u64,
    #[doc = "Offset of the configuration stream up to which the sender has folded."]
    pub config_next: u64,
    #[doc = "The `seq` of the last change of what no beat carries."]
    pub content: u64,
    pub crashes: ::std::vec::Vec<Crash>,
    pub daemon: Daemon,
    pub demand: ::std::vec::Vec<TenantDemand>,
    #[doc = "Digests of keys that are withdrawn, though the log does not show it yet."]
    pub denied: ::std::vec::Vec<::std::string::String>,
    #[doc = "Whether the sender could show that its configuration is up to date."]
    pub fresh: bool,
    pub incarnation: ::std::string::String,
    pub instance: ::std::string::String,
    pub leases: ::std::vec::Vec<LeaseHeld>,
    pub leaving: bool,
    pub loads: ::std::vec::Vec<ServerLoad>,
    #[doc = "SHA-256 of the manifest in force, in hex."]
    pub manifest: ::std::string::String,
    #[doc = "Address of the sender's peers' link."]
    pub peer: ::std::string::String,
    pub revision: u64,
    pub seq: u64,
    pub url: ::std::string::String,
    pub zone: ::std::string::String,
}
#[doc = "One server-sent event of an engine's answer."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct EngineChunk {
    #[doc = "Prompt tokens found in the prefix cache."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub cached: ::std::option::Option<u32>,
    pub done: bool,
    pub id: ::std::string::String,
    #[doc = "Position of the first token in the whole answer."]
    pub index: u32,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub prompt_tokens: ::std::option::Option<u32>,
    pub tokens: ::std::vec::Vec<::std::string::String>,
    #[doc = "Weight version that made these tokens."]
    pub version: u64,
}
#[doc = "A model engine's lagged load report."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct EngineLoad {
    #[doc = "Version whose last load failed, if it did."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub failed: ::std::option::Option<u64>,
    #[doc = "Version that is being loaded, if any."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub loading: ::std::option::Option<u64>,
    #[doc = "Empty when no weights are usable."]
    pub model: ::std::string::String,
    pub queued_tokens: u64,
    pub running: u32,
    pub version: u64,
    pub waiting: u32,
}
#[doc = "An order to load a weight version on a model engine."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct EngineOrder {
    pub fence: u64,
    pub model: ::std::string::String,
    pub version: u64,
}
#[doc = "A generation request to a model engine."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct EngineRequest {
    #[doc = "Request id, which every chunk of the answer echoes."]
    pub id: ::std::string::String,
    pub max_tokens: u32,
    pub model: ::std::string::String,
    #[doc = "Lower runs first: 0 live, 10 rollout."]
    pub priority: u32,
    pub prompt: ::std::string::String,
    #[doc = "Tokens that were generated already, when a stream is resumed."]
    pub resume: ::std::vec::Vec<::std::string::String>,
    #[doc = "Seed of this sample."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub seed: ::std::option::Option<u64>,
    #[doc = "Oldest weight version that may make these tokens, when any."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub version: ::std::option::Option<u64>,
}
#[doc = "One fault in a text, with its place (both counted from 1)."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct Finding {
    pub column: u32,
    pub field: ::std::string::String,
    pub line: u32,
    pub message: ::std::string::String,
}
#[doc = "An HTTP header."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct Header {
    pub name: ::std::string::String,
    #[doc = "Base64 of the value."]
    pub value: ::std::string::String,
}
#[doc = "One instance of the platform's instance list."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct Instance {
    pub control: ::std::string::String,
    pub control_peer: ::std::string::String,
    pub entry: ::std::string::String,
    pub entry_peer: ::std::string::String,
    pub id: ::std::string::String,
    pub region: ::std::string::String,
    pub state: InstanceState,
    pub zone: ::std::string::String,
}
#[doc = "Whether an instance stays."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum InstanceState {
    #[serde(rename = "live")]
    Live,
    #[serde(rename = "leaving")]
    Leaving,
}
impl ::std::fmt::Display for InstanceState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Live => f.write_str("live"),
            Self::Leaving => f.write_str("leaving"),
        }
    }
}
impl ::std::str::FromStr for InstanceState {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "live" => Ok(Self::Live),
            "leaving" => Ok(Self::Leaving),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for InstanceState {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for InstanceState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "One daemon's state, as its last digest tells it."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct InstanceStatus {
    pub config_next: u64,
    pub daemon: Daemon,
    pub fresh: bool,
    pub instance: ::std::string::String,
    pub leases: ::std::vec::Vec<LeaseHeld>,
    pub leaving: bool,
    pub manifest: ::std::string::String,
    pub revision: u64,
    pub url: ::std::string::String,
    pub zone: ::std::string::String,
}
#[doc = "One key, by digest. A withdrawn key stays listed, so that no late grant revives it."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct KeyEntry {
    pub digest: ::std::string::String,
    pub label: ::std::string::String,
    pub tenant: ::std::string::String,
    pub withdrawn: bool,
}
#[doc = "The verdict on a record."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct KnownVerdict {
    pub id: ::std::string::String,
    pub verdict: Verdict,
}
#[doc = "What a lease record says."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(tag = "kind")]
pub enum LeaseBody {
    #[doc = "claim\n\nClaims a lease; `succeeds` is the offset of the role's last record that counted (none for the first)."]
    #[serde(rename = "claim")]
    Claim {
        holder: ::std::string::String,
        role: Role,
        #[serde(skip_serializing_if = "::std::option::Option::is_none")]
        succeeds: ::std::option::Option<u64>,
    },
    #[doc = "renew\n\nRenews the claim at offset `claim`."]
    #[serde(rename = "renew")]
    Renew { claim: u64, role: Role },
    #[doc = "release\n\nGives up the claim at offset `claim`."]
    #[serde(rename = "release")]
    Release { claim: u64, role: Role },
    #[doc = "snapshot\n\nThe folded leases of all records before offset `upto`."]
    #[serde(rename = "snapshot")]
    Snapshot {
        leases: ::std::vec::Vec<LeaseEntry>,
        upto: u64,
    },
}
#[doc = "One role's lease; `last` is the offset of the last record that counted."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct LeaseEntry {
    pub claim: u64,
    pub holder: ::std::string::String,
    pub last: u64,
    pub released: bool,
    pub role: Role,
}
#[doc = "A lease as its holder sees it."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct LeaseHeld {
    pub claim: u64,
    pub role: Role,
}
#[doc = "One record of the lease stream."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct LeaseRecord {
    pub body: LeaseBody,
    pub id: ::std::string::String,
}
#[doc = "A record with its offset."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct LogEntry {
    #[doc = "The record as JSON text."]
    pub data: ::std::string::String,
    pub offset: u64,
}
#[doc = "A page of a log stream."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct LogPage {
    #[doc = "Offset of the oldest record kept."]
    pub first: u64,
    #[doc = "Offset that the next append will get."]
    pub next: u64,
    pub records: ::std::vec::Vec<LogEntry>,
}
#[doc = "The one answer to a request bound to one executor."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct OnceAnswer {
    #[doc = "Base64 of the body."]
    pub body: ::std::string::String,
    pub headers: ::std::vec::Vec<Header>,
    pub status: u16,
}
#[doc = "A request bound to one executor."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct OnceRequest {
    #[doc = "Base64 of the body."]
    pub body: ::std::string::String,
    pub headers: ::std::vec::Vec<Header>,
    #[doc = "Digest of the caller's key; none on open routes."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub key: ::std::option::Option<::std::string::String>,
    pub method: ::std::string::String,
    pub path: ::std::string::String,
    pub tenant: ::std::string::String,
}
#[doc = "An order for backend servers. `fence` is the lease's claim offset."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct Order {
    pub action: OrderAction,
    pub fence: u64,
    pub id: ::std::string::String,
}
#[doc = "What an order asks for."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(tag = "kind")]
pub enum OrderAction {
    #[doc = "start\n\nStart one backend server."]
    #[serde(rename = "start")]
    Start {
        pool: ::std::string::String,
        price: Price,
        zone: ::std::string::String,
    },
    #[doc = "stop\n\nStop one backend server."]
    #[serde(rename = "stop")]
    Stop { server: ::std::string::String },
}
#[doc = "What an order record says."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(tag = "kind")]
pub enum OrderBody {
    #[doc = "intent\n\nAn order that the holder of the claim at offset `claim` is about to send."]
    #[serde(rename = "intent")]
    Intent { claim: u64, order: Order },
    #[doc = "outcome\n\nWhat the platform says became of an order."]
    #[serde(rename = "outcome")]
    Outcome {
        order: ::std::string::String,
        outcome: OrderOutcome,
        #[doc = "The server that the order was about."]
        #[serde(skip_serializing_if = "::std::option::Option::is_none")]
        server: ::std::option::Option<::std::string::String>,
    },
}
#[doc = "The end of an order."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum OrderOutcome {
    #[serde(rename = "applied")]
    Applied,
    #[serde(rename = "refused")]
    Refused,
    #[serde(rename = "abandoned")]
    Abandoned,
}
impl ::std::fmt::Display for OrderOutcome {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Applied => f.write_str("applied"),
            Self::Refused => f.write_str("refused"),
            Self::Abandoned => f.write_str("abandoned"),
        }
    }
}
impl ::std::str::FromStr for OrderOutcome {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "applied" => Ok(Self::Applied),
            "refused" => Ok(Self::Refused),
            "abandoned" => Ok(Self::Abandoned),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for OrderOutcome {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for OrderOutcome {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "One record of the order stream."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct OrderRecord {
    pub body: OrderBody,
    pub id: ::std::string::String,
}
#[doc = "What became of an order at the platform."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct OrderResult {
    pub order: ::std::string::String,
    pub outcome: OrderOutcome,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub server: ::std::option::Option<::std::string::String>,
}
#[doc = "A message between daemons."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(tag = "kind")]
pub enum PeerMessage {
    #[doc = "hello\n\nFirst message of a link."]
    #[serde(rename = "hello")]
    Hello {
        daemon: Daemon,
        incarnation: ::std::string::String,
        instance: ::std::string::String,
    },
    #[doc = "digests\n\nDigests and beats that the receiver lacks, and what the sender knows of the log's head."]
    #[serde(rename = "digests")]
    Digests {
        beats: ::std::vec::Vec<Beat>,
        digests: ::std::vec::Vec<Digest>,
        #[doc = "The last stamp that came from the receiver."]
        #[serde(skip_serializing_if = "::std::option::Option::is_none")]
        echo: ::std::option::Option<u64>,
        #[doc = "Time since `next` was the log's head or past it."]
        #[serde(skip_serializing_if = "::std::option::Option::is_none")]
        head_age_ms: ::std::option::Option<u64>,
        #[doc = "Time since that stamp came."]
        held_ms: u64,
        #[doc = "Offset up to which the sender has folded."]
        next: u64,
        #[doc = "The sender's clock in milliseconds."]
        stamp: u64,
    },
    #[doc = "once_ask\n\nAsks the incarnation that owns an idempotency key for its answer."]
    #[serde(rename = "once_ask")]
    OnceAsk {
        call: u64,
        key: ::std::string::String,
        request: OnceRequest,
    },
    #[doc = "once_answer\n\nAnswer to once_ask."]
    #[serde(rename = "once_answer")]
    OnceAnswer { answer: OnceAnswer, call: u64 },
    #[doc = "usage_copy\n\nCopy of an entry's cumulative counters."]
    #[serde(rename = "usage_copy")]
    UsageCopy {
        counts: ::std::vec::Vec<UsageCount>,
        from: u64,
        incarnation: ::std::string::String,
        open: ::std::vec::Vec<UsageOpen>,
        seq: u64,
    },
    #[serde(rename = "state_ask")]
    StateAsk,
    #[doc = "state\n\nThe folded configuration of all records before offset `upto`."]
    #[serde(rename = "state")]
    State { state: ConfigSnapshot, upto: u64 },
}
#[doc = "Regular backend servers stay; cheap ones can be reclaimed."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum Price {
    #[serde(rename = "regular")]
    Regular,
    #[serde(rename = "cheap")]
    Cheap,
}
impl ::std::fmt::Display for Price {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Regular => f.write_str("regular"),
            Self::Cheap => f.write_str("cheap"),
        }
    }
}
impl ::std::str::FromStr for Price {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "regular" => Ok(Self::Regular),
            "cheap" => Ok(Self::Cheap),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Price {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Price {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "An application/problem+json answer."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct Problem {
    pub detail: ::std::string::String,
    pub run: Run,
    pub status: u16,
    pub title: ::std::string::String,
    #[serde(rename = "type")]
    pub type_: ::std::string::String,
}
#[doc = "Answer of the operators' interface to a record."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct Published {
    pub holding: u32,
    pub listed: u32,
    pub verdict: Verdict,
}
#[doc = "A trainer asks for samples, stating its present weight version."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct Pull {
    pub max: u32,
    #[doc = "1 for the first pull. A repeat carries the same number; the next number acknowledges the last batch."]
    pub seq: u64,
    pub version: u64,
    pub wait_ms: u64,
}
#[doc = "Answer to a pull."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct Pulled {
    pub missing: u32,
    pub samples: ::std::vec::Vec<Sample>,
    pub seq: u64,
}
#[doc = "What a lease is held for."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum Role {
    #[serde(rename = "servers")]
    Servers,
    #[serde(rename = "usage")]
    Usage,
    #[serde(rename = "weights")]
    Weights,
}
impl ::std::fmt::Display for Role {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Servers => f.write_str("servers"),
            Self::Usage => f.write_str("usage"),
            Self::Weights => f.write_str("weights"),
        }
    }
}
impl ::std::str::FromStr for Role {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "servers" => Ok(Self::Servers),
            "usage" => Ok(Self::Usage),
            "weights" => Ok(Self::Weights),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Role {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Role {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "A round and whether it was cancelled."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct RoundEntry {
    pub cancelled: bool,
    pub spec: RoundSpec,
}
#[doc = "A rollout round: `groups` prompts, each sampled `samples` times."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct RoundSpec {
    #[doc = "Unix time in milliseconds after which no sample is started."]
    pub deadline_ms: u64,
    pub groups: u32,
    pub max_tokens: u32,
    pub model: ::std::string::String,
    pub name: ::std::string::String,
    #[doc = "Prompt of each group; the last one repeats when there are fewer than groups."]
    pub prompts: ::std::vec::Vec<::std::string::String>,
    pub samples: u32,
    #[doc = "Largest allowed distance between the trainer's version and a sample's oldest version."]
    pub staleness: u64,
    pub tenant: ::std::string::String,
}
#[doc = "Whether a refused request ran."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum Run {
    #[serde(rename = "not-run")]
    NotRun,
    #[serde(rename = "unknown")]
    Unknown,
    #[serde(rename = "ran")]
    Ran,
}
impl ::std::fmt::Display for Run {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::NotRun => f.write_str("not-run"),
            Self::Unknown => f.write_str("unknown"),
            Self::Ran => f.write_str("ran"),
        }
    }
}
impl ::std::str::FromStr for Run {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "not-run" => Ok(Self::NotRun),
            "unknown" => Ok(Self::Unknown),
            "ran" => Ok(Self::Ran),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Run {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Run {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "A whole sample with the weight versions that made it."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct Sample {
    #[doc = "Request id that the engines echoed."]
    pub id: ::std::string::String,
    pub segments: ::std::vec::Vec<Segment>,
    pub slot: Slot,
    pub text: ::std::string::String,
}
#[doc = "A whole or partial sample; a partial one can be resumed."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct SampleAnswer {
    pub done: bool,
    pub segments: ::std::vec::Vec<Segment>,
    pub server: ::std::string::String,
    pub tokens: ::std::vec::Vec<::std::string::String>,
    #[doc = "Milliseconds from the first token of this part to its end."]
    pub took_ms: u64,
}
#[doc = "A control daemon asks an entry for one sample."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct SampleRequest {
    pub avoid: ::std::vec::Vec<::std::string::String>,
    pub deadline_ms: u64,
    #[doc = "Request id, the same for all parts of one sample."]
    pub id: ::std::string::String,
    pub max_tokens: u32,
    pub model: ::std::string::String,
    pub prompt: ::std::string::String,
    pub resume: ::std::vec::Vec<::std::string::String>,
    pub seed: u64,
    pub segments: ::std::vec::Vec<Segment>,
    #[doc = "Milliseconds from the first token after which a partial answer is wanted; 0 for never."]
    pub slice_ms: u64,
    pub tenant: ::std::string::String,
    #[doc = "Whether it goes before other rollout work."]
    pub urgent: bool,
    #[doc = "Oldest weight version that may make it, when any."]
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub version: ::std::option::Option<u64>,
}
#[doc = "A run of tokens that one weight version made."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct Segment {
    pub tokens: u32,
    pub version: u64,
}
#[doc = "Answer of the backend server interface: servers and the orders that took effect."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct ServerList {
    pub orders: ::std::vec::Vec<OrderResult>,
    pub servers: ::std::vec::Vec<BackendServer>,
}
#[doc = "One sender's work on a backend server."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct ServerLoad {
    pub inflight: u32,
    pub server: ::std::string::String,
    pub suspect: bool,
}
#[doc = "State of a backend server."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum ServerState {
    #[serde(rename = "starting")]
    Starting,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "leaving")]
    Leaving,
}
impl ::std::fmt::Display for ServerState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Starting => f.write_str("starting"),
            Self::Running => f.write_str("running"),
            Self::Leaving => f.write_str("leaving"),
        }
    }
}
impl ::std::str::FromStr for ServerState {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "starting" => Ok(Self::Starting),
            "running" => Ok(Self::Running),
            "leaving" => Ok(Self::Leaving),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for ServerState {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ServerState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "One backend server's state."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct ServerStatus {
    pub id: ::std::string::String,
    pub pool: ::std::string::String,
    pub price: Price,
    pub state: ServerState,
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub version: ::std::option::Option<u64>,
    pub zone: ::std::string::String,
}
#[doc = "A trainer opens a session for a round and states what it holds."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct SessionOpen {
    pub held: ::std::vec::Vec<Slot>,
    pub round: ::std::string::String,
}
#[doc = "Answer to SessionOpen."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct SessionOpened {
    pub missing: u32,
    pub session: ::std::string::String,
}
#[doc = "Place of a sample in a round."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct Slot {
    pub group: u32,
    pub index: u32,
}
#[doc = "Answer of the operators' status call."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct Status {
    pub daemons: ::std::vec::Vec<InstanceStatus>,
    pub keys: ::std::vec::Vec<KeyEntry>,
    pub listed: u32,
    pub manifest: ::std::string::String,
    pub revision: u64,
    pub rounds: ::std::vec::Vec<RoundEntry>,
    pub servers: ::std::vec::Vec<ServerStatus>,
}
#[doc = "One sender's observed demand of a tenant, tokens a second."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct TenantDemand {
    pub tenant: ::std::string::String,
    pub tokens: u64,
}
#[doc = "What a usage record says."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(tag = "kind")]
pub enum UsageBody {
    #[doc = "counters\n\nCumulative counters of one incarnation."]
    #[serde(rename = "counters")]
    Counters {
        counts: ::std::vec::Vec<UsageCount>,
        #[doc = "The log holds the last counts of this incarnation for all windows before this one."]
        from: u64,
        incarnation: ::std::string::String,
        #[doc = "Requests not yet counted, in place of earlier ones."]
        open: ::std::vec::Vec<UsageOpen>,
        #[doc = "Counts the incarnation's records."]
        seq: u64,
    },
    #[doc = "snapshot\n\nThe fold of all records before offset `upto`."]
    #[serde(rename = "snapshot")]
    Snapshot { state: UsageSnapshot, upto: u64 },
    #[doc = "close\n\nCloses a window. The first one in log order counts; its offset is the cut."]
    #[serde(rename = "close")]
    Close { window: u64 },
    #[doc = "reported\n\nThe usage interface confirmed the report of a window."]
    #[serde(rename = "reported")]
    Reported { window: u64 },
}
#[doc = "A cumulative count of one incarnation for a window, tenant and unit."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct UsageCount {
    pub amount: u64,
    pub tenant: ::std::string::String,
    pub unit: UsageUnit,
    #[doc = "Start of the window in Unix seconds, a multiple of the window's length."]
    pub window: u64,
}
#[doc = "What the fold keeps of one incarnation."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct UsageIncarnation {
    pub counts: ::std::vec::Vec<UsageCount>,
    pub from: u64,
    pub incarnation: ::std::string::String,
    #[doc = "The latest window counted in."]
    pub last: u64,
    pub open: ::std::vec::Vec<UsageOpen>,
    pub seq: u64,
    #[doc = "Offset of its last record."]
    pub touched: u64,
}
#[doc = "One tenant's figure. `late` holds what earlier windows missed."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct UsageLine {
    pub amount: u64,
    pub late: u64,
    pub tenant: ::std::string::String,
    pub unit: UsageUnit,
}
#[doc = "Requests of a tenant that run and are not yet counted, with the most tokens they may make."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct UsageOpen {
    pub requests: u64,
    pub tenant: ::std::string::String,
    pub tokens: u64,
}
#[doc = "One record of the usage stream."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct UsageRecord {
    pub body: UsageBody,
    pub id: ::std::string::String,
}
#[doc = "The report of one closed window."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct UsageReport {
    pub lines: ::std::vec::Vec<UsageLine>,
    pub window: u64,
}
#[doc = "The state of the usage fold."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct UsageSnapshot {
    #[doc = "The windows closed last, oldest first."]
    pub closings: ::std::vec::Vec<u64>,
    #[doc = "Too late to be charged."]
    pub expired: ::std::vec::Vec<UsageLine>,
    pub incarnations: ::std::vec::Vec<UsageIncarnation>,
    #[doc = "For the window closed next."]
    pub late: ::std::vec::Vec<UsageLine>,
    #[doc = "Closed windows."]
    pub unreported: ::std::vec::Vec<UsageReport>,
    #[doc = "Figures of open windows."]
    pub windows: ::std::vec::Vec<UsageReport>,
}
#[doc = "Answer of the operators' usage call."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct UsageStatus {
    #[doc = "Too late to be charged."]
    pub expired: ::std::vec::Vec<UsageLine>,
    #[doc = "For the window closed next."]
    pub late: ::std::vec::Vec<UsageLine>,
    #[doc = "Offset up to which the log is folded."]
    pub next: u64,
    pub uncertain: ::std::vec::Vec<UsageUncertain>,
    pub windows: ::std::vec::Vec<UsageWindow>,
}
#[doc = "Requests that an incarnation last said to run, and has not counted since."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct UsageUncertain {
    pub incarnation: ::std::string::String,
    pub requests: u64,
    pub tenant: ::std::string::String,
    pub tokens: u64,
}
#[doc = "What is counted."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum UsageUnit {
    #[serde(rename = "requests")]
    Requests,
    #[serde(rename = "tokens_in")]
    TokensIn,
    #[serde(rename = "tokens_out")]
    TokensOut,
}
impl ::std::fmt::Display for UsageUnit {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Requests => f.write_str("requests"),
            Self::TokensIn => f.write_str("tokens_in"),
            Self::TokensOut => f.write_str("tokens_out"),
        }
    }
}
impl ::std::str::FromStr for UsageUnit {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "requests" => Ok(Self::Requests),
            "tokens_in" => Ok(Self::TokensIn),
            "tokens_out" => Ok(Self::TokensOut),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for UsageUnit {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for UsageUnit {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "One usage window as operators see it."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
pub struct UsageWindow {
    pub lines: ::std::vec::Vec<UsageLine>,
    pub state: UsageWindowState,
    pub window: u64,
}
#[doc = "State of a usage window."]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum UsageWindowState {
    #[serde(rename = "open")]
    Open,
    #[serde(rename = "closed")]
    Closed,
    #[serde(rename = "reported")]
    Reported,
}
impl ::std::fmt::Display for UsageWindowState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Open => f.write_str("open"),
            Self::Closed => f.write_str("closed"),
            Self::Reported => f.write_str("reported"),
        }
    }
}
impl ::std::str::FromStr for UsageWindowState {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "open" => Ok(Self::Open),
            "closed" => Ok(Self::Closed),
            "reported" => Ok(Self::Reported),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for UsageWindowState {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for UsageWindowState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "What the fold made of a configuration record."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(tag = "kind")]
pub enum Verdict {
    #[doc = "accepted\n\nThe record took effect; `revision` is in force for manifests."]
    #[serde(rename = "accepted")]
    Accepted { offset: u64, revision: u64 },
    #[doc = "conflict\n\nThe manifest's base is not the revision in force."]
    #[serde(rename = "conflict")]
    Conflict { base: u64, revision: u64 },
    #[doc = "invalid\n\nThe record does not validate."]
    #[serde(rename = "invalid")]
    Invalid { findings: ::std::vec::Vec<Finding> },
    #[doc = "ignored\n\nThe record changes nothing."]
    #[serde(rename = "ignored")]
    Ignored { reason: ::std::string::String },
}
#[doc = "Messages at the borders of basillead. The Rust types in src/wire/generated.rs come from this file."]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(transparent)]
pub struct Wire(pub ::serde_json::Value);
impl ::std::ops::Deref for Wire {
    type Target = ::serde_json::Value;
    fn deref(&self) -> &::serde_json::Value {
        &self.0
    }
}
impl ::std::convert::From<Wire> for ::serde_json::Value {
    fn from(value: Wire) -> Self {
        value.0
    }
}
impl ::std::convert::From<::serde_json::Value> for Wire {
    fn from(value: ::serde_json::Value) -> Self {
        Self(value)
    }
}
#[doc = " Error types."]
pub mod error {
    #[doc = r" Error from a `TryFrom` or `FromStr` implementation."]
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
