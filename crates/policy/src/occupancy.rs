//! Memory at an engine held by the requests of this node and of all others.
//!
//! A node knows at once what its own requests hold. What the requests of all nodes held it learns
//! from the engine's report, some hundred milliseconds late. The current total is estimated as the
//! reported one, scaled with the change of this node's own requests since. A node's own count alone
//! is a poor estimate: clients are spread by a hash, and a node with a third of a domain's clients
//! would take a full engine for two thirds full.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use heathpitch_core::Millis;

use crate::engine_stats::REPORT_TTL_MS;
use crate::{HeldForecast, Trend};

/// Interval of a history entry, milliseconds: a fraction of the delay of a report.
const INTERVAL_MS: Millis = 100;
/// Entries of the history; together they cover more than the lifetime of a report.
const ENTRIES: usize = 32;
/// Bits of an entry that hold tokens; the others hold the number of its interval.
const TOKEN_BITS: u32 = 40;

/// Tokens held at an engine.
///
/// Soft state: a stale value affects performance, never correctness.
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
    history: [AtomicU64; ENTRIES],
    /// Tokens the engine held at `reported_at`, and this node's part of them.
    reported: AtomicU64,
    reported_own: AtomicU64,
    reported_at: AtomicU64,
}

impl Default for Occupancy {
    fn default() -> Self {
        Self {
            own: AtomicU64::new(0),
            history: std::array::from_fn(|_| AtomicU64::new(0)),
            reported: AtomicU64::new(0),
            reported_own: AtomicU64::new(0),
            reported_at: AtomicU64::new(0),
        }
    }
}

/// # Counting
impl Occupancy {
    /// Counts the start of this node's request of `tokens` tokens.
    pub fn add(&self, tokens: u64, now: Millis) {
        let own = self.own.fetch_add(tokens, Relaxed) + tokens;
        self.record(own, now);
    }

    /// Counts the end of this node's request of `tokens` tokens.
    pub fn sub(&self, tokens: u64, now: Millis) {
        let own = self.own.fetch_sub(tokens, Relaxed).saturating_sub(tokens);
        self.record(own, now);
    }

    /// Records the tokens that the engine reports to have held at `at`.
    pub fn report(&self, tokens: u64, at: Millis) {
        self.reported.store(tokens, Relaxed);
        self.reported_own.store(self.own_at(at), Relaxed);
        self.reported_at.store(at.max(1), Relaxed);
    }

    fn record(&self, own: u64, now: Millis) {
        let interval = now / INTERVAL_MS + 1;
        let entry = (interval << TOKEN_BITS) | (own & ((1 << TOKEN_BITS) - 1));
        self.history[interval as usize % ENTRIES].store(entry, Relaxed);
    }
}

/// # Reading
impl Occupancy {
    /// Tokens of this node's requests.
    pub fn own(&self) -> u64 {
        self.own.load(Relaxed)
    }

    /// Estimated tokens of all nodes' requests at `now`, if `nodes` nodes use the engine.
    pub fn held(&self, nodes: u32, now: Millis) -> f64 {
        let own = self.own() as f64;
        if self.age(now).is_none() {
            return own * f64::from(nodes.max(1));
        }
        let (reported, then) =
            (self.reported.load(Relaxed) as f64, self.reported_own.load(Relaxed) as f64);
        // Requests of all nodes per request of this node.
        let share = (reported / then.max(1.0)).clamp(1.0, f64::from(nodes.max(1)));
        (reported + (own - then) * share).max(own)
    }

    /// Tokens that all nodes' requests held by the last reports, with the change of this node's own
    /// since; as [`held`](Self::held) if the reports have no `trend`.
    ///
    /// Own requests are not scaled up by the number of nodes: one of a few would stand for dozens.
    pub fn known(&self, trend: &Trend, nodes: u32, now: Millis) -> f64 {
        match (self.age(now), trend.level(now)) {
            (Some(_), Some(level)) => {
                let (own, then) = (self.own() as f64, self.reported_own.load(Relaxed) as f64);
                (level + own - then).max(own)
            }
            _ => self.held(nodes, now),
        }
    }

    /// Tokens that all nodes' requests are expected to hold one report interval after `now`: the
    /// known ones, with the expected change of the others' part until then.
    pub fn forecast(&self, trend: &Trend, nodes: u32, now: Millis) -> HeldForecast {
        let (known, own) = (self.known(trend, nodes, now), self.own() as f64);
        let (Some(_), Some(lead), Some(level)) =
            (self.age(now), trend.interval(now), trend.level(now))
        else {
            return HeldForecast { expected: known, ..HeldForecast::default() };
        };
        let reported_own = self.reported_own.load(Relaxed) as f64;
        let mut change = trend.change(lead, now).unwrap_or(0.0);
        // The change of the own part is known until now.
        if reported_own > 0.0 {
            let own_share = (reported_own / level.max(1.0)).min(1.0);
            change -= trend.change(0, now).unwrap_or(0.0) * own_share;
        }
        let expected = (known + change).max(own);
        HeldForecast { expected, reported: level, reported_own, own }
    }

    /// Age of the engine's report at `now`, if it is still valid.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        let at = self.reported_at.load(Relaxed);
        let age = now.saturating_sub(at);
        (at > 0 && age <= REPORT_TTL_MS).then_some(age)
    }

    /// Tokens of this node's requests at an earlier time.
    fn own_at(&self, at: Millis) -> u64 {
        let until = at / INTERVAL_MS + 1;
        let entries = self.history.iter().map(|e| e.load(Relaxed));
        let before = entries.filter(|e| *e > 0 && e >> TOKEN_BITS <= until);
        before.max().map_or(0, |e| e & ((1 << TOKEN_BITS) - 1))
    }
}
