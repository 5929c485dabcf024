//! The node's clocks: one monotone, one of the wall.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use heathpitch_core::{Incarnation, Millis};

/// Bits of an incarnation below its time.
const RANDOM_BITS: u32 = 20;

/// Milliseconds since the node started.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock(Instant);

impl Clock {
    /// A clock that starts now, a second in, so that no time is 0.
    pub(crate) fn start() -> Self {
        Self(Instant::now())
    }

    /// Now.
    pub(crate) fn now(&self) -> Millis {
        self.0.elapsed().as_millis() as Millis + 1_000
    }

    /// The instant of a time of this clock.
    pub(crate) fn instant(&self, at: Millis) -> tokio::time::Instant {
        let since = Duration::from_millis(at.saturating_sub(1_000));
        tokio::time::Instant::from_std(self.0 + since)
    }
}

/// Wall-clock time, milliseconds since 1970.
pub(crate) fn wall() -> Millis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as Millis)
}

/// A number for this life: later lives have higher ones, and two never have the same.
pub(crate) fn incarnation() -> Incarnation {
    let random: u64 = rand::random_range(0..1 << RANDOM_BITS);
    Incarnation((wall() << RANDOM_BITS) | random)
}
