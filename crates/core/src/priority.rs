//! Request priorities.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Urgency of a request; under overload the lowest is shed first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Batch work, the first to be delayed or refused.
    Low,
    /// The default.
    #[default]
    Normal,
    /// Interactive: a person is waiting.
    High,
}

impl Priority {
    /// Every priority, lowest first.
    pub const ALL: [Priority; 3] = [Priority::Low, Priority::Normal, Priority::High];

    /// The lower-case name used on the wire.
    pub fn as_str(self) -> &'static str {
        match self {
            Priority::Low => "low",
            Priority::Normal => "normal",
            Priority::High => "high",
        }
    }
}

/// The text names no priority.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown priority {0:?}, expected low, normal or high")]
pub struct UnknownPriority(pub String);

impl FromStr for Priority {
    type Err = UnknownPriority;

    fn from_str(s: &str) -> Result<Self, UnknownPriority> {
        let found = Self::ALL.into_iter().find(|p| p.as_str() == s);
        found.ok_or_else(|| UnknownPriority(s.to_owned()))
    }
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
