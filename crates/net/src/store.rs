//! The platform's store, behind one trait.
//!
//! Items have a revision that only rises; writes hold under conditions on revisions; a lease ends
//! its items unless it is renewed.

use std::sync::Arc;

use bytes::Bytes;
use futures::future::BoxFuture;
use heathpitch_core::{Millis, Revision};

use crate::RpcError;

/// Id of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseId {
    /// Era of the store that granted it; in a later one it is worth nothing.
    pub era: u64,
    /// The store's own id.
    pub number: u64,
}

/// An item of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Key.
    pub key: Arc<str>,
    /// Bytes.
    pub value: Bytes,
    /// Revision of its last change.
    pub revision: Revision,
}

/// A change of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemChange {
    /// It was written.
    Put(Item),
    /// It is gone.
    Deleted(Arc<str>),
}

/// A read of one key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GetResponse {
    /// Its item, if there is one.
    pub item: Option<Item>,
    /// Revision of the store at the read, from which a watch can go on.
    pub at: Revision,
}

/// Items under a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListResponse {
    /// All of them.
    pub items: Vec<Item>,
    /// Revision that a watch can go on from without missing a change.
    pub at: Revision,
}

/// Answer to a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WatchResponse {
    /// Changes in order; empty if none came in time.
    pub changes: Vec<ItemChange>,
    /// Revision to go on from.
    pub at: Revision,
}

/// A write that does all or nothing.
#[derive(Clone, Debug, Default)]
pub struct Write {
    /// Revisions that keys must have; 0 for a key that must be absent.
    pub conditions: Vec<(String, Revision)>,
    /// Values to write, with the lease they end with.
    pub puts: Vec<(String, Bytes, Option<LeaseId>)>,
    /// Keys to remove.
    pub removals: Vec<String>,
}

/// Why a call on the store failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// A condition does not hold; the items as they are, absent ones left out.
    #[error("a condition does not hold")]
    Conflict(Vec<Item>),
    /// The history after the revision asked for is gone.
    #[error("the history is gone")]
    Compacted,
    /// The lease is over.
    #[error("the lease is over")]
    LeaseExpired,
    /// The store has come back from an older copy of itself since this was read: nothing was sent.
    #[error("the store came back from an older copy since")]
    Restored,
    /// The store refused the call: nothing was done.
    #[error("refused with status {0}")]
    Refused(u16),
    /// No answer, or none that can be read: a write may have been done, or may be done later.
    #[error(transparent)]
    Edge(#[from] RpcError),
}

/// Calls on the store.
pub trait Store: Send + Sync {
    /// How often the store had come back from an older copy of itself, by its latest answer.
    fn era(&self) -> u64;

    /// The item of a key, if there is one.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<GetResponse, StoreError>>;

    /// All items under a prefix.
    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<ListResponse, StoreError>>;

    /// Waits up to `wait` for changes under a prefix after a revision.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
        wait: Millis,
    ) -> BoxFuture<'a, Result<WatchResponse, StoreError>>;

    /// Writes under conditions; without any write, checks them.
    fn write(&self, write: Write) -> BoxFuture<'_, Result<Revision, StoreError>>;

    /// A new lease.
    fn grant(&self, ttl: Millis) -> BoxFuture<'_, Result<LeaseId, StoreError>>;

    /// Renews a lease.
    fn renew(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StoreError>>;

    /// Ends a lease.
    fn end(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StoreError>>;
}
