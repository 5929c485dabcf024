//! Randomised faults against nodes that run as processes.
//!
//! A [`FaultSchedule`] is generated from a seed: nodes that are killed, stopped, paused or reloaded,
//! faulty links, store outages, engines that are replaced or fail, configuration changes. [`run`]
//! applies it to real processes under load and reports every [`Violation`] found in the history of
//! calls and of requests that reached engines.

mod cluster;
mod config_history;
mod error;
mod fault;
mod invariants;
mod load;
mod retry_limit;
mod runner;
mod schedule;
mod senders;

pub use config_history::ConfigVersion;
pub use error::SoakError;
pub use fault::{Fault, InvalidPart};
pub use invariants::{
    DrainedEngine, EngineDisruption, History, NodeDisruption, RevokedKey, Violation,
};
pub use load::{CallKind, CallRecord};
pub use retry_limit::RetryLimit;
pub use runner::{SoakReport, run};
pub use schedule::{FaultSchedule, ScheduledFault};
pub use senders::Senders;
