//! Forecast time to prefill tokens on the engines of a path.
//!
//! Engines prefill in passes of a bounded number of tokens, and each pass also runs decode steps of
//! the batch. Passes follow each other through the stages, so that all but the first are paced by
//! the slowest stage.

use heathpitch_core::{Card, LayeredModel};

/// Tokens that one pass prefills at most.
const PASS_TOKENS: f64 = 512.0;
/// Decode steps of the running batch in one pass.
const STEPS_PER_PASS: f64 = 2.0;

/// Part of a path that prefills tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillStage {
    /// Factor on the duration of decode steps: that of the card and of the engine's slowdown.
    pub step_factor: f64,
    /// Factor on the duration of prefill, likewise.
    pub prefill_factor: f64,
    /// Number of layers.
    pub layers: u32,
    /// Tokens that the running batch holds.
    pub held: f64,
}

/// # Construction
impl PrefillStage {
    /// A stage of `layers` layers on a card that is `slowdown` times slower than declared and holds
    /// `held` tokens.
    pub fn new(card: &Card, slowdown: f64, layers: u32, held: f64) -> Self {
        Self {
            step_factor: card.step_factor * slowdown,
            prefill_factor: card.prefill_factor * slowdown,
            layers,
            held,
        }
    }
}

/// # Durations
impl PrefillStage {
    /// Time for which the stage is busy with `tokens` tokens, milliseconds. Prompts share passes.
    pub fn busy_ms(&self, model: &LayeredModel, tokens: f64) -> f64 {
        self.pass_ms(model, PASS_TOKENS) * tokens / PASS_TOKENS
    }

    fn pass_ms(&self, model: &LayeredModel, tokens: f64) -> f64 {
        let share = f64::from(self.layers) / f64::from(model.layers.max(1));
        let prefill = self.prefill_factor * tokens / model.prefill_rate.max(1.0) * 1_000.0;
        share * (prefill + STEPS_PER_PASS * self.step_factor * model.step_time_ms(self.held))
    }
}

/// Forecast time to prefill `tokens` tokens through `stages`, milliseconds.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::{PrefillStage, prefill_ms};
/// # use heathpitch_core::LayeredModel;
/// # let model = LayeredModel {
/// #     layers: 80, layer_mb: 1.0, token_bytes: 1.0, slots: 1, step_ms: 1.0, request_ms: 0.0,
/// #     context_ms: 0.0, prefill_rate: 256_000.0, load_ms: 1, parallel_loads: 1,
/// #     report_lag_ms: 0, typical_prompt: 1.0, typical_answer: 1.0, cards: vec![], delays: vec![],
/// # };
/// // 256 tokens/ms and 1 ms per decode step, each through all layers.
/// let half = PrefillStage { step_factor: 1.0, prefill_factor: 1.0, layers: 40, held: 0.0 };
/// assert_eq!(prefill_ms(&model, &[half, half], 512.0), 4.0);
/// assert_eq!(prefill_ms(&model, &[half, half], 1_024.0), 6.0);
/// ```
pub fn prefill_ms(model: &LayeredModel, stages: &[PrefillStage], tokens: f64) -> f64 {
    let pass = tokens.min(PASS_TOKENS);
    let first: f64 = stages.iter().map(|s| s.pass_ms(model, pass)).sum();
    let slowest = stages.iter().map(|s| s.pass_ms(model, pass)).fold(0.0, f64::max);
    let passes = (tokens / PASS_TOKENS).ceil();
    first + (passes - 1.0).max(0.0) * slowest
}
