//! The model that stand-in engines run.
//!
//! The token at a position depends on the prompt, the tokens before it and every layer folded in
//! order: each layer mixes its input with its own weights and with a digest of all inputs it has
//! seen, which is its KV cache. A layer skipped, repeated or swapped gives another answer.

use heathpitch_core::{LayerRange, Name};
use heathpitch_policy::prompt_tokens;

/// Number of tokens in the vocabulary.
const VOCABULARY: u64 = 50_021;
/// One token in this many ends an answer.
const STOP: u32 = 499;

/// KV cache of a range of layers for one sequence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvCache {
    layers: LayerRange,
    weights: Vec<u64>,
    /// Digest of each layer's inputs so far.
    pub digests: Vec<u64>,
}

impl KvCache {
    /// An empty cache of these layers.
    pub fn new(model: &Name, version: &Name, layers: LayerRange) -> Self {
        let salt = hash(model.as_str().as_bytes(), hash(version.as_str().as_bytes(), 7));
        let weights = (layers.first..layers.end).map(|l| mix(salt, u64::from(l) + 1)).collect();
        Self { layers, weights, digests: vec![0; layers.count() as usize] }
    }

    /// Runs every layer once, in order, on the input of one position.
    pub fn run(&mut self, input: u64) -> u64 {
        let layers = self.weights.iter().zip(&mut self.digests);
        layers.fold(input, |x, (weight, digest)| {
            *digest = mix(*digest, x);
            mix(mix(x, *weight), *digest)
        })
    }
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReferenceAnswer {
    /// Its tokens.
    pub tokens: Vec<u32>,
    /// Whether the model ended it.
    pub stopped: bool,
}

/// The right answer, computed by one process that holds every layer.
pub fn reference_answer(
    model: &Name,
    version: &Name,
    layers: u32,
    prompt: &str,
    wanted: u32,
) -> ReferenceAnswer {
    let mut kv = KvCache::new(model, version, LayerRange::new(0, layers));
    let mut tokens = prompt_tokens(prompt);
    let mut last = 0;
    for (at, token) in tokens.iter().enumerate() {
        last = kv.run(embed(*token, at as u32));
    }
    let start = tokens.len();
    while tokens.len() - start < wanted as usize {
        let token = token_of(last);
        if stops(token) {
            return ReferenceAnswer { tokens: tokens.split_off(start), stopped: true };
        }
        last = kv.run(embed(token, tokens.len() as u32));
        tokens.push(token);
    }
    ReferenceAnswer { tokens: tokens.split_off(start), stopped: false }
}

/// Text of a token of an answer.
pub fn token_text(token: u32) -> String {
    format!(" w{token}")
}

/// Input of the first layer.
pub(crate) fn embed(token: u32, position: u32) -> u64 {
    mix(u64::from(token) + 1, u64::from(position) + 1)
}

/// Token that the last layer's output stands for.
pub(crate) fn token_of(output: u64) -> u32 {
    (output % VOCABULARY) as u32
}

/// Whether the token ends the answer.
pub(crate) fn stops(token: u32) -> bool {
    token.is_multiple_of(STOP)
}

/// Mixes two numbers; order matters.
pub(crate) fn mix(a: u64, b: u64) -> u64 {
    let x = (a ^ b.rotate_left(29)).wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(b);
    (x ^ (x >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}

/// Hashes bytes after `seed`.
pub(crate) fn hash(bytes: &[u8], seed: u64) -> u64 {
    bytes.iter().fold(seed, |h, b| mix(h, u64::from(*b) + 1))
}
