//! Admission of streams when capacity runs short, by rank, client account and age.
//!
//! Each rank leaves headroom below the limits on the pressure of the chosen path, the more of the recent
//! demand is more urgent. The headroom that less urgent ranks leave serves the more urgent ones, since
//! pressure is known with a delay. The part of an account's
//! streams that exceeds its share has a lower limit than the rest. Below the limits every stream is
//! admitted, so idle capacity is lent.
//!
//! The admission probability falls with the pressure instead of jumping from 1 to 0, so that nodes
//! that see the same pressure don't all switch at once. It never reaches zero: no rank or account
//! may be served less than a quarter as often as the others.

use heathpitch_core::Millis;

use crate::{Pressure, ShedReason};

/// Memory pressure up to which the most urgent rank is admitted: there the capacity is used up.
const MEMORY_LIMIT: f64 = 1.0;
/// Memory pressure beyond the limit over which the admission probability falls to the floor.
const MEMORY_SPAN: f64 = 0.1;
/// Start pressure from which streams of the most urgent rank are shed: the wait is known with a delay,
/// and grows meanwhile.
const START_LIMIT: f64 = 0.7;
/// Start pressure beyond the limit over which the admission probability falls to the floor: each
/// stream that is shed shortens the wait of the others.
const START_SPAN: f64 = 0.8;
/// Headroom of a rank if all other demand is more urgent; in between it is in proportion to the
/// demand that it protects.
const RANK_HEADROOM: f64 = 0.3;
/// Part of the headroom that applies to memory: memory that is kept free serves nobody, while a shorter
/// wait serves everyone. With all of it, a burst was served less well than without ranks.
const MEMORY_PART: f64 = 1.0 / 3.0;
/// Further headroom for what exceeds an account's share.
const EXCESS_HEADROOM: f64 = 0.25;
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
/// let pressure = Pressure { memory: 0.4, start: 0.7 };
/// let urgent = SharingQuery { pressure, ..SharingQuery::default() };
/// assert_eq!(urgent.admit(0.9), Ok(()));
/// let other = SharingQuery { urgent_share: 0.5, ..urgent };
/// assert_eq!(other.admit(0.9), Err(ShedReason::Rank));
/// assert_eq!(other.admit(0.2), Ok(()), "a quarter is admitted at any pressure");
/// let returning = SharingQuery { age_ms: 2_000, ..other };
/// assert_eq!(returning.admit(0.9), Ok(()));
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharingQuery {
    /// Load of the chosen path.
    pub pressure: Pressure,
    /// Part of the service's recent demand that is more urgent, 0 to 1.
    pub urgent_share: f64,
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
            urgent_share: 0.0,
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
            draw if draw < self.admission(self.headroom()) => Err(ShedReason::Account),
            draw if draw < urgent_admission(self.pressure) => Err(ShedReason::Rank),
            _ if memory > start => Err(ShedReason::Full),
            _ => Err(ShedReason::Late),
        }
    }

    /// Admission probability, 0 to 1.
    pub fn probability(&self) -> f64 {
        let headroom = self.headroom();
        match () {
            () if self.started => 1.0,
            () if self.is_returning() => self.admission(headroom),
            () => {
                let within = self.fraction.clamp(0.0, 1.0);
                let excess = self.admission(headroom + EXCESS_HEADROOM);
                within * self.admission(headroom) + (1.0 - within) * excess
            }
        }
    }

    /// Pressure that its rank leaves to more urgent ones.
    pub fn headroom(&self) -> f64 {
        match self.is_returning() {
            true => 0.0,
            false => RANK_HEADROOM * self.urgent_share.clamp(0.0, 1.0),
        }
    }

    /// Whether its caller returns after a rejection.
    pub fn is_returning(&self) -> bool {
        self.age_ms >= RETURNING_AGE_MS
    }

    /// Admission probability with this headroom.
    fn admission(&self, headroom: f64) -> f64 {
        let urgent = urgent_admission(self.pressure);
        if headroom <= 0.0 {
            return urgent;
        }
        let Pressure { memory, start } = self.pressure;
        let raise = headroom + self.due_pressure();
        let raised = Pressure { memory: memory + raise * MEMORY_PART, start: start + raise };
        urgent_admission(raised).min(urgent).max(urgent * FLOOR_SHARE)
    }

    /// Pressure of returning callers that counts for this stream: new streams of less urgent ranks
    /// leave room for them.
    fn due_pressure(&self) -> f64 {
        match self.urgent_share > 0.0 && !self.is_returning() {
            true => self.due.clamp(0.0, MAX_DUE),
            false => 0.0,
        }
    }
}

/// Admission probability of the most urgent rank.
fn urgent_admission(pressure: Pressure) -> f64 {
    let memory = falling(pressure.memory, MEMORY_LIMIT, MEMORY_SPAN);
    memory.min(falling(pressure.start, START_LIMIT, START_SPAN)).max(URGENT_FLOOR)
}

/// Falls from 1 at `limit` to 0 over `span`.
fn falling(level: f64, limit: f64, span: f64) -> f64 {
    1.0 - ((level - limit) / span).clamp(0.0, 1.0)
}
