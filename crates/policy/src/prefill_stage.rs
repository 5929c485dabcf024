//! Cost of prefill at one stage of a path.
//!
//! An engine works in passes: a pass prefills a bounded number of prompt tokens of a batch and runs
//! decode steps of the requests that run already.

use heathpitch_core::{Card, LayeredModel};

/// Prompt tokens that one pass prefills at most.
pub(crate) const PASS_TOKENS: f64 = 512.0;
/// Decode steps of the running batch in one pass.
const PASS_STEPS: f64 = 2.0;

/// Cost of prefill at one stage of a path.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PrefillStage {
    /// Time to prefill one prompt token, milliseconds.
    pub token_ms: f64,
    /// Time of one decode step of the running batch, milliseconds.
    pub step_ms: f64,
}

/// # Construction
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
}

/// # Durations
impl PrefillStage {
    /// Time for which the stage is busy with `tokens` prompt tokens, milliseconds. Prompts share
    /// passes.
    pub fn busy_ms(&self, tokens: f64) -> f64 {
        tokens * self.token_ms + tokens / PASS_TOKENS * PASS_STEPS * self.step_ms
    }

    /// Duration of one pass that prefills `tokens` prompt tokens, milliseconds.
    pub(crate) fn pass_ms(&self, tokens: f64) -> f64 {
        tokens * self.token_ms + PASS_STEPS * self.step_ms
    }
}
