//! Deterministic model that fake engines run.
//!
//! The token at a position depends on the prompt, the preceding tokens and every layer applied in
//! order: each layer mixes its input with its weights and with a digest of all its inputs so far,
//! which is its KV cache. A skipped, repeated or swapped layer therefore changes the answer.

use heathpitch_core::{LayerRange, Name};
use heathpitch_policy::prompt_tokens;

const VOCABULARY_SIZE: u64 = 50_021;
/// One in this many tokens is a stop token.
const STOP_INTERVAL: u32 = 499;

/// KV cache of a range of layers for one sequence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvCache {
    layers: LayerRange,
    weights: Vec<u64>,
    /// Digest of the inputs of each layer so far.
    pub digests: Vec<u64>,
}

impl KvCache {
    /// Empty cache of these layers.
    pub fn new(model: &Name, version: &Name, layers: LayerRange) -> Self {
        let salt = hash(model.as_str().as_bytes(), hash(version.as_str().as_bytes(), 7));
        let weights = (layers.first..layers.end).map(|l| mix(salt, u64::from(l) + 1)).collect();
        Self { layers, weights, digests: vec![0; layers.count() as usize] }
    }

    /// Runs each layer once, in order, on the input of one position.
    pub fn run(&mut self, input: u64) -> u64 {
        let layers = self.weights.iter().zip(&mut self.digests);
        layers.fold(input, |x, (weight, digest)| {
            *digest = mix(*digest, x);
            mix(mix(x, *weight), *digest)
        })
    }
}

/// Complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReferenceAnswer {
    /// Output tokens.
    pub tokens: Vec<u32>,
    /// Whether it ended with a stop token.
    pub stopped: bool,
}

/// Expected answer, computed in this process with all layers.
pub fn reference_answer(
    model: &Name,
    version: &Name,
    layers: u32,
    prompt: &str,
    max_tokens: u32,
) -> ReferenceAnswer {
    let mut kv = KvCache::new(model, version, LayerRange::new(0, layers));
    let mut tokens = prompt_tokens(prompt);
    let mut last = 0;
    for (position, token) in tokens.iter().enumerate() {
        last = kv.run(embed(*token, position as u32));
    }
    let start = tokens.len();
    while tokens.len() - start < max_tokens as usize {
        let token = token_of(last);
        if is_stop_token(token) {
            return ReferenceAnswer { tokens: tokens.split_off(start), stopped: true };
        }
        last = kv.run(embed(token, tokens.len() as u32));
        tokens.push(token);
    }
    ReferenceAnswer { tokens: tokens.split_off(start), stopped: false }
}

/// Text of an output token.
pub fn token_text(token: u32) -> String {
    format!(" w{token}")
}

/// Input of the first layer.
pub(crate) fn embed(token: u32, position: u32) -> u64 {
    mix(u64::from(token) + 1, u64::from(position) + 1)
}

/// Token encoded by the output of the last layer.
pub(crate) fn token_of(output: u64) -> u32 {
    (output % VOCABULARY_SIZE) as u32
}

pub(crate) fn is_stop_token(token: u32) -> bool {
    token.is_multiple_of(STOP_INTERVAL)
}

/// Mixes two numbers; not commutative.
pub(crate) fn mix(a: u64, b: u64) -> u64 {
    let x = (a ^ b.rotate_left(29)).wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(b);
    (x ^ (x >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}

/// Hashes bytes, starting from `seed`.
pub(crate) fn hash(bytes: &[u8], seed: u64) -> u64 {
    bytes.iter().fold(seed, |h, b| mix(h, u64::from(*b) + 1))
}
