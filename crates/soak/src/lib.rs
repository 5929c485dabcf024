//! Randomised faults against nodes that run as processes.
//!
//! A [`Script`] is drawn from a seed: kills, stops, pauses, restarts, spoilt links, a store that
//! misbehaves, engines that come, go and fail, configurations that change. [`run`] plays it on
//! real processes under load and gives every [`Breach`] that callers and engines saw.

mod cluster;
mod invariants;
mod load;
mod runner;
mod schedule;

pub use cluster::SoakError;
pub use invariants::{
    DrainedEngine, EngineDisruption, History, NodeDisruption, RevokedKey, Violation,
};
pub use load::{CallKind, CallRecord};
pub use runner::{SoakReport, run};
pub use schedule::{Fault, FaultSchedule, ScheduledFault};
