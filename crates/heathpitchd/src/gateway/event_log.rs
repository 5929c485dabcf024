//! Names of a gateway's events, and how they are written to the log.

use super::event::GatewayEvent;

impl GatewayEvent {
    /// Names of all events; they do not change between versions.
    pub const NAMES: [&'static str; 63] = [
        "gateway_started",
        "gateway_reloaded",
        "gateway_stopping",
        "gateway_stopped",
        "call_refused",
        "call_routed",
        "shares_changed",
        "call_attempt_failed",
        "call_rerouted",
        "call_ended",
        "answer_relayed",
        "call_forwarded",
        "call_forward_failed",
        "forward_rejected",
        "retry_denied",
        "service_reach",
        "config_adopted",
        "config_rejected",
        "config_part_rejected",
        "config_proof_due",
        "config_proof_failed",
        "calls_on_old_proof",
        "old_proofs_excused",
        "calls_awaited_proof",
        "thread_delayed",
        "followers_returned",
        "poll_failed",
        "watch_lost",
        "engines_heard",
        "engine_rejected",
        "engine_listed",
        "engines_listed",
        "engine_gone",
        "engine_reborn",
        "engine_ended",
        "ends_heard",
        "exits_stored",
        "exits_loaded",
        "request_held_back",
        "request_let_through",
        "held_update_slow",
        "part_held_back",
        "part_let_through",
        "part_undecided",
        "engine_doubted",
        "engine_wished",
        "engine_leaves",
        "engine_limited",
        "limits_stored",
        "rights_changed",
        "engine_stays",
        "engine_paced",
        "layout_planned",
        "layers_ordered",
        "balance_changed",
        "vm_suspended",
        "domain_planner",
        "feed_changed",
        "neighbour_changed",
        "store_came_back",
        "config_behind",
        "store_reachable",
        "log_dropped",
    ];

    /// Writes the event to the log.
    pub(crate) fn log(&self) {
        let level = match self {
            Self::CallRefused(_)
            | Self::CallAttemptFailed { .. }
            | Self::EngineExited { .. }
            | Self::RequestHeldBack { .. }
            | Self::HeldUpdateSlow { .. }
            | Self::CallEnded { complete: false, .. }
            | Self::GatewayReloaded { error: Some(_) }
            | Self::ConfigProofFailed { .. }
            | Self::CallsOnOldProof { .. }
            | Self::OldProofsExcused { .. }
            | Self::CallsAwaitedProof { .. }
            | Self::ThreadDelayed { .. }
            | Self::FollowersReturned { .. }
            | Self::ConfigRejected { .. }
            | Self::ConfigPartRejected { .. }
            | Self::EngineRejected { .. }
            | Self::WatchLost { .. }
            | Self::StoreRestored { .. }
            | Self::ConfigBehind { .. }
            | Self::StoreReachable { reachable: false, .. } => log::Level::Warn,
            _ => log::Level::Info,
        };
        match serde_json::to_string(self) {
            Ok(line) => log::log!(target: "heathpitch", level, "{line}"),
            Err(e) => log::error!("cannot serialize an event: {e}"),
        }
    }
}
