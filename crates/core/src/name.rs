//! Immutable, shared names of accounts, models, pools, routes, engines and nodes.

use std::borrow::Borrow;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Longest accepted name.
const MAX_NAME_BYTES: usize = 128;
/// Longest accepted name that others have chosen.
const MAX_FOREIGN_BYTES: usize = 1_024;

/// A validated name that is cheap to clone.
///
/// One to 128 bytes of ASCII letters, digits and `._-:/[]`; what others have named is accepted more widely by
/// [`Name::from_foreign`].
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
    /// A name of somebody else's choice is longer than 1 024 bytes.
    #[error("a name has at most {MAX_FOREIGN_BYTES} bytes, got {0}")]
    ForeignTooLong(usize),
    /// A name of somebody else's choice contains a control character.
    #[error("a name holds no control characters, not {0:?}")]
    Control(char),
    /// The string is no percent-encoded name.
    #[error("not a percent-encoded name")]
    BadEncoding,
}

/// Deserializes a name as [`Name::from_foreign`] accepts it, for `#[serde(deserialize_with = "…")]`.
pub(crate) fn foreign<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Name, D::Error> {
    Name::from_foreign(&String::deserialize(deserializer)?).map_err(D::Error::custom)
}

/// Like [`foreign`], for a list of names.
pub(crate) fn foreign_list<'de, D>(deserializer: D) -> Result<Vec<Name>, D::Error>
where
    D: Deserializer<'de>,
{
    let names = Vec::<String>::deserialize(deserializer)?;
    names.iter().map(|name| Name::from_foreign(name).map_err(D::Error::custom)).collect()
}

impl Name {
    /// Wraps a string that is known to be a valid name.
    pub(crate) fn from_checked(s: String) -> Self {
        Self(s.into())
    }

    /// Accepts a name of somebody else's choice: one to 1 024 bytes without control characters.
    ///
    /// # Examples
    ///
    /// ```
    /// use heathpitch_core::Name;
    ///
    /// assert_eq!(Name::from_foreign("Büro Isar")?.as_str(), "Büro Isar");
    /// assert!(Name::from_foreign("two\nlines").is_err());
    /// # Ok::<(), heathpitch_core::NameError>(())
    /// ```
    ///
    /// # Errors
    ///
    /// [`NameError`] if it is empty, too long or holds a control character.
    pub fn from_foreign(text: &str) -> Result<Self, NameError> {
        match text.chars().find(|c| c.is_control()) {
            _ if text.is_empty() => Err(NameError::Empty),
            _ if text.len() > MAX_FOREIGN_BYTES => Err(NameError::ForeignTooLong(text.len())),
            Some(c) => Err(NameError::Control(c)),
            None => Ok(Self(Arc::from(text))),
        }
    }

    /// The name without any character that separates fields of a record: bytes outside of the alphabet of
    /// [`Name::from_str`] are percent-encoded.
    ///
    /// # Examples
    ///
    /// ```
    /// use heathpitch_core::Name;
    ///
    /// let name = Name::from_foreign("Halle 2")?;
    /// assert_eq!(name.encoded(), "Halle%202");
    /// assert_eq!(Name::from_encoded("Halle%202")?, name);
    /// # Ok::<(), heathpitch_core::NameError>(())
    /// ```
    pub fn encoded(&self) -> String {
        let mut text = String::with_capacity(self.0.len());
        for byte in self.0.bytes() {
            match allowed(byte.into()) {
                true => text.push(byte.into()),
                false => text.push_str(&format!("%{byte:02X}")),
            }
        }
        text
    }

    /// Decodes a name that [`Name::encoded`] wrote.
    ///
    /// # Errors
    ///
    /// [`NameError`] as of [`Name::from_foreign`], or [`NameError::BadEncoding`].
    pub fn from_encoded(text: &str) -> Result<Self, NameError> {
        let mut bytes = Vec::with_capacity(text.len());
        let mut rest = text.as_bytes();
        while let [first, after @ ..] = rest {
            rest = match (first, after) {
                (b'%', [high, low, after @ ..]) => {
                    let digits = [*high, *low];
                    let digits =
                        std::str::from_utf8(&digits).map_err(|_| NameError::BadEncoding)?;
                    let byte = u8::from_str_radix(digits, 16);
                    bytes.push(byte.map_err(|_| NameError::BadEncoding)?);
                    after
                }
                (byte, after) if allowed(char::from(*byte)) => {
                    bytes.push(*byte);
                    after
                }
                _ => return Err(NameError::BadEncoding),
            };
        }
        let name = String::from_utf8(bytes).map_err(|_| NameError::BadEncoding)?;
        Self::from_foreign(&name)
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
        s.parse().map_err(D::Error::custom)
    }
}
