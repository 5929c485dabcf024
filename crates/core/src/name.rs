//! Immutable, shared names of accounts, models, pools, routes, engines and nodes.

use std::borrow::Borrow;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Longest accepted name.
const MAX_NAME_BYTES: usize = 128;

/// A validated name that is cheap to clone.
///
/// One to 128 bytes of ASCII letters, digits and `._-:/[]`.
///
/// # Examples
///
/// ```
/// use heathpitch_core::Name;
///
/// let name: Name = "desk-memphis".parse()?;
/// assert_eq!(name.as_str(), "desk-memphis");
/// assert!("two words".parse::<Name>().is_err());
/// # Ok::<(), heathpitch_core::NameError>(())
/// ```
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Name(Arc<str>);

/// Why a string is not a [`Name`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NameError {
    /// The string is empty.
    #[error("a name must not be empty")]
    Empty,
    /// The string is longer than 128 bytes.
    #[error("a name has at most {MAX_NAME_BYTES} bytes, got {0}")]
    TooLong(usize),
    /// The string contains a character outside the allowed set.
    #[error("a name holds ASCII letters, digits and ._-:/[] only, not {0:?}")]
    BadChar(char),
}

impl Name {
    /// Wraps a string that is known to be a valid name.
    pub(crate) fn from_checked(s: String) -> Self {
        Self(s.into())
    }

    /// The name as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl FromStr for Name {
    type Err = NameError;

    fn from_str(s: &str) -> Result<Self, NameError> {
        match s.chars().find(|c| !allowed(*c)) {
            _ if s.is_empty() => Err(NameError::Empty),
            _ if s.len() > MAX_NAME_BYTES => Err(NameError::TooLong(s.len())),
            Some(c) => Err(NameError::BadChar(c)),
            None => Ok(Self(Arc::from(s))),
        }
    }
}

fn allowed(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-' | ':' | '/' | '[' | ']')
}

/// # Conversions
impl Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl From<SocketAddr> for Name {
    fn from(address: SocketAddr) -> Self {
        Self::from_checked(address.to_string())
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&*self.0, f)
    }
}

impl Serialize for Name {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.serialize_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Name {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let s = String::deserialize(d)?;
        s.parse().map_err(serde::de::Error::custom)
    }
}
