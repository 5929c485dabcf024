//! Services and the cost model of their engines, as operators declare them.

use crate::{Millis, Name};

/// A service that routes lead to.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: Name,
    /// Path of its health check.
    pub health: String,
    /// Connections that one engine takes from all callers together.
    pub connections: u32,
    /// The model its engines run, if they run one in layers.
    pub model: Option<LayeredModel>,
}

/// An accelerator kind.
#[derive(Clone, Debug, PartialEq)]
pub struct Card {
    /// Name of the kind.
    pub name: Name,
    /// Memory for layers and requests, megabytes.
    pub memory_mb: f64,
    /// Factor on the time of token steps.
    pub step_factor: f64,
    /// Factor on the time of reading prompts.
    pub prefill_factor: f64,
}

impl Card {
    /// What orders cards by speed, fastest first: the factors on steps and on reading together.
    pub fn speed(&self) -> f64 {
        self.step_factor + self.prefill_factor
    }
}

/// A delay between two failure domains, one way.
#[derive(Clone, Debug, PartialEq)]
pub struct Delay {
    /// One of them.
    pub a: Name,
    /// The other one.
    pub b: Name,
    /// Milliseconds.
    pub ms: f64,
}

/// A model whose layers are spread over engines, with the cost of running it.
#[derive(Clone, Debug, PartialEq)]
pub struct LayeredModel {
    /// Number of layers.
    pub layers: u32,
    /// Weights of one layer, megabytes.
    pub layer_mb: f64,
    /// Memory that a token takes in all layers together, bytes.
    pub token_bytes: f64,
    /// Requests that an engine takes as the first of a path.
    pub slots: u32,
    /// Time of a token step through all layers on a card of pace 1, milliseconds.
    pub step_ms: f64,
    /// Time that each request of a batch adds to such a step, milliseconds.
    pub request_ms: f64,
    /// Time that each token held by a batch adds to such a step, milliseconds.
    pub context_ms: f64,
    /// Prompt tokens read a second through all layers on a card of factor 1.
    pub prefill_rate: f64,
    /// Time to load all layers, milliseconds.
    pub load_ms: Millis,
    /// Loads that run at full speed at the same time.
    pub parallel_loads: u32,
    /// How late an engine's report of itself is, milliseconds.
    pub report_lag_ms: Millis,
    /// Usual tokens of a prompt.
    pub typical_prompt: f64,
    /// Usual tokens of an answer.
    pub typical_answer: f64,
    /// Accelerator kinds.
    pub cards: Vec<Card>,
    /// Delays between failure domains.
    pub delays: Vec<Delay>,
}

impl LayeredModel {
    /// The card of this name.
    pub fn card(&self, name: &str) -> Option<&Card> {
        self.cards.iter().find(|c| c.name.as_str() == name)
    }

    /// Memory that a token takes in one layer, bytes.
    pub fn token_layer_bytes(&self) -> f64 {
        self.token_bytes / f64::from(self.layers.max(1))
    }

    /// Tokens that a request holds on average while it runs.
    pub fn mean_tokens(&self) -> f64 {
        self.typical_prompt + self.typical_answer / 2.0
    }

    /// Time of a token step through all layers on a card of pace 1, with a batch that holds `tokens`
    /// tokens, milliseconds.
    pub fn step_time_ms(&self, tokens: f64) -> f64 {
        let requests = tokens / self.mean_tokens().max(1.0);
        self.step_ms + self.request_ms * requests + self.context_ms * tokens
    }

    /// Tokens of requests that fit beside `count` layers on a card.
    pub fn token_capacity(&self, card: &Card, count: u32) -> f64 {
        let free = (card.memory_mb - f64::from(count) * self.layer_mb) * 1e6;
        free / (self.token_layer_bytes() * f64::from(count.max(1)))
    }

    /// Most layers a card holds beside the requests of `tokens` tokens.
    pub fn max_layers(&self, card: &Card, tokens: f64) -> u32 {
        let layer = self.layer_mb + tokens * self.token_layer_bytes() / 1e6;
        (card.memory_mb / layer).floor() as u32
    }

    /// One-way delay between two failure domains, if declared.
    pub fn delay(&self, a: &Name, b: &Name) -> f64 {
        let joins = |d: &&Delay| (&d.a == a && &d.b == b) || (&d.a == b && &d.b == a);
        self.delays.iter().find(joins).map_or(0.0, |d| d.ms)
    }
}
