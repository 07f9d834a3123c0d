//! The answers: each token is a function of the request, the version and the token's place.

use oleander_kind::hash::mix_bits;

/// The text of token `index` of the answer to the prompt with `seed`.
pub fn token_text(seed: u64, index: u64) -> String {
    const SYLLABLES: &[&str] =
        &["ka", "lo", "mi", "re", "tu", "so", "ne", "pa", "vi", "du", "ha", "je", "ol", "um"];
    let bits = mix_bits(seed ^ mix_bits(index));
    let pick = |shift: u32| SYLLABLES[((bits >> shift) % SYLLABLES.len() as u64) as usize];
    format!("{}{}{} ", pick(0), pick(16), pick(32))
}

/// The seed of the answer to `prompt_hash` by model version `version`.
pub fn answer_seed(prompt_hash: u64, version: &str) -> u64 {
    let version = oleander_kind::hash::stable_hash(prompt_hash, version.as_bytes());
    mix_bits(version)
}

/// The whole answer of `tokens` tokens.
pub fn answer_text(seed: u64, tokens: u64) -> String {
    (0..tokens).map(|index| token_text(seed, index)).collect()
}
