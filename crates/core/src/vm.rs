//! VMs as the platform lists them.

use serde::{Deserialize, Serialize};

use crate::{Labels, Name};

/// Role of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmRole {
    /// Runs a heathpitch node.
    Entry,
    /// Runs a model engine.
    Engine,
    /// Runs a plain service.
    Service,
}

/// Lifecycle state of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// In service.
    Live,
    /// About to be reclaimed by the platform.
    Leaving,
}

/// One entry of the platform's VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM and of the process on it.
    pub name: Name,
    /// Role.
    pub role: VmRole,
    /// `ip:port` of its service; for an entry VM, of the node's peer listener.
    pub address: Name,
    /// Failure domain.
    pub domain: Name,
    /// Kind of accelerator, if it has one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub accelerator: Option<Name>,
    /// Labels that pools select by.
    #[serde(default)]
    pub labels: Labels,
    /// Lifecycle state.
    pub state: VmState,
}
