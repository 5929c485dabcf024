//! Rate limit that one engine states for all nodes together, and this node's rights to send
//! requests under it.
//!
//! A limit applies as soon as the head of the response that states it is read. Responses may arrive
//! out of order, so a response relaxes an earlier one only if its request was sent after that. A
//! lower limit applies at once; a higher limit, or none, only under that condition; and a limit is
//! lifted only by two responses without one, some time after the last that stated it. Keeping a
//! limit slightly too long costs little, while ignoring one may bring the engine down.
//!
//! No node can enforce a limit on the sum over all nodes alone: each request needs a right, issued
//! by the planner of the engine's failure domain ([`Rights`](crate::Rights)). Rights expire soon,
//! so that a node resuming after a stall does not use old ones in addition to new ones. A node that
//! cannot reach an issuer issues its own: all such nodes together at most a quarter of the limit,
//! so that the rights issued to others in the meantime do not add up to more than the limit allows.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};

use heathpitch_core::{Millis, Rate};

use crate::Backpressure;
use crate::rights::target_rate;

/// Least age of the last response with a limit before two without one lift it, milliseconds: single
/// responses may omit the limit.
const LIFT_DELAY_MS: Millis = 500;
/// Lifetime of a right, milliseconds; connecting to an engine takes at most 400.
pub(crate) const RIGHT_TTL_MS: Millis = 500;
/// Share of a limit that all nodes without an issuer may issue for themselves, together.
const SELF_ISSUED_SHARE: f64 = 0.25;
/// Time for which a self-issued right waits for a request, milliseconds.
const SELF_ISSUED_TTL_MS: Millis = 1_000;
/// Interval between attempts to find an issuer, milliseconds.
const ISSUER_RETRY_MS: Millis = 300;
/// Interval over which this node's requests are counted to size the next batch of rights,
/// milliseconds.
const COUNT_INTERVAL_MS: Millis = 250;
/// Largest batch of rights to request.
const MAX_BATCH: u16 = 256;
/// Bits of a count that is packed with a time.
const COUNT_BITS: u32 = 16;
const COUNT_MASK: u64 = (1 << COUNT_BITS) - 1;

/// Rate limit of one engine; shared between threads without a lock.
///
/// # Examples
///
/// ```
/// use heathpitch_core::Rate;
/// use heathpitch_policy::EngineLimit;
///
/// let limit = EngineLimit::default();
/// assert!(limit.observe(Rate::from_thousandths(3_600), 100, 130));
/// assert!(!limit.observe_none(90, 140), "sent before the limit was stated");
/// assert!(!limit.observe_none(200, 230) && !limit.observe_none(300, 330));
/// assert!(limit.observe_none(610, 640));
/// assert_eq!(limit.rate(), None);
/// ```
#[derive(Debug, Default)]
pub struct EngineLimit {
    /// Limit, packed.
    rate: AtomicU64,
    /// Time of the last change.
    changed: AtomicU64,
    /// Time of the last response to this node that stated a limit.
    stated: AtomicU64,
    /// Whether the last response to this node omitted a limit that is in force.
    omitted: AtomicBool,
    /// Whether responses to probes state the limit, as those to calls do.
    in_probes: AtomicBool,
    /// Rights in stock, and their expiry.
    stock: AtomicU64,
    /// Time until which this node requests no rights.
    paused: AtomicU64,
    /// Time of the next self-issued right; 0 before the first.
    next_own: AtomicU64,
    /// Number of the last counting interval with requests, their count, and that of the interval
    /// before.
    counts: AtomicU64,
}

/// # Observations
impl EngineLimit {
    /// Records a response received at `now` that states a limit, to a request sent at `sent`;
    /// returns whether the limit changes.
    pub fn observe(&self, rate: Rate, sent: Millis, now: Millis) -> bool {
        self.stated.fetch_max(now, Relaxed);
        self.omitted.store(false, Relaxed);
        match self.rate() {
            Some(known) if rate == known => false,
            Some(known) if rate > known && sent < self.changed.load(Relaxed) => false,
            _ => self.set(Some(rate), now),
        }
    }

    /// Records a response that states no limit; returns whether that lifts one.
    pub fn observe_none(&self, sent: Millis, now: Millis) -> bool {
        if self.rate().is_none() || sent < self.stated.load(Relaxed) {
            return false;
        }
        let again = self.omitted.swap(true, Relaxed);
        again && now >= self.stated.load(Relaxed) + LIFT_DELAY_MS && self.set(None, now)
    }

    /// Records that a response to a probe states a limit.
    pub fn set_in_probes(&self) {
        self.in_probes.store(true, Relaxed);
    }

    /// Whether a probe response without a limit means that there is none. Engines that only serve
    /// later stages of paths answer no calls, so for them probes are the only evidence.
    pub fn is_in_probes(&self) -> bool {
        self.in_probes.load(Relaxed)
    }

    /// Applies what another node observed at `at`; returns whether the limit changes. The lifting
    /// of a limit is ignored if it may be older than the last response to this node.
    pub fn learn(&self, rate: Option<Rate>, at: Millis) -> bool {
        let newer = at > self.changed.load(Relaxed);
        let current = rate.is_some() || at > self.stated.load(Relaxed);
        newer && current && rate != self.rate() && self.set(rate, at)
    }

    fn set(&self, rate: Option<Rate>, at: Millis) -> bool {
        self.changed.store(at, Relaxed);
        self.omitted.store(false, Relaxed);
        // Rights issued under another limit are invalid.
        self.stock.store(0, Relaxed);
        self.rate.store(Rate::pack(rate), Relaxed);
        true
    }
}

/// # Rights
impl EngineLimit {
    /// Takes a right from the stock.
    pub fn take(backpressure: &Arc<Backpressure>, now: Millis) -> Option<Right> {
        let stock = &backpressure.limit().stock;
        let taken = stock.fetch_update(Relaxed, Relaxed, |s| {
            (until(s) > now && s & COUNT_MASK > 0).then(|| s - 1)
        });
        taken.ok().map(|s| Right {
            backpressure: backpressure.clone(),
            until: until(s),
            used: false,
        })
    }

    /// Adds `count` rights issued to a request sent at `sent`, and takes one; `None` if they
    /// arrived too late or another call took the last one.
    pub fn receive(
        backpressure: &Arc<Backpressure>,
        count: u16,
        sent: Millis,
        now: Millis,
    ) -> Option<Right> {
        backpressure.limit().add_rights(count, sent, now);
        Self::take(backpressure, now)
    }

    /// Adds `count` rights issued to a request sent at `sent`.
    pub fn add_rights(&self, count: u16, sent: Millis, now: Millis) {
        let end = sent + RIGHT_TTL_MS;
        let add = |stock: u64| {
            // The earlier expiry applies to all, so that none is used too late.
            let (held, end) = match stock & COUNT_MASK {
                held if held > 0 && until(stock) > now => (held, until(stock).min(end)),
                _ => (0, end),
            };
            Some((end << COUNT_BITS) | (held + u64::from(count)).min(COUNT_MASK))
        };
        // The closure never returns `None`, so this cannot fail.
        let _ = self.stock.fetch_update(Relaxed, Relaxed, add);
    }

    /// Returns a right that expires at `end` to the stock. It is dropped if the stock expires
    /// later, since it would otherwise outlive its expiry.
    fn put_back(&self, end: Millis) {
        let add = |stock: u64| match stock & COUNT_MASK {
            0 => Some((end << COUNT_BITS) | 1),
            _ if until(stock) <= end => Some(stock + 1),
            _ => None,
        };
        // `Err` if the right is dropped.
        let _ = self.stock.fetch_update(Relaxed, Relaxed, add);
    }

    /// Requests no rights until `until`.
    pub fn pause_until(&self, until: Millis) {
        self.paused.store(until, Relaxed);
    }

    /// Issues this node a right of its own, since no issuer was found at `now` in a fleet of
    /// `nodes`; returns whether one was due. None is due while the size of the fleet is unknown.
    /// `draw`, from 0 to 1, sets the time of the next.
    pub fn self_issue(&self, nodes: Option<u32>, draw: f64, now: Millis) -> bool {
        let Some(rate) = self.rate() else { return true };
        self.pause_until(now + ISSUER_RETRY_MS);
        let Some(nodes) = nodes else { return false };
        let due = self.next_own.load(Relaxed);
        let missed = due == 0 || now >= due + SELF_ISSUED_TTL_MS;
        let issued = !missed && now >= due;
        if missed || issued {
            let share = target_rate(rate) * SELF_ISSUED_SHARE / f64::from(nodes.max(1));
            // Exponential intervals of a Poisson process.
            let pause = -(1.0 - draw.clamp(0.0, 0.999_999)).ln() / share * 1e3;
            self.next_own.store(now + pause as Millis + 1, Relaxed);
        }
        issued
    }

    /// Number of rights to request: the requests sent in the last complete interval.
    pub fn batch_size(&self, now: Millis) -> u16 {
        let (interval, count, before) = unpack_counts(self.counts.load(Relaxed));
        let last = match (now / COUNT_INTERVAL_MS).saturating_sub(interval) {
            0 => before,
            1 => count,
            _ => 0,
        };
        last.clamp(1, MAX_BATCH.into()) as u16
    }

    /// Counts a request sent.
    pub(crate) fn sent(&self, now: Millis) {
        let count = |p: u64| {
            let (interval, count, before) = unpack_counts(p);
            let (count, before) = match (now / COUNT_INTERVAL_MS).saturating_sub(interval) {
                0 => (count + 1, before),
                1 => (1, count),
                _ => (1, 0),
            };
            let (count, before) = (count.min(COUNT_MASK), before.min(COUNT_MASK));
            Some(((now / COUNT_INTERVAL_MS) << (2 * COUNT_BITS)) | (before << COUNT_BITS) | count)
        };
        // The closure never returns `None`, so this cannot fail.
        let _ = self.counts.fetch_update(Relaxed, Relaxed, count);
    }
}

/// Expiry of the rights in stock.
fn until(stock: u64) -> Millis {
    stock >> COUNT_BITS
}

/// Number of an interval, requests in it, and in the one before.
fn unpack_counts(packed: u64) -> (u64, u64, u64) {
    (packed >> (2 * COUNT_BITS), packed & COUNT_MASK, (packed >> COUNT_BITS) & COUNT_MASK)
}

/// # Reading
impl EngineLimit {
    /// Limit in force, if any.
    pub fn rate(&self) -> Option<Rate> {
        Rate::unpack(self.rate.load(Relaxed))
    }

    /// Time since the limit was last changed or lifted.
    pub fn age(&self, now: Millis) -> Millis {
        now.saturating_sub(self.changed.load(Relaxed))
    }

    /// Time until this node may request a right; `None` if it may now, or needs none.
    pub fn wait_left(&self, now: Millis) -> Option<Millis> {
        let stock = self.stock.load(Relaxed);
        let has = stock & COUNT_MASK > 0 && until(stock) > now;
        let left = self.paused.load(Relaxed).saturating_sub(now);
        (left > 0 && !has && self.rate().is_some()).then_some(left)
    }
}

/// Permit to send one request to an engine; returned to the stock on drop if unused.
#[derive(Debug)]
pub struct Right {
    backpressure: Arc<Backpressure>,
    until: Millis,
    used: bool,
}

impl Right {
    /// A right that this node issued to itself at `now`.
    pub fn self_issued(backpressure: &Arc<Backpressure>, now: Millis) -> Self {
        Self { backpressure: backpressure.clone(), until: now + RIGHT_TTL_MS, used: false }
    }

    /// Uses the right if it is for this engine and valid at `now`; returns whether it was.
    pub(crate) fn spend(&mut self, backpressure: &Arc<Backpressure>, now: Millis) -> bool {
        self.used = now < self.until && Arc::ptr_eq(&self.backpressure, backpressure);
        self.used
    }

    /// Marks the right as unused, because the request was not sent.
    pub fn unspend(&mut self) {
        self.used = false;
    }
}

impl Drop for Right {
    fn drop(&mut self) {
        if !self.used {
            // Expiry is checked when it is taken again.
            self.backpressure.limit().put_back(self.until);
        }
    }
}
