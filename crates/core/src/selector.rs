//! Selectors: which requests a route serves, and from which pools.

use serde::{Deserialize, Serialize};

use crate::{Account, Labels, Name, Priority};

/// A selection by name and labels; empty means everything.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Match {
    /// Selected names; empty means any name.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub names: Vec<Name>,
    /// Labels that must all be present.
    #[serde(default, skip_serializing_if = "Labels::is_empty")]
    pub labels: Labels,
}

impl Match {
    /// Whether an item with this name and these labels is selected.
    pub fn matches(&self, name: &Name, labels: &Labels) -> bool {
        (self.names.is_empty() || self.names.contains(name)) && labels.covers(&self.labels)
    }
}

/// Which requests a route serves.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Selector {
    /// Selected client accounts.
    #[serde(default)]
    pub accounts: Match,
    /// Selected models; empty means all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub models: Vec<Name>,
    /// Selected priorities; empty means all.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub priorities: Vec<Priority>,
}

impl Selector {
    /// Whether a request of `account` for `model` at `priority` is selected.
    pub fn matches(&self, account: &Account, model: &Name, priority: Priority) -> bool {
        self.accounts.matches(&account.name, &account.labels)
            && (self.models.is_empty() || self.models.contains(model))
            && (self.priorities.is_empty() || self.priorities.contains(&priority))
    }
}
