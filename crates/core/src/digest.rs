//! Digests of keys and bodies.

use std::fmt::Write;

use sha2::{Digest, Sha256};

use crate::Name;

/// SHA-256 of the parts, each preceded by its length, as lower-case hex.
///
/// A single part is digested as it is, so that the digest of an API key is the usual one.
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
        // Writing to a string cannot fail.
        let _ = write!(hex, "{byte:02x}");
    }
    Name::from_checked(hex)
}
