//! Forecast of the wait for a stream's first event, from the requests queued before it and the cost
//! model of its path.
//!
//! An engine works in passes: a pass prefills prompt tokens of a batch and runs decode steps of the
//! requests that run already. Queued prompts pass the stages of a path one after the other, so the
//! slowest stage sets the time between two passes. The request's own prompt then runs through every
//! stage.

use heathpitch_core::{Card, LayeredModel};

/// Prompt tokens that one pass prefills at most.
const PASS_TOKENS: f64 = 512.0;
/// Decode steps of the running batch in one pass.
const PASS_STEPS: f64 = 2.0;
/// Longest forecast, milliseconds: above any caller's deadline.
const MAX_WAIT_MS: f64 = 60_000.0;

/// Cost of prefill at one stage of a path.
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
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PrefillStage {
    /// Time to prefill one prompt token, milliseconds.
    pub token_ms: f64,
    /// Time of one decode step of the running batch, milliseconds.
    pub step_ms: f64,
}

impl PrefillStage {
    /// Cost of `count` layers of a model on this card while requests hold `held` tokens there, at an
    /// engine that is slower than its card by the factor `slowdown`.
    pub fn new(model: &LayeredModel, card: &Card, count: u32, held: f64, slowdown: f64) -> Self {
        let share = f64::from(count) / f64::from(model.layers.max(1)) * slowdown;
        let token_ms = 1e3 / model.prefill_rate.max(1.0);
        Self {
            token_ms: token_ms * card.prefill_factor * share,
            step_ms: model.step_time_ms(held) * card.step_factor * share,
        }
    }

    /// Duration of passes that prefill `tokens` prompt tokens, milliseconds.
    fn passes_ms(&self, tokens: f64) -> f64 {
        tokens * self.token_ms + tokens / PASS_TOKENS * PASS_STEPS * self.step_ms
    }
}

/// Expected wait for the first event of a request with `prompt` tokens that finds `queued` prompt
/// tokens queued at the first of these stages, milliseconds.
pub fn start_ms(stages: &[PrefillStage], queued: f64, prompt: f64) -> f64 {
    let queue = stages.iter().map(|s| s.passes_ms(queued)).fold(0.0, f64::max);
    let own: f64 = stages.iter().map(|s| s.passes_ms(prompt) + s.step_ms).sum();
    let wait = queue + own;
    // A report that makes no sense leaves the forecast to what was measured.
    if wait.is_nan() { 0.0 } else { wait.clamp(0.0, MAX_WAIT_MS) }
}
