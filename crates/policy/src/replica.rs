//! Replica of the configuration on a node.
//!
//! The platform assigns revisions in increasing order. An older revision never replaces a newer
//! one, whether it comes from the store, from a peer or after a restart.

use std::sync::Arc;

use crate::switch::{Mechanism, on};
use heathpitch_core::{ConfigError, Index, Invariant, Revision, check, parse_document};

/// Result of offering a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Adoption {
    /// It is now in force.
    Adopted,
    /// It is not newer than the one in force.
    Old,
    /// It is newer but invalid; the one in force stays.
    Invalid(ConfigError),
}

/// Newest valid configuration that this node has received.
///
/// # Examples
///
/// ```
/// use heathpitch_core::Revision;
/// use heathpitch_policy::{Adoption, Replica};
///
/// let mut replica = Replica::new();
/// assert_eq!(replica.offer(Revision(7), "{}"), Adoption::Adopted);
/// assert_eq!(replica.offer(Revision(6), "{}"), Adoption::Old);
/// assert_eq!(replica.revision(), Revision(7));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Replica {
    index: Arc<Index>,
    text: Arc<str>,
    rejected: Revision,
}

/// # Updates
impl Replica {
    /// Creates an empty replica.
    pub fn new() -> Self {
        Self::default()
    }

    /// Offers a document read from the store or sent by a peer.
    pub fn offer(&mut self, revision: Revision, text: &str) -> Adoption {
        let before = self.revision();
        if (revision <= before || revision <= self.rejected) && on(Mechanism::RevisionOrder) {
            return Adoption::Old;
        }
        match parse_document(text) {
            Ok(doc) => {
                self.index = Arc::new(Index::new(revision, &doc));
                self.text = Arc::from(text);
                check(Invariant::RevisionOrder, self.revision() > before);
                Adoption::Adopted
            }
            Err(e) => {
                self.rejected = revision;
                Adoption::Invalid(e)
            }
        }
    }
}

/// # Reading
impl Replica {
    /// Revision in force; 0 if there is none yet.
    pub fn revision(&self) -> Revision {
        self.index.revision
    }

    /// Index of the document in force.
    pub fn index(&self) -> Arc<Index> {
        self.index.clone()
    }

    /// Text of the document in force, as stored.
    pub fn text(&self) -> Arc<str> {
        self.text.clone()
    }
}
