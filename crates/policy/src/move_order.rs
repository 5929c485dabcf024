//! Order in which stalled streams are moved off a lost engine.
//!
//! Prefills of moved streams queue at the substitutes and at the first engines. Streams that can
//! still produce their next event in time therefore go first, by rank and then by the time left, and
//! those that cannot go last. A stream that is late loses nothing more by being later, so it also
//! gives other nodes time to move their urgent streams, which this node does not know of: it waits
//! up to [`LATE_WAIT_MS`], in proportion to the demand that is more urgent. That wait is bounded, so late
//! streams are never starved.

use std::cmp::Reverse;

use heathpitch_core::Millis;

/// Wait of a late stream if all other demand is more urgent, milliseconds, and in between in
/// proportion: twice the time in which the nodes of a domain notice the loss of an engine, and far less
/// than the 2 s of silence after which callers disconnect.
const LATE_WAIT_MS: f64 = 300.0;

/// Whether a move is expected to end a stream's pause in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveResult {
    /// The next event comes within the maximum pause.
    InTime,
    /// It comes later.
    Late,
}

/// Stream whose path lost an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct StalledStream<T> {
    /// What it is called by the caller of [`plan_moves`].
    pub stream: T,
    /// Priority rank; 0 comes first.
    pub rank: u8,
    /// Part of the service's recent demand that is more urgent, 0 to 1.
    pub urgent_share: f64,
    /// Time by which its next event has to arrive.
    pub due: Millis,
    /// Time at which the loss was noticed and the stream was silent itself.
    pub since: Millis,
}

/// # Decisions
impl<T> StalledStream<T> {
    /// Result of a move at `now` after which the next event takes `resume_ms`.
    pub fn result(&self, resume_ms: f64, now: Millis) -> MoveResult {
        match now as f64 + resume_ms <= self.due as f64 {
            true => MoveResult::InTime,
            false => MoveResult::Late,
        }
    }

    /// Earliest time of a move that comes too late anyway.
    pub fn late_move_at(&self) -> Millis {
        self.since + (LATE_WAIT_MS * self.urgent_share.clamp(0.0, 1.0)).ceil() as Millis
    }
}

/// Decides which of the stalled streams are moved at `now`, and in which order.
///
/// `plan` finds a new path and the time until the stream's next event if it is moved there now, in
/// milliseconds; none if there is no path. `carry_out` orders the move, and has to make sure that
/// later calls of `plan` consider it.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::{MoveResult, StalledStream, plan_moves};
///
/// let stalled = |stream, rank: u8, due| {
///     StalledStream { stream, rank, urgent_share: f64::from(rank) / 2.0, due, since: 1_000 }
/// };
/// let streams =
///     vec![stalled("late", 0, 1_010), stalled("waits", 1, 1_010), stalled("on time", 1, 1_100)];
/// let mut moved = Vec::new();
/// plan_moves(streams, 1_000, |_| Some(((), 50.0)), |s, (), result| moved.push((s.stream, result)));
/// assert_eq!(moved, [("on time", MoveResult::InTime), ("late", MoveResult::Late)]);
/// ```
pub fn plan_moves<T, P>(
    mut streams: Vec<StalledStream<T>>,
    now: Millis,
    plan: impl Fn(&T) -> Option<(P, f64)>,
    mut carry_out: impl FnMut(StalledStream<T>, P, MoveResult),
) {
    streams.sort_by_key(|s| (s.rank, s.due, Reverse(s.since)));
    let mut late = Vec::new();
    for stream in streams {
        match plan(&stream.stream) {
            Some((path, ms)) if stream.result(ms, now) == MoveResult::InTime => {
                carry_out(stream, path, MoveResult::InTime);
            }
            Some(_) if now >= stream.late_move_at() => late.push(stream),
            Some(_) | None => {}
        }
    }
    for stream in late {
        // The moves ordered above may have changed which path is best.
        if let Some((path, _)) = plan(&stream.stream) {
            carry_out(stream, path, MoveResult::Late);
        }
    }
}
