//! Why a stream is refused when capacity runs short.

use std::fmt;

/// Why a new stream is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ShedReason {
    /// A more urgent rank would be admitted.
    Rank,
    /// An account within its share would be admitted.
    Account,
    /// An engine of the path has no memory left.
    Full,
    /// The first event would come after the latency target.
    Late,
}

impl ShedReason {
    /// Every reason.
    pub const ALL: [Self; 4] = [Self::Rank, Self::Account, Self::Full, Self::Late];

    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Rank => "rank",
            Self::Account => "account",
            Self::Full => "full",
            Self::Late => "late",
        }
    }
}

impl fmt::Display for ShedReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
