//! Deflated documents, as peers send them.

use std::io::{Read, Write};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

use crate::EdgeError;

/// Largest text that is inflated, bytes.
const MAX_TEXT: usize = 4 << 20;

/// Deflates a text.
pub fn deflate(text: &str) -> Vec<u8> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let written = encoder.write_all(text.as_bytes()).and_then(|()| encoder.finish());
    written.unwrap_or_default()
}

/// Inflates a text of at most four megabytes.
///
/// # Errors
///
/// [`EdgeError::Malformed`] or [`EdgeError::TooLarge`].
pub fn inflate(bytes: &[u8]) -> Result<String, EdgeError> {
    let mut text = String::new();
    let mut limited = DeflateDecoder::new(bytes).take(MAX_TEXT as u64 + 1);
    match limited.read_to_string(&mut text) {
        Ok(n) if n > MAX_TEXT => Err(EdgeError::TooLarge(MAX_TEXT)),
        Ok(_) => Ok(text),
        Err(e) => Err(EdgeError::Malformed(e.to_string())),
    }
}
