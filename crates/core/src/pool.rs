//! Pools of engines or plain services.

use serde::{Deserialize, Serialize};

use crate::{Labels, Name};

/// A pool: all VMs that carry the labels in `members`.
///
/// Routes select pools by name or by the pool's own `labels`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Name of the pool.
    pub name: Name,
    /// Labels that routes select by.
    #[serde(default, skip_serializing_if = "Labels::is_empty")]
    pub labels: Labels,
    /// Labels that a VM needs to be a member.
    #[serde(default)]
    pub members: Labels,
}
