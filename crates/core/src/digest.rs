//! SHA-256 digests of API keys and request bodies.

use std::fmt::Write;

use sha2::{Digest, Sha256};

use crate::Name;

/// SHA-256 of the parts, each prefixed with its length, as lower-case hex.
///
/// A single part gets no length prefix, so the digest of an API key is its plain SHA-256.
///
/// # Examples
///
/// ```
/// let d = heathpitch_core::digest(&[b"abc"]);
/// assert!(d.as_str().starts_with("ba7816bf8f01cfea"));
/// ```
pub fn digest(parts: &[&[u8]]) -> Name {
    let mut hasher = Sha256::new();
    for part in parts {
        if parts.len() > 1 {
            hasher.update((part.len() as u64).to_le_bytes());
        }
        hasher.update(part);
    }
    let mut hex = String::with_capacity(64);
    for byte in hasher.finalize() {
        // Writing to a `String` never fails.
        let _ = write!(hex, "{byte:02x}");
    }
    Name::from_checked(hex)
}
