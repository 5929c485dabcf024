//! When rejected callers return.

use heathpitch_core::Millis;

use crate::retry_schedule::{MAX_WAIT_SHARE, MIN_DELAY_MS};
use crate::retry_slots::SLOT_MS;
use crate::sharing::RETURNING_AGE_MS;

/// How a returned caller kept to its retry time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryResult {
    /// Within the times that are promised.
    OnTime,
    /// Before the earliest promised time.
    Early,
    /// After the latest promised time.
    Late,
    /// Rejected a second time.
    Again,
}

impl RetryResult {
    /// Result of a call that is `age_ms` old at a route whose callers usually wait for `usual_ms`;
    /// none for a first try.
    ///
    /// # Examples
    ///
    /// ```
    /// use heathpitch_policy::RetryResult;
    ///
    /// assert_eq!(RetryResult::of(300, 20_000, true), None);
    /// assert_eq!(RetryResult::of(1_500, 20_000, false), Some(RetryResult::Early));
    /// assert_eq!(RetryResult::of(3_000, 20_000, false), Some(RetryResult::OnTime));
    /// assert_eq!(RetryResult::of(9_000, 20_000, false), Some(RetryResult::Late));
    /// assert_eq!(RetryResult::of(3_000, 20_000, true), Some(RetryResult::Again));
    /// ```
    pub fn of(age_ms: Millis, usual_ms: Millis, refused: bool) -> Option<Self> {
        let most = (usual_ms as f64 * MAX_WAIT_SHARE) as Millis;
        let (earliest, latest) = (MIN_DELAY_MS.min(most / 2), most + SLOT_MS);
        match age_ms {
            age if age < RETURNING_AGE_MS => None,
            _ if refused => Some(Self::Again),
            age if age > latest => Some(Self::Late),
            age if age < earliest => Some(Self::Early),
            _ => Some(Self::OnTime),
        }
    }

    /// Name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::OnTime => "on_time",
            Self::Early => "early",
            Self::Late => "late",
            Self::Again => "again",
        }
    }
}
