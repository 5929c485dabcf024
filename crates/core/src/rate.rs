//! Requests a second.

use std::fmt;

use serde::{Serialize, Serializer};

/// Parts that a request is counted in.
const PARTS: f64 = 1e3;

/// Largest rate, thousandths of a request a second: beyond what any engine takes.
const MOST: u64 = 10_000_000_000_000_000;

/// Requests a second, to a thousandth, and at most 10^13.
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
    /// So many requests a second; none for what is no number from 0 on.
    pub fn per_second(requests: f64) -> Option<Self> {
        (requests >= 0.0).then(|| Self::from_thousandths((requests * PARTS).floor() as u64))
    }

    /// The same in thousandths.
    pub const fn from_thousandths(parts: u64) -> Self {
        Self(if parts < MOST { parts } else { MOST })
    }

    /// A rate that there may be as one number: thousandths and one more, 0 for none.
    pub const fn pack(rate: Option<Self>) -> u64 {
        match rate {
            Some(rate) => rate.0 + 1,
            None => 0,
        }
    }

    /// Reads such a number.
    pub const fn unpack(packed: u64) -> Option<Self> {
        match packed.checked_sub(1) {
            Some(parts) => Some(Self::from_thousandths(parts)),
            None => None,
        }
    }

    /// Requests a second.
    pub fn as_f64(self) -> f64 {
        self.0 as f64 / PARTS
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
