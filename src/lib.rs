//! A rollout service for reinforcement learning.
//!
//! Trainers get rollout rounds, and callers of tenants get live answers from shared model
//! engines and plain services. The library holds all logic; the daemons in `src/bin` read
//! their settings and call it.
//!
//! | module | job |
//! | --- | --- |
//! | [`settings`], [`manifest`], [`checked`] | what operators write, and how it is checked |
//! | [`burn`] | service-level burn, merged over entries |
//! | [`edge`] | traits for the outside systems, and their HTTP clients |
//! | [`lease`] | when a lease may be claimed and used |
//! | [`drain`] | graceful shutdown |
//! | [`log`] | folds of the log's streams |
//! | [`entry`] | the callers' side |
//! | [`control`] | the operators' and the platform's side |
//! | [`peer`] | membership, digests and links between daemons |
//! | [`wire`] | typed messages at the borders |
//! | [`http`] | HTTP client, server and refusals |
//! | [`instance`] | one process of an instance on a platform with a conditional log |
//! | [`front`], [`relay`] | its callers' side, and its calls to backend servers |
//! | [`ledger`], [`job`] | its log: records, folds, leases, rollout jobs |
//! | [`scheduler`], [`duty`] | samples and weights, and duties of one instance at a time |
//! | [`boot`] | a clock that goes on while the machine is suspended |

pub mod boot;
pub mod burn;
pub mod checked;
pub mod cmd;
pub mod control;
pub mod drain;
pub mod duty;
pub mod edge;
pub mod entry;
pub mod failpoint;
pub mod front;
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
