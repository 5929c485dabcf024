//! Pools of engines.

use serde::{Deserialize, Serialize};

use crate::{Labels, Name};

/// A pool: the VMs whose labels cover `members`, under labels of its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Name of the pool.
    pub name: Name,
    /// Labels that route selectors look at.
    #[serde(default, skip_serializing_if = "Labels::is_empty")]
    pub labels: Labels,
    /// VM labels that make a VM a member.
    #[serde(default)]
    pub members: Labels,
}
