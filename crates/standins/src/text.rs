//! The reproducible text that the engines generate.
//!
//! A token depends on the prompt, the seed, its index and the weights version,
//! so that a test can check whether the versions that a sample names are the
//! ones that generated it.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

const WORDS: [&str; 16] = [
    " water", " cola", " nuts", " feeder", " stencil", " reel", " floor", " fridge", " board",
    " lane", " stock", " two", " nine", " left", " again", " next",
];

/// Returns the token at an index.
#[must_use]
pub fn token(prompt: &str, seed: u64, index: u32, weights_version: u64) -> Arc<str> {
    let index_hash = xxh3_64_with_seed(&index.to_le_bytes(), seed);
    let hash = xxh3_64_with_seed(
        prompt.as_bytes(),
        index_hash ^ weights_version.wrapping_mul(0x9E37_79B9_7F4A_7C15),
    );
    let word = usize::try_from(hash % 16).unwrap_or_default();
    format!("{}{:02x}", WORDS[word], (hash >> 8) & 0xFF).into()
}

/// Returns the number of tokens in an answer.
///
/// Most answers are shorter than `max_tokens` and about one in 16 has that
/// length.
#[must_use]
pub fn token_count(prompt: &str, seed: u64, max_tokens: u32) -> u32 {
    let hash = xxh3_64_with_seed(prompt.as_bytes(), seed.wrapping_add(1));
    let percent = match hash % 16 {
        0 => 100,
        remainder => 20 + u32::try_from(remainder).unwrap_or_default() * 3,
    };
    (max_tokens * percent / 100).max(1)
}
