//! What one engine asked this node for: rest, no new work because it leaves, or no more than its limit of all nodes.
//!
//! The one place that decides whether anything that takes a slot may go to an engine: calls, second tries,
//! streams taken up there, checks. An answer's wish binds from the moment its head is read, on whatever
//! call it came, and outlives the call.
//!
//! A rest is the node's alone: told to all, it would leave slots unused. After it the engine is taken up again by one
//! request at a time, and by one more with each that it answers up to half of what was there when it turned one
//! away, then by one a round, so that neither this node's callers nor all nodes come back at one moment.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering::Relaxed};

use heathpitch_core::Millis;

use crate::{EngineLimit, Right};

/// Part of a rest by which it is made longer, by a drawn share: nodes that were turned away together do not
/// come back together.
const SPREAD: f64 = 0.1;
/// One request, in the unit that room is counted in.
const ONE: u32 = 256;
/// Time after a rest for which what an engine bears is remembered, milliseconds: some of the rests that are usually
/// asked for, so that a load which stays is not met anew after each.
const REMEMBERED: Millis = 10_000;

/// What one engine asked this node for; shared by threads without a lock.
///
/// # Examples
///
/// ```
/// use std::sync::Arc;
/// use heathpitch_policy::Backpressure;
///
/// let wish = Arc::new(Backpressure::default());
/// wish.pause(3_000, 0.0, 10);
/// assert_eq!(wish.pause_left(1_010), Some(2_000));
/// assert!(wish.admit(None, 3_009).is_none());
/// let first = wish.admit(None, 3_010);
/// assert!(first.is_some() && wish.admit(None, 3_010).is_none(), "one at first");
/// ```
#[derive(Debug, Default)]
pub struct Backpressure {
    /// End of the rest; 0 if none was asked for, or the engine is taken up again since.
    until: AtomicU64,
    /// Requests without an answer.
    open: AtomicU32,
    /// How many of these there may be since the rest is over.
    room: AtomicU32,
    /// Room up to which it doubles.
    quick: AtomicU32,
    leaves: AtomicBool,
    limit: EngineLimit,
}

/// # Wishes
impl Backpressure {
    /// Takes a wish for rest of an answer that came at `now`; `draw`, from 0 to 1, spreads its end.
    ///
    /// The latest end holds: an answer that comes later and asks for less takes nothing back.
    pub fn pause(&self, time: Millis, draw: f64, now: Millis) {
        let spread = (time as f64 * SPREAD * draw.clamp(0.0, 1.0)) as Millis;
        let open = self.open.load(Relaxed);
        if self.pause_left(now).is_none() {
            self.quick.store(open * ONE / 2, Relaxed);
        }
        self.room.store(ONE, Relaxed);
        self.until.fetch_max(now.saturating_add(time).saturating_add(spread).max(1), Relaxed);
    }

    /// Takes note that it leaves; gives whether that is new.
    pub fn start_drain(&self) -> bool {
        !self.leaves.swap(true, Relaxed)
    }

    /// Takes note that it does not leave after all.
    pub fn cancel_drain(&self) {
        self.leaves.store(false, Relaxed);
    }

    /// Takes note that it answered a request sent after its rest, and turned nothing away.
    pub fn record_success(&self, now: Millis) {
        let until = self.until.load(Relaxed);
        if until == 0 || now < until {
            return;
        }
        let room = self.room.load(Relaxed).max(ONE);
        let more = if room < self.quick.load(Relaxed) { ONE } else { ONE * ONE / room };
        self.room.store(room + more, Relaxed);
        if now >= until + REMEMBERED {
            // A rest that is asked for meanwhile holds.
            let _ = self.until.compare_exchange(until, 0, Relaxed, Relaxed);
        }
    }
}

/// # Reading
impl Backpressure {
    /// Time left of its rest at `now`, if it rests.
    pub fn pause_left(&self, now: Millis) -> Option<Millis> {
        self.until.load(Relaxed).checked_sub(now).filter(|left| *left > 0)
    }

    /// What it says of the requests that it takes from all nodes together.
    pub fn limit(&self) -> &EngineLimit {
        &self.limit
    }

    /// Whether it said that it leaves.
    pub fn is_draining(&self) -> bool {
        self.leaves.load(Relaxed)
    }

    /// Whether a request may go there at `now`, if it has a right or is handed out one.
    pub fn admits(&self, now: Millis) -> bool {
        !self.is_draining() && self.has_capacity(now) && self.limit.wait_left(now).is_none()
    }

    /// Whether it bears one request more: it does not rest, nor has as many as it takes since.
    fn has_capacity(&self, now: Millis) -> bool {
        let until = self.until.load(Relaxed);
        let room = || self.open.load(Relaxed) * ONE < self.room.load(Relaxed);
        until == 0 || (now >= until && room())
    }

    /// Whether anything of it has to be kept, though the engine is off the list.
    pub fn is_active(&self, now: Millis) -> bool {
        self.is_draining() || self.pause_left(now).is_some()
    }

    /// Admits a request that is about to be sent at `now`, and counts it until its answer has come, or it is
    /// given up. An engine that names a limit takes only one with a right.
    pub fn admit(self: &Arc<Self>, right: Option<&mut Right>, now: Millis) -> Option<Admission> {
        (!self.is_draining()).then(|| self.admit_probe(right, now)).flatten()
    }

    /// The same for a check, which an engine that leaves may be asked too.
    pub fn admit_probe(
        self: &Arc<Self>,
        right: Option<&mut Right>,
        now: Millis,
    ) -> Option<Admission> {
        (self.has_capacity(now) && self.passes(right, now)).then(|| self.count(now))
    }

    /// Admits a request to pass through the engine, behind the first of its path, at `now`.
    pub fn pass(self: &Arc<Self>, right: Option<&mut Right>, now: Millis) -> bool {
        let passes = !self.is_draining() && self.passes(right, now);
        if passes {
            self.limit.sent(now);
        }
        passes
    }

    fn passes(self: &Arc<Self>, right: Option<&mut Right>, now: Millis) -> bool {
        // One that is not needed goes back.
        self.limit.rate().is_none() || right.is_some_and(|r| r.spend(self, now))
    }

    fn count(self: &Arc<Self>, now: Millis) -> Admission {
        self.limit.sent(now);
        self.open.fetch_add(1, Relaxed);
        Admission(self.clone())
    }
}

/// A request at an engine that has not answered it.
#[derive(Debug)]
pub struct Admission(Arc<Backpressure>);

impl Drop for Admission {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Relaxed);
    }
}
