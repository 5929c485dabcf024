//! Interface of platform clients: key-value store, leases and the list of VMs.

use std::time::Duration;

use futures::future::BoxFuture;
use heathpitch_core::{Epoch, Millis, Name, Revision, Vm};
use serde::{Deserialize, Serialize};

use crate::RpcError;

/// A stored value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored {
    /// Revision of the write that stored it.
    pub revision: Revision,
    /// Value: a text of at most one megabyte.
    pub value: String,
}

/// Error of a write: it failed, or its outcome is unknown.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PutError {
    /// The revision of the key differs; nothing was written.
    #[error("the value has changed; its revision is now {0}")]
    Conflict(Revision),
    /// The platform rejected the call or was unreachable; nothing was written.
    #[error("the platform rejected the write or was unreachable: {0}")]
    Refused(RpcError),
    /// There was no usable response; the write may have taken effect.
    #[error("no usable response; the write may have taken effect: {0}")]
    Unknown(RpcError),
}

/// State of a lease of the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Current holder.
    pub holder: Name,
    /// Increases with each change of holder.
    pub epoch: Epoch,
    /// Time until expiry, milliseconds.
    pub left: Millis,
}

/// The platform's list of VMs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// Revision of the list; increases with each change.
    pub number: Revision,
    /// VMs, including those that are about to leave.
    pub vms: Vec<Vm>,
}

/// Requests of nodes and the command line to the platform.
pub trait PlatformClient: Send + Sync + 'static {
    /// Reads a key; `None` if it does not exist.
    fn get(&self, key: &str) -> BoxFuture<'static, Result<Option<Stored>, RpcError>>;

    /// Waits up to `wait` for a revision of the key above `after`; `None` if there was none.
    fn watch(
        &self,
        key: &str,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'static, Result<Option<Stored>, RpcError>>;

    /// Writes a key if its revision is `expect`; 0 means that the key must not exist.
    fn put(
        &self,
        key: &str,
        expect: Revision,
        value: String,
    ) -> BoxFuture<'static, Result<Revision, PutError>>;

    /// Acquires or renews a lease; returns its state, whoever holds it.
    fn lease(
        &self,
        name: &str,
        holder: &Name,
        ttl: Duration,
    ) -> BoxFuture<'static, Result<Lease, RpcError>>;

    /// Reads the list of VMs if its revision is above `after`.
    fn vms(&self, after: Revision) -> BoxFuture<'static, Result<Option<VmList>, RpcError>>;
}
