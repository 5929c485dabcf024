//! Events of the log, each with a stable name.

use heathpitch_core::{Attempt, Epoch, LayerRange, Millis, Name, Outcome, Revision};
use heathpitch_policy::MoveReason;
use serde::Serialize;

/// A line of the log.
///
/// Written as JSON with the name under `event`. Neither prompts nor answers nor keys stand in any
/// event.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// The node listens.
    Started {
        /// Node.
        node: Name,
        /// Address for callers.
        listen: String,
        /// Address for operators.
        admin: String,
        /// Address for peers.
        peer: String,
    },
    /// A path was chosen for an attempt.
    Routed {
        /// Request.
        request: String,
        /// Client account.
        account: Name,
        /// Model.
        model: Name,
        /// Route.
        route: Name,
        /// Attempt.
        attempt: Attempt,
        /// Engines and their layers.
        stages: Vec<(Name, LayerRange)>,
        /// Predicted time to the first token.
        predicted_ms: u64,
        /// Why a path was chosen now.
        reason: Reason,
    },
    /// A plain service was chosen for an attempt.
    RoutedService {
        /// Request.
        request: String,
        /// Client account.
        account: Name,
        /// Route.
        route: Name,
        /// Attempt.
        attempt: Attempt,
        /// Service.
        service: Name,
        /// Why it was chosen now.
        reason: Reason,
    },
    /// A request is over.
    Finished {
        /// Request.
        request: String,
        /// Client account.
        account: Name,
        /// What became of it.
        outcome: Outcome,
        /// Tokens sent.
        tokens: u32,
        /// Attempts made.
        attempts: u32,
        /// Time taken.
        ms: Millis,
    },
    /// A request was refused.
    Refused {
        /// Request.
        request: String,
        /// What is said of it.
        outcome: Outcome,
        /// Stable kind of the error.
        kind: &'static str,
        /// When the caller is told to come back.
        back_ms: Millis,
    },
    /// A revision of the configuration is in force.
    Adopted {
        /// Revision.
        revision: Revision,
        /// Where it came from.
        from: Source,
    },
    /// A revision of the configuration is not valid; the one before stays in force.
    Rejected {
        /// Revision.
        revision: Revision,
        /// What is wrong with it.
        error: String,
    },
    /// A list of VMs was taken.
    Listed {
        /// Its number.
        number: Revision,
        /// VMs in it.
        vms: usize,
        /// Where it came from.
        from: Source,
    },
    /// An engine was ordered to hold layers.
    Placed {
        /// Engine.
        engine: Name,
        /// Model.
        model: Name,
        /// Layers.
        layers: LayerRange,
        /// Weights to load, megabytes.
        megabytes: u64,
        /// Epoch of the planner.
        epoch: Epoch,
        /// Why.
        reason: MoveReason,
        /// Whether the engine took the order.
        taken: bool,
    },
    /// This node began or ceased to plan its failure domain's placement.
    Planner {
        /// Whether it plans now.
        active: bool,
        /// Epoch of its lease.
        epoch: Epoch,
    },
    /// The platform does not answer, or answers again.
    Platform {
        /// Whether it answers.
        reachable: bool,
        /// What it said, if it does not.
        error: Option<String>,
    },
    /// The node drains.
    Draining {
        /// Requests open.
        open: usize,
    },
    /// The node has stopped.
    Stopped {
        /// Requests cut off.
        cut: usize,
    },
}

/// Why a path was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// First attempt.
    First,
    /// The attempt before was refused.
    Refused,
    /// The attempt before never left.
    Unsent,
    /// A stage of the attempt before failed.
    Faulted,
    /// The attempt before was lost.
    Lost,
    /// The attempt before fell silent.
    Stalled,
}

/// Where a document came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// The platform.
    Platform,
    /// Another node.
    Peer,
}

impl Event {
    /// Stable names of all events.
    pub const NAMES: [&'static str; 13] = [
        "started",
        "routed",
        "routed_service",
        "finished",
        "refused",
        "adopted",
        "rejected",
        "listed",
        "placed",
        "planner",
        "platform",
        "draining",
        "stopped",
    ];

    /// Writes the event to the log.
    pub(crate) fn log(&self) {
        match serde_json::to_string(self) {
            Ok(line) => log::info!(target: "heathpitch", "{line}"),
            Err(e) => log::error!("an event could not be written: {e}"),
        }
    }
}
