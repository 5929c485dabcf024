//! Numeric identifiers: revisions, epochs, attempts, incarnations and request ids.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A point in time or a duration, in milliseconds of the caller's monotonic clock.
pub type Millis = u64;

macro_rules! number {
    ($(#[$doc:meta])* $name:ident($int:ty)) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $int);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }
    };
}

number! {
    /// Revision that the platform's store gives to a stored value, monotonic; 0 means absent.
    Revision(u64)
}
number! {
    /// Number of a placement; orders with an older epoch are refused.
    Epoch(u64)
}
number! {
    /// Number of an attempt within one request, counted from 1.
    Attempt(u32)
}
number! {
    /// One run of a node process; a random number drawn at startup.
    Incarnation(u64)
}

impl Revision {
    /// Low bits that hold the number within an era; the era takes the bits above. They last for
    /// nine years at a million changes per second.
    const NUMBER_BITS: u32 = 48;
    /// Highest era that can be represented.
    pub const MAX_ERA: u64 = (1 << (64 - Self::NUMBER_BITS)) - 1;

    /// Combines an era with the store's number within it.
    ///
    /// The era counts how often the store was restored from an older copy of itself. Numbers of
    /// different eras are not comparable, so every revision of a later era counts as higher.
    ///
    /// # Examples
    ///
    /// ```
    /// use heathpitch_core::Revision;
    ///
    /// assert!(Revision::new(2, 90) > Revision::new(1, 140));
    /// assert_eq!(Revision::new(0, 7), Revision(7));
    /// ```
    pub fn new(era: u64, number: u64) -> Self {
        let number = number.min((1 << Self::NUMBER_BITS) - 1);
        Self(era.min(Self::MAX_ERA) << Self::NUMBER_BITS | number)
    }

    /// How often the store had been restored from an older copy.
    pub fn era(self) -> u64 {
        self.0 >> Self::NUMBER_BITS
    }

    /// The store's number within its era.
    pub fn number(self) -> u64 {
        self.0 & ((1 << Self::NUMBER_BITS) - 1)
    }
}

impl Attempt {
    /// The attempt after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Id that a node assigns to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId {
    /// Incarnation of the node that assigned the id.
    pub node: Incarnation,
    /// Serial number within that incarnation.
    pub serial: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:x}", self.node.0, self.serial)
    }
}
