//! Prints of requests: what tells that two calls with different ids are the same request.

use std::fmt;
use std::str::FromStr;

use serde::{Serialize, Serializer};
use sha2::{Digest, Sha256};

/// Hexadecimal digits of a print's text.
const DIGITS: usize = 16;

/// Print of a request: the same for all calls with the same method, path, client account and body.
///
/// Ids and deadlines differ each time a request comes, so they are left out. 64 of SHA-256's
/// bits are enough: some thousand prints are remembered at a time, and to be taken for one of them a
/// caller would have to find its body.
///
/// # Examples
///
/// ```
/// use heathpitch_core::RequestFingerprint;
///
/// let print = RequestFingerprint::new("POST", "/tell/x", Some("desk"), b"prompt");
/// assert_eq!(print, RequestFingerprint::new("POST", "/tell/x", Some("desk"), b"prompt"));
/// assert_ne!(print, RequestFingerprint::new("POST", "/tell/x", Some("floor"), b"prompt"));
/// assert_eq!(print.to_string().parse(), Ok(print));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestFingerprint(pub u64);

/// Text is no print.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a request's print: 16 hexadecimal digits are expected")]
pub struct FingerprintError;

impl RequestFingerprint {
    /// The print of a request.
    pub fn new(method: &str, target: &str, account: Option<&str>, body: &[u8]) -> Self {
        let parts = [method.as_bytes(), target.as_bytes(), account.unwrap_or("").as_bytes(), body];
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let hash = hasher.finalize();
        Self(hash.iter().take(8).fold(0, |print, byte| print << 8 | u64::from(*byte)))
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for RequestFingerprint {
    type Err = FingerprintError;

    fn from_str(text: &str) -> Result<Self, FingerprintError> {
        match u64::from_str_radix(text, 16) {
            Ok(print) if text.len() == DIGITS => Ok(Self(print)),
            Ok(_) | Err(_) => Err(FingerprintError),
        }
    }
}

impl Serialize for RequestFingerprint {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}
