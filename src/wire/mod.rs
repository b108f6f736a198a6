//! Typed messages at the borders of the processes.
//!
//! The types come from `schema/wire.json` by `schema/generate.sh`. JSON carries them to
//! callers, operators and the platform; CBOR carries them between daemons.

#[expect(clippy::pedantic, missing_docs, reason = "generated code")]
mod generated;

pub use generated::{
    Address, Addresses, Appended, BackendServer, Beat, BurnCounts, BurnLine, BurnRange, BurnReport,
    BurnRow, BurnStatus, ConfigBody, ConfigRecord, ConfigSnapshot, Crash, CrashStage, Daemon,
    Digest, EngineChunk, EngineLoad, EngineOrder, EngineRequest, Finding, Header, Instance,
    InstanceState, InstanceStatus, KeyEntry, KnownVerdict, LeaseBody, LeaseEntry, LeaseHeld,
    LeaseRecord, LogEntry, LogPage, OnceAnswer, OnceRequest, Order, OrderAction, OrderBody,
    OrderOutcome, OrderRecord, OrderResult, PeerMessage, Price, Problem, Published, Pull, Pulled,
    Role, RoundEntry, RoundSpec, Run, Sample, SampleAnswer, SampleRequest, Segment, ServerList,
    ServerLoad, ServerState, ServerStatus, SessionOpen, SessionOpened, Slot, Status, TenantDemand,
    UsageBody, UsageCount, UsageIncarnation, UsageLine, UsageOpen, UsageRecord, UsageReport,
    UsageSnapshot, UsageStatus, UsageUncertain, UsageUnit, UsageWindow, UsageWindowState, Verdict,
};
