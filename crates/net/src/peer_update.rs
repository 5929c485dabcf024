//! Content of a state exchange between nodes.

use std::sync::Arc;

use heathpitch_core::Revision;
use heathpitch_policy::{EngineReport, Member};

/// A compressed document with its revision; empty if only the revision is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Packed {
    /// Revision of the document; 0 for none.
    pub revision: Revision,
    /// Deflated text.
    pub bytes: Arc<[u8]>,
}

/// Demand of one client account, averaged over nodes.
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
    /// The sender and the most recently updated members it knows.
    pub members: Vec<Member>,
    /// Latest reports of engines.
    pub reports: Vec<EngineReport>,
    /// Active configuration.
    pub config: Packed,
    /// Latest list of VMs.
    pub vms: Packed,
    /// Demand of client accounts, averaged over nodes.
    pub demand: Vec<Demand>,
    /// Number of the averaging round that the demand belongs to.
    pub epoch: u64,
}
