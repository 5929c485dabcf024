//! DEFLATE compression of documents exchanged between nodes.

use std::io::{Read, Write};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;

use crate::RpcError;

/// Default size limit of inflated data.
const MAX_INFLATED_BYTES: usize = 4 << 20;

/// Deflates a text; empty if the encoder fails.
pub fn deflate(text: &str) -> Vec<u8> {
    deflate_bytes(text.as_bytes()).unwrap_or_default()
}

/// Inflates a text of at most 4 MiB.
///
/// # Errors
///
/// [`RpcError::Malformed`] or [`RpcError::TooLarge`].
pub fn inflate(bytes: &[u8]) -> Result<String, RpcError> {
    String::from_utf8(inflate_bytes(bytes)?).map_err(|e| RpcError::Malformed(e.to_string()))
}

/// Deflates bytes.
///
/// # Errors
///
/// [`RpcError::Malformed`] if the encoder fails.
pub fn deflate_bytes(bytes: &[u8]) -> Result<Vec<u8>, RpcError> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    let written = encoder.write_all(bytes).and_then(|()| encoder.finish());
    written.map_err(|e| RpcError::Malformed(e.to_string()))
}

/// Inflates at most 4 MiB.
///
/// # Errors
///
/// [`RpcError::Malformed`] or [`RpcError::TooLarge`].
pub fn inflate_bytes(bytes: &[u8]) -> Result<Vec<u8>, RpcError> {
    inflate_within(bytes, MAX_INFLATED_BYTES)
}

/// Inflates at most `max_bytes`.
///
/// # Errors
///
/// [`RpcError::Malformed`] or [`RpcError::TooLarge`].
pub fn inflate_within(bytes: &[u8], max_bytes: usize) -> Result<Vec<u8>, RpcError> {
    let mut plain = Vec::new();
    let mut limited = DeflateDecoder::new(bytes).take(max_bytes as u64 + 1);
    match limited.read_to_end(&mut plain) {
        Ok(n) if n > max_bytes => Err(RpcError::TooLarge(max_bytes)),
        Ok(_) => Ok(plain),
        Err(e) => Err(RpcError::Malformed(e.to_string())),
    }
}
