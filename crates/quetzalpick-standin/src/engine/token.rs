//! Deterministic generated text: it depends only on the prompt, not on the engine or the time.

use std::ops::Range;

use quetzalpick_client::wire::engine::{PREFIX_BLOCK_BYTES, prefix_hash};

/// Consonants of the generated words.
const CONSONANTS: &[u8; 16] = b"bcdfghjklmnprstv";

/// Vowels of the generated words.
const VOWELS: &[u8; 4] = b"aeio";

/// Bytes of prompt text that count as one token.
const PROMPT_TOKEN_BYTES: usize = 4;

/// Returns the token at an index of the answer to a prompt: four letters and a space.
pub fn token(prompt: &str, index: u32) -> String {
    let blocks = prompt.len().div_ceil(PREFIX_BLOCK_BYTES);
    word(prefix_hash(prompt.as_bytes(), blocks), index)
}

/// Returns the tokens in a range of the answer to a prompt.
pub fn text(prompt: &str, range: Range<u32>) -> String {
    let blocks = prompt.len().div_ceil(PREFIX_BLOCK_BYTES);
    let seed = prefix_hash(prompt.as_bytes(), blocks);
    range.map(|index| word(seed, index)).collect()
}

/// Counts the tokens of generated text.
pub fn count(text: &str) -> u32 {
    let spaces = text.bytes().filter(|byte| *byte == b' ').count();
    u32::try_from(spaces).unwrap_or(u32::MAX)
}

/// Counts the tokens of a prompt.
pub fn count_prompt(prompt: &[u8]) -> u32 {
    let tokens = prompt.len().div_ceil(PROMPT_TOKEN_BYTES);
    u32::try_from(tokens).unwrap_or(u32::MAX)
}

/// Returns the word at an index, derived from the seed with the SplitMix64 finalizer.
fn word(seed: u64, index: u32) -> String {
    const GOLDEN_GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;
    let mut bits = seed.wrapping_add(GOLDEN_GAMMA.wrapping_mul(u64::from(index) + 1));
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^= bits >> 31;
    let mut letter = |letters: &[u8]| {
        let position = bits % letters.len() as u64;
        bits /= letters.len() as u64;
        char::from(letters[position as usize])
    };
    let mut word = String::with_capacity(5);
    for _ in 0..2 {
        word.push(letter(CONSONANTS));
        word.push(letter(VOWELS));
    }
    word.push(' ');
    word
}
