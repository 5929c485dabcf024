//! Pages of claims as the platform's key-value service stores them.

use std::collections::BTreeMap;

use heathpitch_core::{Incarnation, Millis, Name};
use serde::{Deserialize, Serialize};

/// Number of pages; a key's digest decides its page.
pub(crate) const PAGES: u32 = 256;
/// Claims a page takes before it is full: 143 bytes each, within the megabyte that the platform
/// stores.
pub(crate) const MAX_CLAIMS: usize = 6_500;
/// Time for which a claim is kept, milliseconds of wall-clock time.
pub(crate) const KEEP: Millis = 24 * 3_600 * 1_000;

/// Who claimed a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimEntry {
    /// Node that claimed it.
    #[serde(rename = "n")]
    pub node: Name,
    /// Life of the node.
    #[serde(rename = "l")]
    pub life: Incarnation,
    /// Number drawn for this claim.
    #[serde(rename = "o")]
    pub nonce: u64,
    /// Wall-clock time of the claim, milliseconds.
    #[serde(rename = "t")]
    pub at: Millis,
    /// Digest of the request body.
    #[serde(rename = "b")]
    pub body: u64,
}

/// One stored page: claims by digest of the key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClaimPage {
    /// Claims by digest.
    pub entries: BTreeMap<Name, ClaimEntry>,
}

impl ClaimPage {
    /// Page of a key's digest.
    pub fn of(digest: &Name) -> u32 {
        let head = digest.as_str().get(..4).and_then(|h| u32::from_str_radix(h, 16).ok());
        head.unwrap_or(0) % PAGES
    }

    /// Drops claims past their time.
    pub(crate) fn prune(&mut self, wall: Millis) {
        self.entries.retain(|_, e| wall.saturating_sub(e.at) < KEEP);
    }
}
