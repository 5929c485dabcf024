//! Settings of a node that serves pass-through calls beside a platform's store.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::validate::within;
use crate::{ConfigError, Millis, Name, parse};

/// Settings of one gateway node, read at start and on reload.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Name of the node; unique in the fleet.
    pub node: Name,
    /// Failure domain the node stands in.
    pub domain: Name,
    /// Listener for callers, `ip:port`.
    pub listen: SocketAddr,
    /// Listener of the balancer's readiness check.
    pub ready: SocketAddr,
    /// Listener of metrics.
    pub metrics: SocketAddr,
    /// Listener of other nodes, which this one may tell what the store holds; none if it is not
    /// to, and then it asks no other node either.
    #[serde(default)]
    pub peer: Option<SocketAddr>,
    /// Listeners of a few nodes for others, which a node that begins asks who plans; may be stale, or down.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Whether the whole fleet starts now for the first time, so that nobody has read the store yet.
    #[serde(default)]
    pub first_start: bool,
    /// What the VM can carry.
    #[serde(default)]
    pub vm: VmCapacity,
    /// Bounds agreed with the platform.
    #[serde(default)]
    pub bounds: PlatformBounds,
}

/// What a VM can carry.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct VmCapacity {
    /// Rate of its link, Mbit/s.
    pub link_mbps: f64,
    /// Share of a core.
    pub cpu_share: f64,
}

impl Default for VmCapacity {
    fn default() -> Self {
        Self { link_mbps: 1_000.0, cpu_share: 1.0 }
    }
}

/// Bounds agreed with the platform.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformBounds {
    /// Time from the acceptance of a key's removal after which it may not work anywhere.
    pub revoke_ms: Millis,
    /// Time for which a leaving engine may still be sent work.
    pub drain_ms: Millis,
    /// Time from SIGTERM to SIGKILL, seconds.
    pub grace_s: f64,
    /// Second sends per request that the fleet may make.
    pub retry_ratio: f64,
    /// Second sends that the fleet may make beyond the ratio.
    pub retry_slack: f64,
    /// Time over which second sends are counted, seconds.
    pub retry_window_s: f64,
    /// Shortest lease the store grants.
    pub lease_min_ms: Millis,
    /// Time without trouble after which a node counts as in touch with the others.
    pub contact_ms: Millis,
}

impl Default for PlatformBounds {
    fn default() -> Self {
        Self {
            revoke_ms: 5_000,
            drain_ms: 2_000,
            grace_s: 8.0,
            retry_ratio: 0.2,
            retry_slack: 200.0,
            retry_window_s: 10.0,
            lease_min_ms: 1_000,
            contact_ms: 3_000,
        }
    }
}

impl GatewaySettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// The first thing wrong, with its path and a tip where a word is nearly right.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let settings: Self = parse::parse(text)?;
        let b = &settings.bounds;
        within("bounds.revoke_ms", b.revoke_ms, 500, 600_000)?;
        within("bounds.drain_ms", b.drain_ms, 100, 600_000)?;
        within("bounds.grace_s", b.grace_s as u64, 1, 3_600)?;
        within("bounds.retry_window_s", b.retry_window_s as u64, 1, 3_600)?;
        within("bounds.lease_min_ms", b.lease_min_ms, 1, 600_000)?;
        within("bounds.contact_ms", b.contact_ms, 100, 600_000)?;
        within("vm.link_mbps", settings.vm.link_mbps as u64, 1, 1_000_000)?;
        within("vm.cpu_share (thousandths)", (settings.vm.cpu_share * 1e3) as u64, 1, 1_000_000)?;
        Ok(settings)
    }
}
