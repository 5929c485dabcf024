//! Request rates.

use std::fmt;

use serde::{Serialize, Serializer};

/// Resolution: units per request.
const UNITS_PER_REQUEST: f64 = 1e3;

/// Largest rate, in thousandths of a request per second; more than any engine can serve.
const MAX_THOUSANDTHS: u64 = 10_000_000_000_000_000;

/// A rate in requests per second, with a resolution of a thousandth and a maximum of 10^13.
///
/// # Examples
///
/// ```
/// use heathpitch_core::Rate;
///
/// let rate = Rate::per_second(3.6).unwrap();
/// assert_eq!(rate.to_string(), "3.6");
/// assert!(rate < Rate::per_second(1e9).unwrap());
/// assert_eq!(Rate::unpack(Rate::pack(Some(rate))), Some(rate));
/// assert_eq!(Rate::per_second(-1.0), None);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rate(u64);

impl Rate {
    /// Creates a rate, rounded down to a thousandth; `None` if `requests` is negative or not a
    /// number.
    pub fn per_second(requests: f64) -> Option<Self> {
        (requests >= 0.0)
            .then(|| Self::from_thousandths((requests * UNITS_PER_REQUEST).floor() as u64))
    }

    /// Creates a rate from thousandths of a request per second, capped at the maximum.
    pub const fn from_thousandths(parts: u64) -> Self {
        Self(if parts < MAX_THOUSANDTHS { parts } else { MAX_THOUSANDTHS })
    }

    /// Encodes an optional rate as one number: its thousandths plus one, or 0 for `None`.
    pub const fn pack(rate: Option<Self>) -> u64 {
        match rate {
            Some(rate) => rate.0 + 1,
            None => 0,
        }
    }

    /// Decodes a number from [`Rate::pack`].
    pub const fn unpack(packed: u64) -> Option<Self> {
        match packed.checked_sub(1) {
            Some(parts) => Some(Self::from_thousandths(parts)),
            None => None,
        }
    }

    /// Requests per second.
    pub fn as_f64(self) -> f64 {
        self.0 as f64 / UNITS_PER_REQUEST
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.as_f64())
    }
}

impl Serialize for Rate {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_f64(self.as_f64())
    }
}
