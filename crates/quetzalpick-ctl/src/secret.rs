//! Generates workspace keys. A key is shown to the operator once, and only its digest is sent.

use rand::Rng;
use sha2::{Digest, Sha256};

/// Number of random bytes in a key.
const SECRET_BYTES: usize = 32;
/// Prefix of every key, so that leaked keys can be recognised.
const PREFIX: &str = "qp_";

/// `Secret` holds a generated key that callers of a workspace authenticate with.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// Generates a random key.
    pub fn generate(rng: &mut impl Rng) -> Self {
        let mut bytes = [0; SECRET_BYTES];
        rng.fill_bytes(&mut bytes);
        Self(format!("{PREFIX}{}", hex(&bytes)))
    }

    /// Returns the key in plain text, to show it once.
    pub fn reveal(&self) -> &str {
        &self.0
    }

    /// Returns the key's SHA-256 digest in hexadecimal digits.
    pub fn digest(&self) -> String {
        hex(&Sha256::digest(self.0.as_bytes()))
    }
}

/// `Line` holds the text to send and the key generated for it, if any.
pub struct Line {
    /// Text to send.
    pub text: String,
    /// Key to show if the command may have taken effect.
    pub secret: Option<Secret>,
}

impl Line {
    /// Generates a key for `create key NAME for WORKSPACE` without a digest; other lines are sent unchanged.
    pub fn new(text: &str, rng: &mut impl Rng) -> Self {
        let words: Vec<&str> = text.split_whitespace().collect();
        let word_is = |index: usize, expected: &str| {
            words
                .get(index)
                .is_some_and(|word| word.eq_ignore_ascii_case(expected))
        };
        let creates_key =
            word_is(0, "create") && word_is(1, "key") && word_is(3, "for") && words.len() >= 5;
        if !creates_key || word_is(5, "digest") {
            return Self {
                text: text.to_owned(),
                secret: None,
            };
        }
        let secret = Secret::generate(rng);
        let digest = secret.digest();
        let mut sent: Vec<&str> = words[..5].to_vec();
        sent.extend(["digest", &digest]);
        sent.extend(&words[5..]);
        Self {
            text: sent.join(" "),
            secret: Some(secret),
        }
    }
}

/// Formats bytes as hexadecimal digits.
fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
