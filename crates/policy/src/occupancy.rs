//! Memory that requests hold at an engine, of this node and of all others.
//!
//! A node knows at once what its own requests hold, and by the engine's report, some hundred
//! milliseconds late, what those of all nodes held. What all hold now is taken to be what they held
//! then, grown as this node's own requests grew since. Alone, a node's own count says
//! little: callers are spread by a hash, and a node with a third of a domain's callers takes a full
//! engine for two thirds full.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use heathpitch_core::Millis;

use crate::engine_stats::REPORT_AGE;

/// Span of an entry of the history, milliseconds: a part of the time that a report is late.
const SPAN: Millis = 100;
/// Entries of the history; together they reach back further than a report is believed.
const SPANS: usize = 32;
/// Bits of an entry that hold tokens; the others hold the number of its span.
const TOKEN_BITS: u32 = 40;
/// Tokens held at an engine.
///
/// Soft state: a stale value costs speed, never a promise.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::Occupancy;
///
/// let engine = Occupancy::default();
/// engine.add(1_000, 0);
/// assert_eq!(engine.held(2, 100), 2_000.0);
/// engine.report(50_000, 500);
/// engine.add(1_000, 700);
/// assert_eq!(engine.held(2, 800), 52_000.0);
/// ```
#[derive(Debug)]
pub struct Occupancy {
    own: AtomicU64,
    history: [AtomicU64; SPANS],
    /// What the engine held, and of that this node's own, at `told_at`.
    told: AtomicU64,
    told_own: AtomicU64,
    told_at: AtomicU64,
}

impl Default for Occupancy {
    fn default() -> Self {
        Self {
            own: AtomicU64::new(0),
            history: std::array::from_fn(|_| AtomicU64::new(0)),
            told: AtomicU64::new(0),
            told_own: AtomicU64::new(0),
            told_at: AtomicU64::new(0),
        }
    }
}

/// # Counting
impl Occupancy {
    /// Counts an own request of `tokens` tokens that begins.
    pub fn add(&self, tokens: u64, now: Millis) {
        let own = self.own.fetch_add(tokens, Relaxed) + tokens;
        self.note(own, now);
    }

    /// Counts an own request of `tokens` tokens that ends.
    pub fn sub(&self, tokens: u64, now: Millis) {
        let own = self.own.fetch_sub(tokens, Relaxed).saturating_sub(tokens);
        self.note(own, now);
    }

    /// Takes the engine's word for what it held at `at`.
    pub fn report(&self, tokens: u64, at: Millis) {
        self.told.store(tokens, Relaxed);
        self.told_own.store(self.own_at(at), Relaxed);
        self.told_at.store(at.max(1), Relaxed);
    }

    fn note(&self, own: u64, now: Millis) {
        let span = now / SPAN + 1;
        let entry = (span << TOKEN_BITS) | (own & ((1 << TOKEN_BITS) - 1));
        self.history[span as usize % SPANS].store(entry, Relaxed);
    }
}

/// # Reading
impl Occupancy {
    /// Tokens of own requests.
    pub fn own(&self) -> u64 {
        self.own.load(Relaxed)
    }

    /// Tokens of all nodes' requests, as far as is known at `now`; `beside` nodes send it requests.
    pub fn held(&self, beside: u32, now: Millis) -> f64 {
        let own = self.own() as f64;
        if self.age(now).is_none() {
            return own * f64::from(beside.max(1));
        }
        let (told, then) = (self.told.load(Relaxed) as f64, self.told_own.load(Relaxed) as f64);
        // Requests of all nodes that one of this node stands for.
        let share = (told / then.max(1.0)).clamp(1.0, f64::from(beside.max(1)));
        (told + (own - then) * share).max(own)
    }

    /// Age of the engine's word at `now`, if it is believed.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        let at = self.told_at.load(Relaxed);
        let age = now.saturating_sub(at);
        (at > 0 && age <= REPORT_AGE).then_some(age)
    }

    /// Tokens of own requests at an earlier time.
    fn own_at(&self, at: Millis) -> u64 {
        let until = at / SPAN + 1;
        let entries = self.history.iter().map(|e| e.load(Relaxed));
        let before = entries.filter(|e| *e > 0 && e >> TOKEN_BITS <= until);
        before.max().map_or(0, |e| e & ((1 << TOKEN_BITS) - 1))
    }
}
