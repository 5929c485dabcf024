//! Services and the cost model of their engines, as declared by operators.

use crate::{Millis, Name};

/// A service that routes refer to.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: Name,
    /// Path of its health check.
    pub health_path: String,
    /// Connections that one engine accepts in total, from all its clients.
    pub max_connections: u32,
    /// The model of its engines, if they run a layered one.
    pub model: Option<LayeredModel>,
}

/// A kind of accelerator card.
#[derive(Clone, Debug, PartialEq)]
pub struct Card {
    /// Name of the kind.
    pub name: Name,
    /// Memory for layers and for tokens of requests, megabytes.
    pub memory_mb: f64,
    /// Factor on the duration of token steps.
    pub step_factor: f64,
    /// Factor on the duration of prefill.
    pub prefill_factor: f64,
}

impl Card {
    /// Sort key by speed, fastest first: the sum of the step and prefill factors.
    pub fn speed(&self) -> f64 {
        self.step_factor + self.prefill_factor
    }
}

/// One-way network delay between two failure domains.
#[derive(Clone, Debug, PartialEq)]
pub struct Delay {
    /// One failure domain.
    pub a: Name,
    /// The other failure domain.
    pub b: Name,
    /// Delay in milliseconds.
    pub ms: f64,
}

/// A model whose layers are distributed over engines, with its cost parameters.
#[derive(Clone, Debug, PartialEq)]
pub struct LayeredModel {
    /// Number of layers.
    pub layers: u32,
    /// Size of one layer's weights, megabytes.
    pub layer_mb: f64,
    /// Memory of one token in all layers together, bytes.
    pub token_bytes: f64,
    /// Concurrent requests that an engine accepts as the first stage of a path.
    pub slots: u32,
    /// Duration of a token step through all layers on a card of step factor 1, milliseconds.
    pub step_ms: f64,
    /// Time that each request in the batch adds to such a step, milliseconds.
    pub request_ms: f64,
    /// Time that each token of context in the batch adds to such a step, milliseconds.
    pub context_ms: f64,
    /// Prompt tokens per second of prefill through all layers on a card of prefill factor 1.
    pub prefill_rate: f64,
    /// Time to load all layers, milliseconds.
    pub load_ms: Millis,
    /// Number of loads that can run in parallel at full speed.
    pub parallel_loads: u32,
    /// Delay of an engine's status report, milliseconds.
    pub report_lag_ms: Millis,
    /// Typical number of tokens in a prompt.
    pub typical_prompt: f64,
    /// Typical number of tokens in an answer.
    pub typical_answer: f64,
    /// Kinds of accelerator cards.
    pub cards: Vec<Card>,
    /// Delays between failure domains.
    pub delays: Vec<Delay>,
}

impl LayeredModel {
    /// The card of this name.
    pub fn card(&self, name: &str) -> Option<&Card> {
        self.cards.iter().find(|c| c.name.as_str() == name)
    }

    /// Memory of one token in one layer, bytes.
    pub fn token_layer_bytes(&self) -> f64 {
        self.token_bytes / f64::from(self.layers.max(1))
    }

    /// Tokens that a running request holds on average.
    pub fn mean_tokens(&self) -> f64 {
        self.typical_prompt + self.typical_answer / 2.0
    }

    /// Duration of a token step through all layers on a card of step factor 1 for a batch that
    /// holds `tokens` tokens, milliseconds.
    pub fn step_time_ms(&self, tokens: f64) -> f64 {
        let requests = tokens / self.mean_tokens().max(1.0);
        self.step_ms + self.request_ms * requests + self.context_ms * tokens
    }

    /// Number of request tokens that fit on a card in addition to `count` layers.
    pub fn token_capacity(&self, card: &Card, count: u32) -> f64 {
        let free = (card.memory_mb - f64::from(count) * self.layer_mb) * 1e6;
        free / (self.token_layer_bytes() * f64::from(count.max(1)))
    }

    /// Most layers that fit on a card in addition to `tokens` request tokens.
    pub fn max_layers(&self, card: &Card, tokens: f64) -> u32 {
        let layer = self.layer_mb + tokens * self.token_layer_bytes() / 1e6;
        (card.memory_mb / layer).floor() as u32
    }

    /// One-way delay between two failure domains, milliseconds; 0 if none is declared.
    pub fn delay(&self, a: &Name, b: &Name) -> f64 {
        let joins = |d: &&Delay| (&d.a == a && &d.b == b) || (&d.a == b && &d.b == a);
        self.delays.iter().find(joins).map_or(0.0, |d| d.ms)
    }
}
