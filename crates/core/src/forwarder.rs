//! Nodes that take calls of other nodes.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use crate::Name;

/// Bytes of a [`ForwardToken`].
const TOKEN_BYTES: usize = 16;

/// Secret of one node incarnation, which other nodes present with the calls that they forward to it.
///
/// # Examples
///
/// ```
/// use heathpitch_core::ForwardToken;
///
/// let token = ForwardToken::new([7; 16]);
/// assert_eq!(token.to_text().parse(), Ok(token));
/// assert!("07".parse::<ForwardToken>().is_err());
/// ```
#[derive(Clone, Copy)]
pub struct ForwardToken([u8; TOKEN_BYTES]);

/// Why a string is not a [`ForwardToken`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a token has {} hex digits", 2 * TOKEN_BYTES)]
pub struct ForwardTokenError;

/// A node that takes calls of other nodes, as it describes itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Forwarder {
    /// The node.
    pub node: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Address that it takes calls at.
    pub address: SocketAddr,
    /// Token that it expects.
    pub token: ForwardToken,
    /// Calls open there.
    pub open: u32,
    /// Services that it does not reach or has no engines of.
    pub unserved: Vec<Name>,
}

/// # Conversions
impl ForwardToken {
    /// A token of these random bytes.
    pub fn new(bytes: [u8; TOKEN_BYTES]) -> Self {
        Self(bytes)
    }

    /// The token as bytes.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }

    /// The token from bytes; none if there are too few or too many.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// The token in hex.
    pub fn to_text(&self) -> String {
        self.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

impl PartialEq for ForwardToken {
    /// Takes the same time wherever the tokens differ.
    fn eq(&self, other: &Self) -> bool {
        self.0.iter().zip(other.0).fold(0, |all, (a, b)| all | (a ^ b)) == 0
    }
}

impl Eq for ForwardToken {}

impl fmt::Debug for ForwardToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ForwardToken(..)")
    }
}

impl FromStr for ForwardToken {
    type Err = ForwardTokenError;

    fn from_str(text: &str) -> Result<Self, ForwardTokenError> {
        let digits = text.as_bytes();
        if digits.len() != 2 * TOKEN_BYTES {
            return Err(ForwardTokenError);
        }
        let mut bytes = [0; TOKEN_BYTES];
        for (byte, pair) in bytes.iter_mut().zip(digits.chunks(2)) {
            let pair = std::str::from_utf8(pair).map_err(|_| ForwardTokenError)?;
            *byte = u8::from_str_radix(pair, 16).map_err(|_| ForwardTokenError)?;
        }
        Ok(Self(bytes))
    }
}
