//! A node's copy of the configuration.
//!
//! Revisions are the platform's own and only go up. Whatever the store, a peer or a restart says,
//! an older revision never replaces a newer one.

use std::sync::Arc;

use crate::switch::{Mechanism, on};
use heathpitch_core::{ConfigError, Index, Invariant, Revision, check, parse_document};

/// What became of an offered revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Adoption {
    /// It is in force now.
    Adopted,
    /// It is not newer than the one in force.
    Old,
    /// It is newer but not valid; the one in force stays.
    Invalid(ConfigError),
}

/// The newest valid configuration this node has seen.
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
    refused: Revision,
}

/// # Changing
impl Replica {
    /// A copy of nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a document read from the store or sent by a peer.
    pub fn offer(&mut self, revision: Revision, text: &str) -> Adoption {
        let before = self.revision();
        if (revision <= before || revision <= self.refused) && on(Mechanism::RevisionOrder) {
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
                self.refused = revision;
                Adoption::Invalid(e)
            }
        }
    }
}

/// # Reading
impl Replica {
    /// Revision in force; 0 before the first.
    pub fn revision(&self) -> Revision {
        self.index.revision
    }

    /// The document in force, indexed.
    pub fn index(&self) -> Arc<Index> {
        self.index.clone()
    }

    /// The document in force as the store holds it.
    pub fn text(&self) -> Arc<str> {
        self.text.clone()
    }
}
