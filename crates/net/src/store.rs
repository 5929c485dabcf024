//! Interface of the platform's key-value store.
//!
//! Each item has a revision that only increases. Writes are conditional on revisions. An item can
//! be bound to a lease and is deleted when the lease ends or expires.

use std::sync::Arc;

use bytes::Bytes;
use futures::future::BoxFuture;
use heathpitch_core::{Millis, Revision};

use crate::RpcError;

/// Id of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseId {
    /// Era of the store that granted it; it is invalid in later eras.
    pub era: u64,
    /// Id within the store.
    pub number: u64,
}

/// An item of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Key.
    pub key: Arc<str>,
    /// Value.
    pub value: Bytes,
    /// Revision of the last change.
    pub revision: Revision,
}

/// Change of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemChange {
    /// The item was written.
    Put(Item),
    /// The item with this key was deleted.
    Deleted(Arc<str>),
}

/// Result of reading one key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GetResponse {
    /// The item, if the key exists.
    pub item: Option<Item>,
    /// Revision of the store at the read, from which a watch can continue.
    pub at: Revision,
}

/// Result of listing a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListResponse {
    /// All items under the prefix.
    pub items: Vec<Item>,
    /// Revision from which a watch can continue without missing a change.
    pub at: Revision,
}

/// Result of a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WatchResponse {
    /// Changes in order; empty if there were none within the waiting time.
    pub changes: Vec<ItemChange>,
    /// Revision to continue from.
    pub at: Revision,
}

/// An atomic write.
#[derive(Clone, Debug, Default)]
pub struct Write {
    /// Required revisions of keys; 0 for a key that must not exist.
    pub conditions: Vec<(String, Revision)>,
    /// Keys and values to write, each with the lease it is bound to, if any.
    pub puts: Vec<(String, Bytes, Option<LeaseId>)>,
    /// Keys to delete.
    pub removals: Vec<String>,
}

/// Error of a store operation.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// A condition is not met; holds the current items, without those that do not exist.
    #[error("a condition of the write is not met")]
    Conflict(Vec<Item>),
    /// The history after the requested revision is no longer available.
    #[error("the history after the requested revision is no longer available")]
    Compacted,
    /// The lease has expired or was ended.
    #[error("the lease has ended")]
    LeaseExpired,
    /// The store was restored from an older copy after the data was read; nothing was sent.
    #[error("the store was restored from an older copy in the meantime")]
    Restored,
    /// The store rejected the call; nothing was changed.
    #[error("rejected with HTTP status {0}")]
    Refused(u16),
    /// No response, or an unreadable one: a write may have taken effect, or may still do so.
    #[error(transparent)]
    Rpc(#[from] RpcError),
}

/// Operations of the store.
pub trait Store: Send + Sync {
    /// Number of times the store was restored from an older copy, according to its latest response.
    fn era(&self) -> u64;

    /// Has the next calls use new connections: those of earlier calls may be dead.
    fn reconnect(&self);

    /// Reads a key.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<GetResponse, StoreError>>;

    /// Lists all items under a prefix.
    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<ListResponse, StoreError>>;

    /// Waits up to `wait` for changes under a prefix after a revision.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        after: Revision,
        wait: Millis,
    ) -> BoxFuture<'a, Result<WatchResponse, StoreError>>;

    /// Writes if all conditions are met; without puts and removals, only checks the conditions.
    fn write(&self, write: Write) -> BoxFuture<'_, Result<Revision, StoreError>>;

    /// Grants a new lease.
    fn grant(&self, ttl: Millis) -> BoxFuture<'_, Result<LeaseId, StoreError>>;

    /// Renews a lease.
    fn renew(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StoreError>>;

    /// Ends a lease and deletes its items.
    fn end(&self, lease: LeaseId) -> BoxFuture<'_, Result<(), StoreError>>;
}
