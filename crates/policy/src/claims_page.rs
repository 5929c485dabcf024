//! Pages of claims, as stored in the platform's key-value service.

use std::collections::BTreeMap;

use heathpitch_core::{Incarnation, Millis, Name};
use serde::{Deserialize, Serialize};

/// Number of pages; the digest of a key selects its page.
pub(crate) const PAGES: u32 = 256;
/// Claims per page: 143 bytes each, within the platform's limit of one megabyte per value.
pub(crate) const MAX_CLAIMS: usize = 6_500;
/// Time for which a claim is kept, by the wall clock.
pub(crate) const CLAIM_TTL_MS: Millis = 24 * 3_600 * 1_000;

/// Who claimed a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimEntry {
    /// Node that claimed it.
    #[serde(rename = "n")]
    pub node: Name,
    /// Incarnation of the node.
    #[serde(rename = "l")]
    pub incarnation: Incarnation,
    /// Random number that identifies this claim.
    #[serde(rename = "o")]
    pub nonce: u64,
    /// Wall-clock time of the claim, milliseconds.
    #[serde(rename = "t")]
    pub at: Millis,
    /// Digest of the request body.
    #[serde(rename = "b")]
    pub body: u64,
}

/// One stored page of claims.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClaimPage {
    /// Claims by digest of the key.
    pub entries: BTreeMap<Name, ClaimEntry>,
}

impl ClaimPage {
    /// Page number for the digest of a key.
    pub fn page_number(digest: &Name) -> u32 {
        let head = digest.as_str().get(..4).and_then(|h| u32::from_str_radix(h, 16).ok());
        head.unwrap_or(0) % PAGES
    }

    /// Drops expired claims.
    pub(crate) fn prune(&mut self, wall: Millis) {
        self.entries.retain(|_, e| wall.saturating_sub(e.at) < CLAIM_TTL_MS);
    }
}
