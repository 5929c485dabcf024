//! Client accounts and their limits.

use serde::{Deserialize, Serialize};

use crate::{Labels, Name};

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Name that callers send.
    pub name: Name,
    /// Labels that routes select by.
    #[serde(default, skip_serializing_if = "Labels::is_empty")]
    pub labels: Labels,
    /// Share of capacity under contention, relative to other accounts.
    #[serde(default = "weight")]
    pub weight: u32,
    /// Requests per second across the fleet; `None` means unlimited.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<f64>,
    /// Concurrent requests across the fleet; `None` means unlimited.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub streams: Option<u32>,
    /// SHA-256 of accepted API keys, lower-case hex; if empty, no key is required.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub keys: Vec<Name>,
}

impl Account {
    /// Creates an account without limits or keys.
    pub fn new(name: Name) -> Self {
        let labels = Labels::default();
        Self { name, labels, weight: weight(), rate: None, streams: None, keys: Vec::new() }
    }
}

fn weight() -> u32 {
    1
}
