//! Structured log events, each with a stable name.

use heathpitch_core::{Attempt, Epoch, LayerRange, Millis, Name, Outcome, Revision};
use heathpitch_policy::MoveReason;
use serde::Serialize;

/// A log event.
///
/// Written as one line of JSON with the name under `event`. Events never contain prompts, answers
/// or keys.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// The node has started listening.
    Started {
        /// Node.
        node: Name,
        /// Caller address.
        listen: String,
        /// Admin address.
        admin: String,
        /// Peer address.
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
        /// Predicted time to first token.
        predicted_ms: u64,
        /// Reason for this attempt.
        reason: AttemptReason,
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
        /// Reason for this attempt.
        reason: AttemptReason,
    },
    /// A request has ended.
    Finished {
        /// Request.
        request: String,
        /// Client account.
        account: Name,
        /// Outcome.
        outcome: Outcome,
        /// Tokens sent to the caller.
        tokens: u32,
        /// Attempts made.
        attempts: u32,
        /// Duration.
        ms: Millis,
    },
    /// A request was refused.
    Refused {
        /// Request.
        request: String,
        /// Outcome reported to the caller.
        outcome: Outcome,
        /// Stable kind of the error.
        kind: &'static str,
        /// Retry delay reported to the caller.
        #[serde(rename = "back_ms")]
        retry_after_ms: Millis,
    },
    /// A configuration revision has taken effect.
    Adopted {
        /// Revision.
        revision: Revision,
        /// Origin.
        from: Source,
    },
    /// A configuration revision is invalid; the previous one stays in effect.
    Rejected {
        /// Revision.
        revision: Revision,
        /// Validation error.
        error: String,
    },
    /// A VM list has taken effect.
    Listed {
        /// Revision of the list.
        #[serde(rename = "number")]
        revision: Revision,
        /// Number of VMs.
        vms: usize,
        /// Origin.
        from: Source,
    },
    /// An engine was ordered to load layers.
    Placed {
        /// Engine.
        engine: Name,
        /// Model.
        model: Name,
        /// Layers.
        layers: LayerRange,
        /// Weights to load, megabytes.
        megabytes: u64,
        /// Epoch of the planner's lease.
        epoch: Epoch,
        /// Reason for the order.
        reason: MoveReason,
        /// Whether the engine accepted the order.
        taken: bool,
    },
    /// This node became or ceased to be the planner of its failure domain.
    Planner {
        /// Whether it is the planner.
        active: bool,
        /// Epoch of its lease.
        epoch: Epoch,
    },
    /// The platform became reachable or unreachable.
    Platform {
        /// Whether it is reachable.
        reachable: bool,
        /// Error if it is unreachable.
        error: Option<String>,
    },
    /// The node has begun to drain.
    Draining {
        /// Number of open requests.
        open: usize,
    },
    /// The node has stopped.
    Stopped {
        /// Number of requests cut off.
        cut: usize,
    },
}

/// Reason for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptReason {
    /// First attempt.
    First,
    /// The previous attempt was refused.
    Refused,
    /// The previous attempt could not be sent.
    Unsent,
    /// A stage of the previous attempt failed.
    Faulted,
    /// The connection of the previous attempt was lost.
    Lost,
    /// The previous attempt stalled.
    Stalled,
}

/// Origin of a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// The platform.
    Platform,
    /// A peer node.
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
            Err(e) => log::error!("cannot serialize a log event: {e}"),
        }
    }
}
