//! The settings file of a node.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::validate::check_range;
use crate::{ConfigError, Millis, Name};

/// Settings of one node, read once at startup.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the node, unique in the fleet.
    pub node: Name,
    /// Failure domain of the node.
    pub domain: Name,
    /// Listener for callers, `ip:port`; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Listener for operators and health probes.
    pub admin: SocketAddr,
    /// Peer listener and seed peers.
    pub peer: PeerSettings,
    /// Platform endpoints, `ip:port`, tried in order.
    pub platform: Vec<SocketAddr>,
    /// Threads that serve traffic, 1 to 64.
    #[serde(default = "threads")]
    pub threads: usize,
    /// Largest request body, bytes.
    #[serde(default = "max_body")]
    pub max_body: usize,
    /// Most open caller connections.
    #[serde(default = "max_connections")]
    pub max_connections: usize,
    /// Whether this node may become the planner of its failure domain.
    #[serde(default = "planner")]
    pub planner: bool,
    /// Periods of the control loops.
    #[serde(default)]
    pub timing: Timing,
}

/// Addresses for exchanges with peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Listener for other nodes.
    pub listen: SocketAddr,
    /// Nodes contacted first, in addition to those that the platform lists.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
}

/// Periods of the control loops, milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Period in which the nodes of a failure domain together poll the platform twice.
    pub platform_ms: Millis,
    /// Period in which the nodes of a failure domain together poll each engine twice.
    pub engine_ms: Millis,
    /// Interval between exchanges with a peer.
    pub peer_ms: Millis,
    /// Duration of the planner's lease without renewal.
    pub lease_ms: Millis,
    /// Time for which a terminated node keeps accepting connections until the load balancer has
    /// noticed.
    pub notice_ms: Millis,
    /// Longest time a terminated node waits for its open requests.
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
    /// Checks that all values are in range.
    ///
    /// # Errors
    ///
    /// The first value out of range, with its path.
    pub fn check(&self) -> Result<(), ConfigError> {
        let t = &self.timing;
        check_range("threads", self.threads as u64, 1, 64)?;
        check_range("max_body", self.max_body as u64, 1_024, 64 << 20)?;
        check_range("max_connections", self.max_connections as u64, 1, 1_000_000)?;
        check_range("timing.platform_ms", t.platform_ms, 10, 60_000)?;
        check_range("timing.engine_ms", t.engine_ms, 10, 60_000)?;
        check_range("timing.peer_ms", t.peer_ms, 10, 60_000)?;
        check_range("timing.lease_ms", t.lease_ms, 100, 600_000)?;
        check_range("timing.notice_ms", t.notice_ms, 0, 600_000)?;
        check_range("timing.drain_ms", t.drain_ms, 0, 3_600_000)?;
        check_range("platform", self.platform.len() as u64, 1, 16)
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
