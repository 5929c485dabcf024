//! Forecast of the wait for a stream's first event, from the requests queued before it and the cost
//! model of its path.
//!
//! An engine works in passes: a pass prefills prompt tokens of a batch and runs decode steps of the
//! requests that run already. Queued prompts pass the stages of a path one after the other, so the
//! slowest stage sets the time between two passes. The request's own prompt then runs through every
//! stage.

use crate::PrefillStage;

/// Longest forecast, milliseconds: above any caller's deadline.
const MAX_WAIT_MS: f64 = 60_000.0;

/// Expected wait for the first event of a request with `prompt` tokens that finds `queued` prompt
/// tokens queued at the first of these stages, milliseconds.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::{PrefillStage, start_ms};
///
/// let fast = PrefillStage { token_ms: 0.002, step_ms: 0.5 };
/// let slow = PrefillStage { token_ms: 0.01, step_ms: 2.0 };
/// let idle = start_ms(&[fast, slow], 0.0, 512.0);
/// let busy = start_ms(&[fast, slow], 51_200.0, 512.0);
/// assert!(idle < 20.0);
/// assert!((busy - idle - 100.0 * (512.0 * 0.01 + 2.0 * 2.0)).abs() < 1e-6);
/// ```
pub fn start_ms(stages: &[PrefillStage], queued: f64, prompt: f64) -> f64 {
    let queue = stages.iter().map(|s| s.busy_ms(queued)).fold(0.0, f64::max);
    let own: f64 = stages.iter().map(|s| s.busy_ms(prompt) + s.step_ms).sum();
    let wait = queue + own;
    // A report that makes no sense leaves the forecast to what was measured.
    if wait.is_nan() { 0.0 } else { wait.clamp(0.0, MAX_WAIT_MS) }
}
