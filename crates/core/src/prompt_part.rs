//! Fingerprints of parts of prompts, which identify a part in requests that differ otherwise.

use std::fmt;
use std::str::FromStr;

use serde::{Serialize, Serializer};

use crate::{FingerprintError, RequestFingerprint};

/// Hash of the id that callers give a part of a prompt.
///
/// # Examples
///
/// ```
/// use heathpitch_core::PromptPart;
///
/// let part = PromptPart::new("5c1e07a2");
/// assert_eq!(part, PromptPart::new("5c1e07a2"));
/// assert_ne!(part, PromptPart::new("91bd3f06"));
/// assert_eq!(part.to_string().parse(), Ok(part));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PromptPart(pub u64);

impl PromptPart {
    /// Stands for all parts.
    pub const ANY: Self = Self(0);

    /// Computes the fingerprint of the part that callers name `id`.
    pub fn new(id: &str) -> Self {
        Self(RequestFingerprint::new("part", "", None, id.as_bytes()).0.max(1))
    }
}

impl fmt::Display for PromptPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        RequestFingerprint(self.0).fmt(f)
    }
}

impl FromStr for PromptPart {
    type Err = FingerprintError;

    fn from_str(text: &str) -> Result<Self, FingerprintError> {
        text.parse().map(|RequestFingerprint(bits)| Self(bits))
    }
}

impl Serialize for PromptPart {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}
