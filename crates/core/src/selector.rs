//! Selectors: which requests a route serves, and from which pools.

use serde::{Deserialize, Serialize};

use crate::{Account, Labels, Name, Priority};

/// A choice by name or by label; empty means all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Match {
    /// Names chosen; empty means any name.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub names: Vec<Name>,
    /// Labels that must all be there.
    #[serde(default, skip_serializing_if = "Labels::is_empty")]
    pub labels: Labels,
}

impl Match {
    /// Whether a thing of this name and these labels is chosen.
    pub fn matches(&self, name: &Name, labels: &Labels) -> bool {
        (self.names.is_empty() || self.names.contains(name)) && labels.covers(&self.labels)
    }
}

/// Which requests a route serves.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Selector {
    /// Client accounts.
    #[serde(default)]
    pub accounts: Match,
    /// Models by name; empty means all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<Name>,
    /// Priorities; empty means all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub priorities: Vec<Priority>,
}

impl Selector {
    /// Whether a request of `account` for `model` at `priority` is served.
    pub fn matches(&self, account: &Account, model: &Name, priority: Priority) -> bool {
        self.accounts.matches(&account.name, &account.labels)
            && (self.models.is_empty() || self.models.contains(model))
            && (self.priorities.is_empty() || self.priorities.contains(&priority))
    }
}
