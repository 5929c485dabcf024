//! Load of one failure domain, as the reports of its engines show it.

use heathpitch_core::{Millis, Name};

use crate::Pressure;
use crate::engine_stats::REPORT_TTL_MS;

/// Load of the engines of one service in one failure domain.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::{DomainLoad, Pressure};
///
/// let pressure = Pressure { memory: 0.4, start: 0.3 };
/// let load =
///     DomainLoad { domain: "north".parse()?, pressure, capacity: 1e6, age: 700, is_late: false };
/// assert!(load.is_known());
/// assert_eq!(load.free(), 0.6e6);
/// # Ok::<(), heathpitch_core::NameError>(())
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct DomainLoad {
    /// Failure domain.
    pub domain: Name,
    /// Pressure of the best path that lies in the domain.
    pub pressure: Pressure,
    /// Tokens of requests that the domain's paths hold at a pressure of 1.0.
    pub capacity: f64,
    /// Age of the newest report of its engines, milliseconds.
    pub age: Millis,
    /// Whether its best path would miss the latency target or the maximum pause.
    pub is_late: bool,
}

impl DomainLoad {
    /// Whether the reports are recent enough to decide by them.
    pub fn is_known(&self) -> bool {
        self.age <= REPORT_TTL_MS && self.capacity > 0.0 && self.pressure.level().is_finite()
    }

    /// Whether the domain may take calls of other domains.
    pub fn takes_calls(&self) -> bool {
        self.is_known() && !self.is_late && self.pressure.level() < 1.0
    }

    /// Capacity that is not used, tokens.
    pub fn free(&self) -> f64 {
        (1.0 - self.pressure.level()).max(0.0) * self.capacity
    }
}
