//! Forecast time to prefill the tokens of one request on the engines of a path.
//!
//! Passes follow each other through the stages, so that all but the first are paced by the slowest
//! stage.

use crate::PrefillStage;
use crate::prefill_stage::PASS_TOKENS;

/// Forecast time to prefill `tokens` tokens through `stages`, milliseconds.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::{PrefillStage, prefill_ms};
///
/// // 512 tokens take 1 ms, and so do two decode steps.
/// let half = PrefillStage { token_ms: 1.0 / 512.0, step_ms: 0.5 };
/// assert_eq!(prefill_ms(&[half, half], 512.0), 4.0);
/// assert_eq!(prefill_ms(&[half, half], 1_024.0), 6.0);
/// ```
pub fn prefill_ms(stages: &[PrefillStage], tokens: f64) -> f64 {
    let pass = tokens.min(PASS_TOKENS);
    let first: f64 = stages.iter().map(|s| s.pass_ms(pass)).sum();
    let slowest = stages.iter().map(|s| s.pass_ms(pass)).fold(0.0, f64::max);
    let passes = (tokens / PASS_TOKENS).ceil();
    first + (passes - 1.0).max(0.0) * slowest
}
