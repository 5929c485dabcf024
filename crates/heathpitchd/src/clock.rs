//! Clocks of the node: one that includes time in which the VM is suspended, and the wall clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use heathpitch_core::{Incarnation, Millis};
use heathpitch_policy::Clocks;
use nix::time::{ClockId, clock_gettime};

/// Random low bits of an incarnation, below its start time.
const RANDOM_BITS: u32 = 20;
/// Value at the start of a clock, so that no time is 0.
const START_MS: Millis = 1_000;

/// Milliseconds since the node started, including time in which the VM was suspended.
///
/// Leases, freshness and deadlines are measured with this clock. Timers run on the monotonic clock,
/// and a gateway re-arms them after the VM resumes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    boot_start: Duration,
    started: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub(crate) fn start() -> Self {
        Self { boot_start: since_boot(), started: Instant::now() }
    }

    /// Current time.
    pub(crate) fn now(&self) -> Millis {
        self.clocks().now()
    }

    /// Current readings of both clocks.
    pub(crate) fn clocks(&self) -> Clocks {
        let boot = since_boot().saturating_sub(self.boot_start);
        let millis = |time: Duration| time.as_millis() as Millis + START_MS;
        Clocks { boot: millis(boot) + seam::offset_ms(), monotonic: millis(self.started.elapsed()) }
    }

    /// Timer instant for a time of this clock, provided that the VM is not suspended until then.
    pub(crate) fn instant(&self, at: Millis) -> tokio::time::Instant {
        let remaining = Duration::from_millis(at.saturating_sub(self.now()));
        tokio::time::Instant::now() + remaining
    }
}

/// Time since boot of the VM; falls back to the monotonic clock if the system lacks the former.
fn since_boot() -> Duration {
    match clock_gettime(ClockId::CLOCK_BOOTTIME)
        .or_else(|_| clock_gettime(ClockId::CLOCK_MONOTONIC))
    {
        Ok(time) => time.into(),
        Err(e) => {
            log::error!("cannot read the time since boot: {e}");
            Duration::ZERO
        }
    }
}

/// Wall-clock time, milliseconds since the Unix epoch.
pub(crate) fn wall() -> Millis {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |d| d.as_millis() as Millis)
}

/// A new incarnation number: later incarnations have higher numbers, and the random low bits keep
/// two incarnations from sharing one.
pub(crate) fn incarnation() -> Incarnation {
    let random: u64 = rand::random_range(0..1 << RANDOM_BITS);
    Incarnation((wall() << RANDOM_BITS) | random)
}

#[cfg(feature = "seams")]
pub(crate) use seam::suspend;

/// Simulates a suspension of the VM for tests: the clock jumps ahead, timers do not.
#[cfg(feature = "seams")]
mod seam {
    use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

    use heathpitch_core::Millis;

    /// Length of one simulated suspension.
    const SUSPENSION_MS: Millis = 10_000;

    static OFFSET_MS: AtomicU64 = AtomicU64::new(0);

    pub(super) fn offset_ms() -> Millis {
        OFFSET_MS.load(Relaxed)
    }

    /// Simulates one suspension.
    pub(crate) fn suspend() {
        OFFSET_MS.fetch_add(SUSPENSION_MS, Relaxed);
    }
}

#[cfg(not(feature = "seams"))]
mod seam {
    pub(super) const fn offset_ms() -> heathpitch_core::Millis {
        0
    }
}
