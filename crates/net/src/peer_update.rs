//! What nodes tell each other in an exchange.

use std::sync::Arc;

use heathpitch_core::Revision;
use heathpitch_policy::{EngineReport, Member};

/// A numbered document, deflated; empty if only the number is told.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Packed {
    /// Its number; 0 for none.
    pub revision: Revision,
    /// Deflated text.
    pub bytes: Arc<[u8]>,
}

/// Averaged demand of one account.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Digest of the account's name.
    pub account: u64,
    /// Requests per second and node.
    pub rate: f32,
}

/// One side of an exchange.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Update {
    /// The sender and the freshest members it knows.
    pub members: Vec<Member>,
    /// Newest reports of engines.
    pub reports: Vec<EngineReport>,
    /// Configuration in force.
    pub config: Packed,
    /// Newest list of VMs.
    pub vms: Packed,
    /// Averaged demand.
    pub demand: Vec<Demand>,
    /// Averaging round the demand belongs to.
    pub epoch: u64,
}
