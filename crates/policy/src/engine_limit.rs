//! What one engine says of the requests a second that it takes from all nodes together, and this node's part of it.
//!
//! An answer that names a limit binds from the moment its head is read. Answers come in another order than
//! they were given, so one takes back what an earlier one said only if its request was sent after that: a lower limit
//! holds at once, a higher one and the end of any only then, and the end only by two answers a while after the last
//! that named one. An engine that is held to its limit for a moment too long loses little; one that is not may fall.
//!
//! A limit is a sum over all nodes, which none can keep alone: each request needs a right, handed out one by one
//! by the node that plans the engine's failure domain ([`Rights`](crate::Rights)). Rights end soon, so that those of a node
//! that stood still are not used beside new ones. A node that finds nobody to hand them out draws its own: all nodes
//! that do, together, a quarter of the limit at most, so that what is handed out meanwhile to others does not count twice.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};

use heathpitch_core::{Millis, Rate};

use crate::Backpressure;
use crate::rights::used;

/// Time after an answer that named a limit until two that name none end it, milliseconds: some answers may lack it.
const ENDS_AFTER: Millis = 500;
/// Time for which a right may be used, milliseconds: a connection to an engine takes 400 at most.
pub(crate) const RIGHT_LIFE: Millis = 500;
/// Part of a limit that nodes draw for themselves, all together, which find nobody to hand out rights.
const DRAWN_PART: f64 = 0.25;
/// Time for which a right that was drawn waits for a request, milliseconds.
const DRAWN_LIFE: Millis = 1_000;
/// Time between two tries to find a node that hands out rights, milliseconds.
const SEEK_AGAIN: Millis = 300;
/// Span over which this node's own requests are counted, milliseconds; as many rights are asked for at a time.
const PULSE: Millis = 250;
/// Most rights asked for at a time.
const WANTED_MOST: u16 = 256;
/// Bits of a count beside a time.
const COUNT_BITS: u32 = 16;
const COUNT_MASK: u64 = (1 << COUNT_BITS) - 1;

/// What one engine says that it takes; shared by threads without a lock.
///
/// # Examples
///
/// ```
/// use heathpitch_core::Rate;
/// use heathpitch_policy::EngineLimit;
///
/// let limit = EngineLimit::default();
/// assert!(limit.observe(Rate::from_thousandths(3_600), 100, 130));
/// assert!(!limit.observe_none(90, 140), "sent before it was named");
/// assert!(!limit.observe_none(200, 230) && !limit.observe_none(300, 330));
/// assert!(limit.observe_none(610, 640));
/// assert_eq!(limit.rate(), None);
/// ```
#[derive(Debug, Default)]
pub struct EngineLimit {
    /// The limit, packed.
    rate: AtomicU64,
    /// When that changed last.
    changed: AtomicU64,
    /// When an answer to this node named one last.
    named: AtomicU64,
    /// Whether the last answer to this node named none although there is one.
    omitted: AtomicBool,
    /// Whether answers to nodes' own questions name it, as those to calls do.
    in_probes: AtomicBool,
    /// Rights of this node, and until when they may be used.
    stock: AtomicU64,
    /// Until when this node asks for none.
    held: AtomicU64,
    /// When the next right of this node's own is drawn; 0 before the first.
    drawn: AtomicU64,
    /// Number of the last span in which this node sent requests, their number, and that of the span before.
    pulse: AtomicU64,
}

/// # What answers say
impl EngineLimit {
    /// Takes an answer that came at `now`, to a request sent at `sent`, and names a limit; gives whether that
    /// changes it.
    pub fn observe(&self, rate: Rate, sent: Millis, now: Millis) -> bool {
        self.named.fetch_max(now, Relaxed);
        self.omitted.store(false, Relaxed);
        match self.rate() {
            Some(known) if rate == known => false,
            Some(known) if rate > known && sent < self.changed.load(Relaxed) => false,
            _ => self.set(Some(rate), now),
        }
    }

    /// Takes an answer that names none; gives whether that ends a limit.
    pub fn observe_none(&self, sent: Millis, now: Millis) -> bool {
        if self.rate().is_none() || sent < self.named.load(Relaxed) {
            return false;
        }
        let again = self.omitted.swap(true, Relaxed);
        again && now >= self.named.load(Relaxed) + ENDS_AFTER && self.set(None, now)
    }

    /// Takes note that an answer to a question of this node's own names a limit.
    pub fn set_in_probes(&self) {
        self.in_probes.store(true, Relaxed);
    }

    /// Whether an answer to such a question that names none says that there is none: an engine behind the first of
    /// all paths answers no calls.
    pub fn is_in_probes(&self) -> bool {
        self.in_probes.load(Relaxed)
    }

    /// Takes what another node was told at `at`; gives whether that changes it. An end that may be older than the
    /// last answer to this node is none.
    pub fn learn(&self, rate: Option<Rate>, at: Millis) -> bool {
        let newer = at > self.changed.load(Relaxed);
        let heard = rate.is_some() || at > self.named.load(Relaxed);
        newer && heard && rate != self.rate() && self.set(rate, at)
    }

    fn set(&self, rate: Option<Rate>, at: Millis) -> bool {
        self.changed.store(at, Relaxed);
        self.omitted.store(false, Relaxed);
        // Rights that were handed out by another limit do not hold.
        self.stock.store(0, Relaxed);
        self.rate.store(Rate::pack(rate), Relaxed);
        true
    }
}

/// # Rights
impl EngineLimit {
    /// Takes a right that this node has.
    pub fn take(wish: &Arc<Backpressure>, now: Millis) -> Option<Right> {
        let stock = &wish.limit().stock;
        let taken = stock.fetch_update(Relaxed, Relaxed, |s| {
            (until(s) > now && s & COUNT_MASK > 0).then(|| s - 1)
        });
        taken.ok().map(|s| Right { wish: wish.clone(), until: until(s), used: false })
    }

    /// Takes `count` rights that were handed out to a question sent at `sent`, and one of them; none if they came too
    /// late, or another call was faster.
    pub fn receive(
        wish: &Arc<Backpressure>,
        count: u16,
        sent: Millis,
        now: Millis,
    ) -> Option<Right> {
        wish.limit().add_rights(count, sent, now);
        Self::take(wish, now)
    }

    /// Takes `count` rights that were handed out to a question sent at `sent`.
    pub fn add_rights(&self, count: u16, sent: Millis, now: Millis) {
        let end = sent + RIGHT_LIFE;
        let add = |stock: u64| {
            // The earlier end holds for all, so that none is used too late.
            let (held, end) = match stock & COUNT_MASK {
                held if held > 0 && until(stock) > now => (held, until(stock).min(end)),
                _ => (0, end),
            };
            Some((end << COUNT_BITS) | (held + u64::from(count)).min(COUNT_MASK))
        };
        // It always gives a value, so that it cannot fail.
        let _ = self.stock.fetch_update(Relaxed, Relaxed, add);
    }

    /// Takes a right back that ends at `end`; it is lost if those in stock end later, which they are not to by it.
    fn put_back(&self, end: Millis) {
        let add = |stock: u64| match stock & COUNT_MASK {
            0 => Some((end << COUNT_BITS) | 1),
            _ if until(stock) <= end => Some(stock + 1),
            _ => None,
        };
        // None if it is lost.
        let _ = self.stock.fetch_update(Relaxed, Relaxed, add);
    }

    /// Asks for no right until `until`.
    pub fn pause_until(&self, until: Millis) {
        self.held.store(until, Relaxed);
    }

    /// Takes note that nobody hands out rights at `now` in a fleet of `nodes`; gives whether this node has
    /// drawn one, which it does not while it does not know how many there are. `draw`, from 0 to 1, draws the next.
    pub fn self_issue(&self, nodes: Option<u32>, draw: f64, now: Millis) -> bool {
        let Some(rate) = self.rate() else { return true };
        self.pause_until(now + SEEK_AGAIN);
        let Some(nodes) = nodes else { return false };
        let due = self.drawn.load(Relaxed);
        let over = due == 0 || now >= due + DRAWN_LIFE;
        let drawn = !over && now >= due;
        if over || drawn {
            let part = used(rate) * DRAWN_PART / f64::from(nodes.max(1));
            // Times between events that come at random and do not wait for each other.
            let pause = -(1.0 - draw.clamp(0.0, 0.999_999)).ln() / part * 1e3;
            self.drawn.store(now + pause as Millis + 1, Relaxed);
        }
        drawn
    }

    /// Rights to ask for: as many as requests were sent in the last span.
    pub fn wanted(&self, now: Millis) -> u16 {
        let (span, count, before) = pulse(self.pulse.load(Relaxed));
        let last = match (now / PULSE).saturating_sub(span) {
            0 => before,
            1 => count,
            _ => 0,
        };
        last.clamp(1, WANTED_MOST.into()) as u16
    }

    /// Counts a request that is sent.
    pub(crate) fn sent(&self, now: Millis) {
        let count = |p: u64| {
            let (span, count, before) = pulse(p);
            let (count, before) = match (now / PULSE).saturating_sub(span) {
                0 => (count + 1, before),
                1 => (1, count),
                _ => (1, 0),
            };
            let (count, before) = (count.min(COUNT_MASK), before.min(COUNT_MASK));
            Some(((now / PULSE) << (2 * COUNT_BITS)) | (before << COUNT_BITS) | count)
        };
        // It always gives a value, so that it cannot fail.
        let _ = self.pulse.fetch_update(Relaxed, Relaxed, count);
    }
}

/// End of the rights in stock.
fn until(stock: u64) -> Millis {
    stock >> COUNT_BITS
}

/// Number of a span, requests in it, and in the one before.
fn pulse(packed: u64) -> (u64, u64, u64) {
    (packed >> (2 * COUNT_BITS), packed & COUNT_MASK, (packed >> COUNT_BITS) & COUNT_MASK)
}

/// # Reading
impl EngineLimit {
    /// The limit, if there is one.
    pub fn rate(&self) -> Option<Rate> {
        Rate::unpack(self.rate.load(Relaxed))
    }

    /// How long ago the limit changed, or ended.
    pub fn age(&self, now: Millis) -> Millis {
        now.saturating_sub(self.changed.load(Relaxed))
    }

    /// Time until this node may have a right; none if it may now, or needs none.
    pub fn wait_left(&self, now: Millis) -> Option<Millis> {
        let stock = self.stock.load(Relaxed);
        let has = stock & COUNT_MASK > 0 && until(stock) > now;
        let left = self.held.load(Relaxed).saturating_sub(now);
        (left > 0 && !has && self.rate().is_some()).then_some(left)
    }
}

/// A right to send one request to an engine; goes back if it is not used.
#[derive(Debug)]
pub struct Right {
    wish: Arc<Backpressure>,
    until: Millis,
    used: bool,
}

impl Right {
    /// One that this node has drawn for itself at `now`.
    pub fn self_issued(wish: &Arc<Backpressure>, now: Millis) -> Self {
        Self { wish: wish.clone(), until: now + RIGHT_LIFE, used: false }
    }

    /// Whether it is for this engine and may still be used at `now`; it is used then.
    pub(crate) fn spend(&mut self, wish: &Arc<Backpressure>, now: Millis) -> bool {
        self.used = now < self.until && Arc::ptr_eq(&self.wish, wish);
        self.used
    }

    /// Takes note that the request was not sent after all.
    pub fn unspend(&mut self) {
        self.used = false;
    }
}

impl Drop for Right {
    fn drop(&mut self) {
        if !self.used {
            // Whether it is over is seen when it is taken.
            self.wish.limit().put_back(self.until);
        }
    }
}
