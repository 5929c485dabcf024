//! VMs as the platform lists them.

use serde::{Deserialize, Serialize};

use crate::{Labels, Name};

/// What a VM is there for.
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

/// Whether a VM stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// In service.
    Live,
    /// Will be taken back.
    Leaving,
}

/// One VM of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the VM, and of what runs on it.
    pub name: Name,
    /// What it is there for.
    pub role: VmRole,
    /// `ip:port` of its service; of the peer listener for an entry VM.
    pub address: Name,
    /// Failure domain.
    pub domain: Name,
    /// Kind of accelerator, where it has any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub accelerator: Option<Name>,
    /// Labels that pools look at.
    #[serde(default)]
    pub labels: Labels,
    /// Whether it stays.
    pub state: VmState,
}
