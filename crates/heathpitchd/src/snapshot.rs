//! Snapshots of nodes and upstreams that the control thread publishes.

use std::collections::HashMap;

use heathpitch_core::{Name, Revision};
use heathpitch_policy::{HealthStatus, Member, MemberState};
use serde::Serialize;

/// Nodes and upstreams as the control thread sees them.
#[derive(Clone, Debug, Default)]
pub(crate) struct View {
    /// Other nodes that are alive.
    pub(crate) members: Vec<Member>,
    /// Reachable nodes of the fleet including this one; at least 1.
    pub(crate) fleet_size: u32,
    /// Share of each account's limits that applies on this node, for accounts with demand.
    pub(crate) shares: HashMap<u64, f64>,
    /// Health status of each listed upstream.
    pub(crate) upstreams: Vec<(Name, HealthStatus)>,
    /// Revision of the VM list.
    pub(crate) vm_list: Revision,
}

/// Answer to `GET /status`.
#[derive(Debug, Serialize)]
pub(crate) struct Status {
    pub(crate) node: Name,
    pub(crate) domain: Name,
    #[serde(rename = "life")]
    pub(crate) incarnation: u64,
    pub(crate) ready: bool,
    pub(crate) draining: bool,
    pub(crate) config: Revision,
    pub(crate) list: Revision,
    pub(crate) open: usize,
    pub(crate) members: Vec<MemberStatus>,
    pub(crate) upstreams: Vec<UpstreamStatus>,
}

/// One node in a [`Status`].
#[derive(Debug, Serialize)]
pub(crate) struct MemberStatus {
    pub(crate) node: Name,
    pub(crate) domain: Name,
    pub(crate) admin: Name,
    pub(crate) config: Revision,
    pub(crate) leaving: bool,
}

/// One engine or service in a [`Status`].
#[derive(Debug, Serialize)]
pub(crate) struct UpstreamStatus {
    pub(crate) name: Name,
    #[serde(rename = "standing")]
    pub(crate) status: &'static str,
}

impl From<&Member> for MemberStatus {
    fn from(m: &Member) -> Self {
        Self {
            node: m.node.clone(),
            domain: m.domain.clone(),
            admin: m.admin.clone(),
            config: m.config,
            leaving: m.state == MemberState::Draining,
        }
    }
}

impl From<&(Name, HealthStatus)> for UpstreamStatus {
    fn from((name, status): &(Name, HealthStatus)) -> Self {
        let status = match status {
            HealthStatus::Up => "up",
            HealthStatus::New => "new",
            HealthStatus::Down => "down",
            HealthStatus::Draining => "leaving",
        };
        Self { name: name.clone(), status }
    }
}
