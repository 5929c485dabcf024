//! The settings file of a node.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::validate::within;
use crate::{ConfigError, Millis, Name};

/// Settings of one node, read once at start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the node; unique in the fleet.
    pub node: Name,
    /// Failure domain the node stands in.
    pub domain: Name,
    /// Listener for callers, `ip:port`; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Listener for operators and probes.
    pub admin: SocketAddr,
    /// Peer listener and first peers.
    pub peer: PeerSettings,
    /// Platform endpoints, `ip:port`, tried in order.
    pub platform: Vec<SocketAddr>,
    /// Traffic threads, 1 to 64.
    #[serde(default = "threads")]
    pub threads: usize,
    /// Largest request body, bytes.
    #[serde(default = "max_body")]
    pub max_body: usize,
    /// Caller connections held at once.
    #[serde(default = "max_connections")]
    pub max_connections: usize,
    /// Whether this node may plan its failure domain's placement.
    #[serde(default = "planner")]
    pub planner: bool,
    /// Periods of the control loops.
    #[serde(default)]
    pub timing: Timing,
}

/// Where peers are spoken to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Listener for other nodes.
    pub listen: SocketAddr,
    /// Nodes asked first, beside those the platform lists.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
}

/// Periods of the control loops, milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Time in which the nodes of a failure domain together poll the platform twice.
    pub platform_ms: Millis,
    /// Time in which the nodes of a failure domain together poll each engine twice.
    pub engine_ms: Millis,
    /// Time between two exchanges with a peer.
    pub peer_ms: Millis,
    /// Time for which the planner's lease holds without a renewal.
    pub lease_ms: Millis,
    /// Time a terminated node goes on accepting while the balancer takes notice.
    pub notice_ms: Millis,
    /// Longest time a terminated node waits for its requests.
    pub drain_ms: Millis,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            platform_ms: 1_000,
            engine_ms: 500,
            peer_ms: 2_000,
            lease_ms: 10_000,
            notice_ms: 2_000,
            drain_ms: 120_000,
        }
    }
}

impl Settings {
    /// Checks bounds.
    ///
    /// # Errors
    ///
    /// The first value out of bounds, with its path.
    pub fn check(&self) -> Result<(), ConfigError> {
        let t = &self.timing;
        within("threads", self.threads as u64, 1, 64)?;
        within("max_body", self.max_body as u64, 1_024, 64 << 20)?;
        within("max_connections", self.max_connections as u64, 1, 1_000_000)?;
        within("timing.platform_ms", t.platform_ms, 10, 60_000)?;
        within("timing.engine_ms", t.engine_ms, 10, 60_000)?;
        within("timing.peer_ms", t.peer_ms, 10, 60_000)?;
        within("timing.lease_ms", t.lease_ms, 100, 600_000)?;
        within("timing.notice_ms", t.notice_ms, 0, 600_000)?;
        within("timing.drain_ms", t.drain_ms, 0, 3_600_000)?;
        within("platform", self.platform.len() as u64, 1, 16)
    }
}

fn planner() -> bool {
    true
}

fn threads() -> usize {
    4
}

fn max_body() -> usize {
    1 << 20
}

fn max_connections() -> usize {
    20_000
}
