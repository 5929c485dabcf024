//! Admission of streams when capacity runs short, by rank, client account and age.
//!
//! Each rank has a limit on the pressure of the chosen path. The headroom that less urgent ranks
//! leave serves the more urgent ones, since pressure is known with a delay. The part of an account's
//! streams that exceeds its share has a lower limit than the rest. Below the limits every stream is
//! admitted, so idle capacity is lent.
//!
//! The admission probability falls with the pressure instead of jumping from 1 to 0, so that nodes
//! that see the same pressure don't all switch at once. It never reaches zero: no rank or account
//! may be served less than a quarter as often as the others.

use heathpitch_core::Millis;

use crate::{Pressure, ShedReason};

/// Pressure up to which the most urgent rank is admitted: there the first event is expected at the
/// latency target.
const URGENT_LIMIT: f64 = 1.0;
/// Pressure by which the limit of each further rank is lower.
const RANK_STEP: f64 = 0.15;
/// Least limit of a rank, a pressure at which capacity is still free.
const MIN_LIMIT: f64 = 0.6;
/// Pressure by which the limit is lower for what exceeds an account's share.
const EXCESS_STEP: f64 = 0.25;
/// Pressure beyond a limit over which the admission probability falls to the floor.
const SPAN: f64 = 0.1;
/// Least admission probability of the most urgent rank: the streams still admitted show whether the
/// pressure has fallen.
const URGENT_FLOOR: f64 = 0.1;
/// Least admission probability of other ranks and of excess requests, relative to the most urgent
/// rank: callers must not be served less than a quarter as often as the average.
const FLOOR_SHARE: f64 = 0.25;
/// Age from which a caller is returning after a rejection: a first try reaches a node sooner. The
/// shortest promised time is 2 s, and a third of a caller's remaining time may be less.
pub(crate) const RETURNING_AGE_MS: Millis = 1_000;
/// Bounds the pressure that returns add: more would reject new streams for returns that may not
/// come.
pub(crate) const MAX_DUE: f64 = 0.2;

/// A stream to be admitted or refused.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::{Pressure, SharingQuery, ShedReason};
///
/// let pressure = Pressure { memory: 0.5, start: 0.97 };
/// let urgent = SharingQuery { pressure, ..SharingQuery::default() };
/// assert_eq!(urgent.admit(0.9), Ok(()));
/// let other = SharingQuery { position: 1, ..urgent };
/// assert_eq!(other.admit(0.9), Err(ShedReason::Rank));
/// assert_eq!(other.admit(0.2), Ok(()), "a quarter is admitted at any pressure");
/// let returning = SharingQuery { age_ms: 2_000, ..other };
/// assert_eq!(returning.admit(0.9), Ok(()));
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharingQuery {
    /// Load of the chosen path.
    pub pressure: Pressure,
    /// Position of its rank among those of the service's streams; 0 is the most urgent.
    pub position: usize,
    /// Part of its account's requests that is within the account's share, 0 to 1.
    pub fraction: f64,
    /// Time since its caller first asked, milliseconds.
    pub age_ms: Millis,
    /// Whether it resumes a stream that has started.
    pub started: bool,
    /// Pressure expected from returning callers.
    pub due: f64,
}

impl Default for SharingQuery {
    /// A new stream of the most urgent rank, within its account's share, at an idle path.
    fn default() -> Self {
        Self {
            pressure: Pressure::default(),
            position: 0,
            fraction: 1.0,
            age_ms: 0,
            started: false,
            due: 0.0,
        }
    }
}

/// # Decision
impl SharingQuery {
    /// Decides by a random `draw` in `0.0..1.0`.
    ///
    /// # Errors
    ///
    /// The reason, which is the rule without which the same draw would admit the stream.
    pub fn admit(&self, draw: f64) -> Result<(), ShedReason> {
        let Pressure { memory, start } = self.pressure;
        match draw {
            _ if self.started => Ok(()),
            draw if draw < self.probability() => Ok(()),
            draw if draw < self.admission(self.rank_limit()) => Err(ShedReason::Account),
            draw if draw < urgent_admission(self.pressure.level()) => Err(ShedReason::Rank),
            _ if memory > start => Err(ShedReason::Full),
            _ => Err(ShedReason::Late),
        }
    }

    /// Admission probability, 0 to 1.
    pub fn probability(&self) -> f64 {
        let limit = self.rank_limit();
        match () {
            () if self.started => 1.0,
            () if self.is_returning() => self.admission(limit),
            () => {
                let within = self.fraction.clamp(0.0, 1.0);
                let excess = self.admission(limit - EXCESS_STEP);
                within * self.admission(limit) + (1.0 - within) * excess
            }
        }
    }

    /// Pressure up to which its rank is admitted.
    pub fn rank_limit(&self) -> f64 {
        match self.position {
            0 => URGENT_LIMIT,
            _ if self.is_returning() => URGENT_LIMIT,
            position => (URGENT_LIMIT - RANK_STEP * position as f64).max(MIN_LIMIT),
        }
    }

    /// Whether its caller returns after a rejection.
    pub fn is_returning(&self) -> bool {
        self.age_ms >= RETURNING_AGE_MS
    }

    /// Pressure that counts for this stream: new streams of less urgent ranks leave room for
    /// returning callers.
    fn level(&self) -> f64 {
        let level = self.pressure.level();
        match self.position {
            0 => level,
            _ if self.is_returning() => level,
            _ => level + self.due.clamp(0.0, MAX_DUE),
        }
    }
    /// Admission probability with this limit.
    fn admission(&self, limit: f64) -> f64 {
        let urgent = urgent_admission(self.pressure.level());
        match limit < URGENT_LIMIT {
            true => falling(self.level() - limit, urgent * FLOOR_SHARE),
            false => urgent,
        }
    }
}

/// Admission probability of the most urgent rank.
fn urgent_admission(level: f64) -> f64 {
    falling(level - URGENT_LIMIT, URGENT_FLOOR)
}

/// Falls from 1 to `floor` as the pressure `beyond` a limit grows.
fn falling(beyond: f64, floor: f64) -> f64 {
    1.0 - (beyond / SPAN).clamp(0.0, 1.0) * (1.0 - floor)
}
