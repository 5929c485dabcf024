//! Numbers that order things: revisions, epochs, attempts, incarnations.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A point in time or a span, in milliseconds of the caller's monotone clock.
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
    /// The platform's own monotone number of a stored value; 0 means absent.
    Revision(u64)
}
number! {
    /// Number of a placement: orders of an older epoch are refused.
    Epoch(u64)
}
number! {
    /// Number of an attempt within one request, from 1.
    Attempt(u32)
}
number! {
    /// One life of a node process, drawn at random at start.
    Incarnation(u64)
}

impl Revision {
    /// Bits of the number within one era; the era stands above them. At a million changes a second they last for
    /// nine years.
    const NUMBER: u32 = 48;
    /// Highest era that can be told apart.
    pub const MAX_ERA: u64 = (1 << (64 - Self::NUMBER)) - 1;

    /// The store's number within an era: how often the store has come back from an older copy of itself.
    ///
    /// Numbers of two eras say nothing of each other, so any of a later era counts as the higher one.
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
        let number = number.min((1 << Self::NUMBER) - 1);
        Self(era.min(Self::MAX_ERA) << Self::NUMBER | number)
    }

    /// The era.
    pub fn era(self) -> u64 {
        self.0 >> Self::NUMBER
    }

    /// The store's number within its era.
    pub fn number(self) -> u64 {
        self.0 & ((1 << Self::NUMBER) - 1)
    }
}

impl Attempt {
    /// The attempt after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// An id that the node mints for each request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId {
    /// Node life that minted the id.
    pub node: Incarnation,
    /// Count within that life.
    pub serial: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:x}", self.node.0, self.serial)
    }
}
