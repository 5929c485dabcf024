//! What one engine says of the requests a second that it takes from all nodes together.
//!
//! An answer that names a limit binds from the moment its head is read. Answers come in another order than
//! they were given, so one takes back what an earlier one said only if its request was sent after that: a lower limit
//! holds at once, a higher one and the end of any only then, and the end only once answers have named none for
//! a while. An engine that is held to its limit for a moment too long loses little; one that is not may fall.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use heathpitch_core::{Millis, Rate};

/// Time for which answers have to name none until a limit is over, milliseconds: some answers may lack it.
const ENDS_AFTER: Millis = 500;

/// What one engine says that it takes; shared by threads without a lock.
///
/// # Examples
///
/// ```
/// use heathpitch_core::Rate;
/// use heathpitch_policy::EngineLimit;
///
/// let limit = EngineLimit::default();
/// assert!(limit.name(Rate::from_thousandths(3_600), 100, 130));
/// assert!(!limit.omit(90, 140), "sent before it was named");
/// assert!(!limit.omit(200, 230) && !limit.omit(300, 330));
/// assert!(limit.omit(700, 730));
/// assert_eq!(limit.rate(), None);
/// ```
#[derive(Debug, Default)]
pub struct EngineLimit {
    /// Thousandths of a request a second, and one more; 0 without a limit.
    rate: AtomicU64,
    /// When that changed last.
    changed: AtomicU64,
    /// When an answer to this node named one last.
    named: AtomicU64,
    /// Since when answers to this node name none although there is one; 0 if the last did.
    silent: AtomicU64,
}

/// # What answers say
impl EngineLimit {
    /// Takes an answer that came at `now`, to a request sent at `sent`, and names a limit; gives whether that
    /// changes it.
    pub fn name(&self, rate: Rate, sent: Millis, now: Millis) -> bool {
        self.named.fetch_max(now, Relaxed);
        self.silent.store(0, Relaxed);
        match self.rate() {
            Some(known) if rate == known => false,
            Some(known) if rate > known && sent < self.changed.load(Relaxed) => false,
            _ => self.set(Some(rate), now),
        }
    }

    /// Takes an answer that names none; gives whether that ends a limit.
    pub fn omit(&self, sent: Millis, now: Millis) -> bool {
        if self.rate().is_none() || sent < self.named.load(Relaxed) {
            return false;
        }
        // The first of them begins the time.
        let _ = self.silent.compare_exchange(0, now.max(1), Relaxed, Relaxed);
        let over = now >= self.silent.load(Relaxed) + ENDS_AFTER;
        over && self.set(None, now)
    }

    fn set(&self, rate: Option<Rate>, at: Millis) -> bool {
        self.changed.store(at, Relaxed);
        self.silent.store(0, Relaxed);
        self.rate.store(rate.map_or(0, |r| r.thousandths() + 1), Relaxed);
        true
    }
}

/// # Reading
impl EngineLimit {
    /// The limit, if there is one.
    pub fn rate(&self) -> Option<Rate> {
        self.rate.load(Relaxed).checked_sub(1).map(Rate::from_thousandths)
    }

    /// How long ago the limit changed, or ended.
    pub fn age(&self, now: Millis) -> Millis {
        now.saturating_sub(self.changed.load(Relaxed))
    }
}
