//! Chained hashes of prompt blocks, as engines publish them in cache events.

use heathpitch_core::Name;

/// Token that starts every prompt.
const START_TOKEN: u32 = 256;
/// Tokens in a block.
pub const BLOCK_TOKENS: usize = 16;

/// Hashes of the complete blocks of a prompt, each chained to the one before.
///
/// The chain is seeded with the client account and the model, so that accounts never share a block.
/// A prompt of `n` tokens can hit at most `n / 16` blocks, rounded down.
///
/// # Examples
///
/// ```
/// use heathpitch_policy::blocks;
///
/// let (a, b, m) = ("a".parse()?, "b".parse()?, "m".parse()?);
/// let tokens: Vec<u32> = (0..40).collect();
/// assert_eq!(blocks(&a, &m, &tokens).len(), 2);
/// assert_ne!(blocks(&a, &m, &tokens), blocks(&b, &m, &tokens));
/// # Ok::<(), heathpitch_core::NameError>(())
/// ```
pub fn blocks(account: &Name, model: &Name, tokens: &[u32]) -> Vec<u64> {
    let salt = hash_name(model, hash_name(account, 3));
    let chain = tokens.chunks_exact(BLOCK_TOKENS).scan(salt, |h, block| {
        *h = block.iter().fold(*h, |h, t| mix(h, u64::from(*t) + 1));
        Some(*h)
    });
    chain.collect()
}

/// Tokens of a prompt as engines of this protocol count them: a start token, then one per byte.
pub fn prompt_tokens(prompt: &str) -> Vec<u32> {
    std::iter::once(START_TOKEN).chain(prompt.bytes().map(u32::from)).collect()
}

/// Hashes a name with `seed`.
pub(crate) fn hash_name(name: &Name, seed: u64) -> u64 {
    name.as_str().bytes().fold(seed, |h, b| mix(h, u64::from(b) + 1))
}

/// Mixes two numbers; order matters.
pub(crate) fn mix(a: u64, b: u64) -> u64 {
    let x = (a ^ b.rotate_left(29)).wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(b);
    (x ^ (x >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}
