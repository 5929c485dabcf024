//! Load that moves of streams just ordered will add to engines.
//!
//! The tokens of a moved stream appear in no report of the substitute before the next one, which is
//! about a second later, and its prefill in none at all. Without a count of their own, all streams of
//! a lost engine would go to the same substitute and queue there. Only moves of this node are known;
//! the caller scales them where other nodes move streams of the same engine at the same time.

use std::collections::HashMap;

use heathpitch_core::{Millis, Name};

use crate::ChainEngine;

/// Time after which reports show the tokens of a moved stream, milliseconds: the interval of reports
/// and polls plus the delay of a report.
const REPORTED_AFTER_MS: Millis = 1_200;
/// Tokens over which a wait for ordered prefills is spread in the cost of an engine: a moved stream
/// has some ten milliseconds of its pause left, which weigh more than its later pace.
const WAIT_SPREAD_TOKENS: f64 = 10.0;

#[derive(Clone, Debug, Default)]
struct Booking {
    /// Time at which the ordered prefills are expected to end.
    busy_until: f64,
    /// Times of orders, with the tokens that each adds.
    moves: Vec<(Millis, f64)>,
}

/// What one ordered move adds to an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct MoveBooking {
    engine: Name,
    busy_ms: f64,
    tokens: f64,
    at: Millis,
}

/// Prefills and tokens that ordered moves add to each engine.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::MoveLoad;
///
/// let engine = "i-1".parse()?;
/// let mut load = MoveLoad::default();
/// load.book(&engine, 20.0, 900.0, 100);
/// load.book(&engine, 20.0, 900.0, 110);
/// assert_eq!((load.wait_ms(&engine, 110), load.tokens(&engine, 110)), (30.0, 1_800.0));
/// assert_eq!((load.wait_ms(&engine, 150), load.tokens(&engine, 5_000)), (0.0, 0.0));
/// # Ok::<(), heathpitch_core::NameError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct MoveLoad {
    bookings: HashMap<Name, Booking>,
}

/// # Updates
impl MoveLoad {
    /// Counts a move ordered at `now` that keeps an engine busy for `busy_ms` and adds `tokens`.
    pub fn book(&mut self, engine: &Name, busy_ms: f64, tokens: f64, now: Millis) -> MoveBooking {
        let busy_ms = busy_ms.max(0.0);
        let booking = self.bookings.entry(engine.clone()).or_default();
        booking.busy_until = booking.busy_until.max(now as f64) + busy_ms;
        match booking.moves.last_mut() {
            Some((at, added)) if *at == now => *added += tokens,
            _ => booking.moves.push((now, tokens)),
        }
        MoveBooking { engine: engine.clone(), busy_ms, tokens, at: now }
    }

    /// Removes what a move would have added whose order was refused.
    pub fn cancel(&mut self, cancelled: &MoveBooking) {
        let Some(booking) = self.bookings.get_mut(&cancelled.engine) else { return };
        booking.busy_until -= cancelled.busy_ms;
        if let Some((_, tokens)) = booking.moves.iter_mut().find(|(at, _)| *at == cancelled.at) {
            *tokens -= cancelled.tokens;
        }
    }

    /// Drops what reports show by `now`.
    pub fn expire(&mut self, now: Millis) {
        self.bookings.retain(|_, b| {
            b.moves.retain(|(at, _)| now < at + REPORTED_AFTER_MS);
            !b.moves.is_empty() || b.busy_until > now as f64
        });
    }
}

/// # Queries
impl MoveLoad {
    /// Adds the load of ordered moves to an engine that holds `capacity` tokens at most.
    pub fn charge(&self, engine: &mut ChainEngine, capacity: f64, now: Millis) {
        engine.penalty += self.wait_ms(&engine.entry.id, now) / WAIT_SPREAD_TOKENS;
        engine.utilization += self.tokens(&engine.entry.id, now) / capacity.max(1.0);
    }

    /// Time until an engine has finished the prefills ordered so far, milliseconds.
    pub fn wait_ms(&self, engine: &Name, now: Millis) -> f64 {
        self.bookings.get(engine).map_or(0.0, |b| (b.busy_until - now as f64).max(0.0))
    }

    /// Tokens that moves add to an engine and that no report shows yet.
    pub fn tokens(&self, engine: &Name, now: Millis) -> f64 {
        let recent = |m: &&(Millis, f64)| now < m.0 + REPORTED_AFTER_MS;
        let moves = self.bookings.get(engine).map_or(&[][..], |b| &b.moves);
        moves.iter().filter(recent).map(|(_, tokens)| tokens).sum()
    }
}
