//! Types of the messages that processes exchange.
//!
//! `schema/generate.sh` generates the types from `schema/wire.json`. Messages to and from
//! callers, operators and the platform are encoded as JSON, those between daemons as CBOR.

#[expect(clippy::pedantic, missing_docs, reason = "generated code")]
mod generated;

pub use generated::{
    Address, Addresses, Appended, BackendServer, Beat, BeatColumns, BurnCounts, BurnLine,
    BurnRange, BurnReport, BurnRow, BurnStatus, ConfigBody, ConfigRecord, ConfigSnapshot, Crash,
    CrashStage, Daemon, Digest, EngineChunk, EngineLoad, EngineOrder, EngineRequest, Finding,
    Header, Instance, InstanceState, InstanceStatus, KeyEntry, KnownVerdict, LeaseBody, LeaseEntry,
    LeaseHeld, LeaseRecord, LogEntry, LogPage, OnceAnswer, OnceRequest, Order, OrderAction,
    OrderBody, OrderOutcome, OrderRecord, OrderResult, PeerMessage, Price, Problem, Published,
    Pull, Pulled, Role, RoundEntry, RoundSpec, Run, Sample, SampleAnswer, SampleRequest, Segment,
    ServerList, ServerLoad, ServerState, ServerStatus, SessionOpen, SessionOpened, Slot, Status,
    TenantDemand, UsageBody, UsageCount, UsageIncarnation, UsageLine, UsageOpen, UsageRecord,
    UsageReport, UsageSnapshot, UsageStatus, UsageUncertain, UsageUnit, UsageWindow,
    UsageWindowState, Verdict,
};
