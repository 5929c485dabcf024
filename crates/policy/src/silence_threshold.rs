//! Silence after which the engines of a started stream are probed.
//!
//! A stream whose path lost an engine is silent for the threshold, for the probe, for the order to
//! its first engine, and while a substitute prefills its tokens again. All of it has to fit into the
//! pause that its callers accept. Streams also pause during prefills of others: under normal load one
//! in six for 110 ms and one in thirty for 150 ms, and each probe contacts all engines of a path. With
//! 110 ms for all streams, a fleet of 59 nodes opened 31 000 connections a day only to probe healthy
//! engines. With 150 ms for all, streams whose callers accept 200 ms were moved too late: a day's
//! traffic yielded 0.66 of its value instead of 0.72. The threshold is therefore as long as the
//! remaining steps permit.

use heathpitch_core::Millis;

/// Time to probe the engines of a stream and to order its move, milliseconds.
const MOVE_MS: Millis = 90;
/// Lower bound: several decode steps of a loaded path.
const MIN_SILENCE_MS: Millis = 110;
/// Upper bound: one stream in thirty pauses for longer on healthy engines.
const MAX_SILENCE_MS: Millis = 160;
/// Lower bound of what the prefill shortens it to. With [`MIN_SILENCE_MS`], 87 nodes with slow cards opened
/// 54 500 connections in a day with faults in place of 28 700, and served one stream in 200 more.
const MIN_SHORTENED_MS: Millis = 140;

/// Silence after which a stream's engines are probed, milliseconds: its maximum pause without the
/// time to probe and move it, and without `prefill_ms`, which a substitute needs for its tokens.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::silence_threshold;
///
/// assert_eq!(silence_threshold(Some(250), 0.0), 160);
/// assert_eq!(silence_threshold(Some(250), 10.0), 150);
/// assert_eq!(silence_threshold(Some(250), 30.0), 140);
/// assert_eq!(silence_threshold(Some(200), 30.0), 110);
/// assert_eq!(silence_threshold(None, 0.0), 110);
/// ```
pub fn silence_threshold(max_pause_ms: Option<Millis>, prefill_ms: f64) -> Millis {
    let without = |reserved: Millis| {
        max_pause_ms.map_or(MIN_SILENCE_MS, |pause| pause.saturating_sub(reserved))
    };
    let most = without(MOVE_MS).clamp(MIN_SILENCE_MS, MAX_SILENCE_MS);
    let shortened = without(MOVE_MS.saturating_add(prefill_ms.max(0.0).ceil() as Millis));
    shortened.clamp(most.min(MIN_SHORTENED_MS), most)
}
