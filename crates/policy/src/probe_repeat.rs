//! Whether a silent stream has engines probed again that answered a probe a moment ago.
//!
//! An event after a probe shows that the engine has worked since, so the loss of an engine just after
//! that event is found in time only by another probe. With slow engines, streams are silent after most
//! of their events, and each silence would probe all engines of their paths. The probe is therefore
//! repeated early only where a move off the engine could still come in time.

/// Factor by which an engine is slower than its accelerator from which it is taken to delay its
/// streams: well above the change of 0.3 that may make another engine the faster one.
const SLOW_FACTOR: f64 = 2.0;

/// Whether an engine of a silent stream may be probed again early.
///
/// Nothing is gained if the stream `is_late` already, or if one of the `others` on its path, given by
/// their slowdowns, is slow: the event after the move would pass that engine and come late.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::may_repeat_probe;
///
/// assert!(may_repeat_probe(false, [1.0, 1.2]));
/// assert!(!may_repeat_probe(true, [1.0, 1.2]));
/// assert!(!may_repeat_probe(false, [1.0, 5.0]));
/// ```
pub fn may_repeat_probe(is_late: bool, others: impl IntoIterator<Item = f64>) -> bool {
    !is_late && others.into_iter().all(|slowdown| slowdown < SLOW_FACTOR)
}
