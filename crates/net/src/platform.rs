//! The edge towards the platform: its key-value service, leases and list of VMs.

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
    /// Value, a text of at most one megabyte.
    pub value: String,
}

/// Why a write did not succeed for certain.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PutError {
    /// The key has another revision; nothing was written.
    #[error("the value changed, it is at revision {0} now")]
    Conflict(Revision),
    /// The platform turned the call away, or was not reached; nothing was written.
    #[error("the platform turned the write away: {0}")]
    Refused(RpcError),
    /// The answer was lost; the write may have taken effect.
    #[error("the answer was lost, the write may have taken effect: {0}")]
    Unsure(RpcError),
}

/// A lease as the platform grants it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Who holds it.
    pub holder: Name,
    /// Grows with each change of holder.
    pub epoch: Epoch,
    /// Time left, milliseconds.
    pub left: Millis,
}

/// The platform's list of VMs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// Number of the list; grows with each change.
    pub number: Revision,
    /// VMs, live and leaving.
    pub vms: Vec<Vm>,
}

/// What nodes and the command line ask of the platform.
pub trait PlatformClient: Send + Sync + 'static {
    /// Reads a key; none if it does not exist.
    fn get(&self, key: &str) -> BoxFuture<'static, Result<Option<Stored>, RpcError>>;

    /// Waits at most `wait` for a revision of the key above `after`; none if there was none.
    fn watch(
        &self,
        key: &str,
        after: Revision,
        wait: Duration,
    ) -> BoxFuture<'static, Result<Option<Stored>, RpcError>>;

    /// Writes a key if its revision is `expect`; 0 for a key that must not exist.
    fn put(
        &self,
        key: &str,
        expect: Revision,
        value: String,
    ) -> BoxFuture<'static, Result<Revision, PutError>>;

    /// Takes or renews a lease; the answer says who holds it.
    fn lease(
        &self,
        name: &str,
        holder: &Name,
        ttl: Duration,
    ) -> BoxFuture<'static, Result<Lease, RpcError>>;

    /// Reads the list of VMs and its number, if it is above `after`.
    fn vms(&self, after: Revision) -> BoxFuture<'static, Result<Option<VmList>, RpcError>>;
}
