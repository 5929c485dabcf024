//! Request fingerprints, which identify the same request behind different request ids.

use std::fmt;
use std::str::FromStr;

use serde::{Serialize, Serializer};
use sha2::{Digest, Sha256};

/// Hexadecimal digits of a fingerprint's text form.
const HEX_DIGITS: usize = 16;

/// Hash of a request's method, target, client account and body.
///
/// Ids and deadlines are excluded because a client's retry carries new ones. The first 64 bits of
/// SHA-256 suffice: a few thousand fingerprints are kept at a time, and a caller would have to find
/// a request's body to collide with it on purpose.
///
/// # Examples
///
/// ```
/// use heathpitch_core::RequestFingerprint;
///
/// let fingerprint = RequestFingerprint::new("POST", "/tell/x", Some("desk"), b"prompt");
/// assert_eq!(fingerprint, RequestFingerprint::new("POST", "/tell/x", Some("desk"), b"prompt"));
/// assert_ne!(fingerprint, RequestFingerprint::new("POST", "/tell/x", Some("floor"), b"prompt"));
/// assert_eq!(fingerprint.to_string().parse(), Ok(fingerprint));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestFingerprint(pub u64);

/// The text is not a request fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid request fingerprint: expected 16 hexadecimal digits")]
pub struct FingerprintError;

impl RequestFingerprint {
    /// Computes the fingerprint of a request.
    pub fn new(method: &str, target: &str, account: Option<&str>, body: &[u8]) -> Self {
        let parts = [method.as_bytes(), target.as_bytes(), account.unwrap_or("").as_bytes(), body];
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let hash = hasher.finalize();
        Self(hash.iter().take(8).fold(0, |bits, byte| bits << 8 | u64::from(*byte)))
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
            Ok(bits) if text.len() == HEX_DIGITS => Ok(Self(bits)),
            Ok(_) | Err(_) => Err(FingerprintError),
        }
    }
}

impl Serialize for RequestFingerprint {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}
