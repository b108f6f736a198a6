//! A rollout service for reinforcement learning.
//!
//! Trainers get rollout rounds, and tenants' callers get answers to live requests, both from
//! shared model engines and plain services. The library holds all logic; the daemons in
//! `src/bin` read their settings and call it.
//!
//! | module | purpose |
//! | --- | --- |
//! | [`settings`], [`manifest`], [`checked`] | operators' configuration files and their checks |
//! | [`burn_rate`] | error-budget burn rate, merged over entries |
//! | [`edge`] | traits for the platform's interfaces, and their HTTP clients |
//! | [`lease`] | claiming, renewing and using leases |
//! | [`drain`] | graceful shutdown |
//! | [`log`] | state that each daemon derives from the log's streams |
//! | [`entry`] | the entry daemon, which serves callers |
//! | [`control`] | the control daemon, which serves operators and manages backend servers |
//! | [`peer`] | membership, digests and links between daemons |
//! | [`wire`] | types of the messages between processes |
//! | [`http`] | HTTP client, server and refusals |
//! | [`instance`] | the single-process instance, for a platform with conditional log appends |
//! | [`gateway`], [`relay`] | the instance's HTTP interface, and its calls to backend servers |
//! | [`ledger`], [`job`] | the instance's log: records, state, leases and rollout jobs |
//! | [`scheduler`], [`duty`] | scheduling of samples and weight loads, and duties of lease holders |
//! | [`boot`] | a clock that keeps running while the machine is suspended |

pub mod boot;
pub mod burn_rate;
pub mod checked;
pub mod cmd;
pub mod control;
pub mod drain;
pub mod duty;
pub mod edge;
pub mod entry;
pub mod failpoint;
pub mod gateway;
pub mod http;
pub mod instance;
pub mod job;
pub mod lease;
pub mod ledger;
pub mod log;
pub mod manifest;
pub mod names;
pub mod peer;
pub mod rank;
pub mod relay;
pub mod scheduler;
pub mod settings;
#[cfg(feature = "standin")]
pub mod standin;
pub mod telemetry;
pub mod util;
pub mod wire;
