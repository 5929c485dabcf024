//! The node's clocks: one that counts on while the VM is suspended, one of the wall.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use heathpitch_core::{Incarnation, Millis};
use heathpitch_policy::Clocks;
use nix::time::{ClockId, clock_gettime};

/// Bits of an incarnation below its time.
const RANDOM_BITS: u32 = 20;
/// Time shown at the start of a clock, milliseconds, so that no time is 0.
const START: Millis = 1_000;

/// Milliseconds since the node started, those in which the VM was suspended included.
///
/// Everything that decides on authority, freshness or time left goes by it; timers go by the steady
/// clock, and a gateway sets them anew once the VM goes on (`Shared::reached`).
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    boot: Duration,
    steady: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub(crate) fn start() -> Self {
        Self { boot: since_boot(), steady: Instant::now() }
    }

    /// Now.
    pub(crate) fn now(&self) -> Millis {
        self.clocks().now()
    }

    /// Both clocks, as they are now.
    pub(crate) fn clocks(&self) -> Clocks {
        let boot = since_boot().saturating_sub(self.boot);
        let millis = |time: Duration| time.as_millis() as Millis + START;
        Clocks { boot: millis(boot) + seam::shifted(), monotonic: millis(self.steady.elapsed()) }
    }

    /// The instant of a time of this clock, if the VM is not suspended before.
    pub(crate) fn instant(&self, at: Millis) -> tokio::time::Instant {
        let left = Duration::from_millis(at.saturating_sub(self.now()));
        tokio::time::Instant::now() + left
    }
}

/// Time since the VM's boot; that of the steady clock where the system has no such clock.
fn since_boot() -> Duration {
    match clock_gettime(ClockId::CLOCK_BOOTTIME)
        .or_else(|_| clock_gettime(ClockId::CLOCK_MONOTONIC))
    {
        Ok(time) => time.into(),
        Err(e) => {
            log::error!("no clock counts the time since boot: {e}");
            Duration::ZERO
        }
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

#[cfg(feature = "seams")]
pub(crate) use seam::suspend;

/// Lets a test have the VM seem suspended: the clock jumps ahead, timers do not.
#[cfg(feature = "seams")]
mod seam {
    use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

    use heathpitch_core::Millis;

    /// Time of one suspension, milliseconds.
    const SUSPENSION: Millis = 10_000;

    static SHIFT: AtomicU64 = AtomicU64::new(0);

    pub(super) fn shifted() -> Millis {
        SHIFT.load(Relaxed)
    }

    /// Suspends the VM, as far as the node can tell.
    pub(crate) fn suspend() {
        SHIFT.fetch_add(SUSPENSION, Relaxed);
    }
}

#[cfg(not(feature = "seams"))]
mod seam {
    pub(super) const fn shifted() -> heathpitch_core::Millis {
        0
    }
}
