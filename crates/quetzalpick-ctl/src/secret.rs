//! Keys are made here and shown once; only their digest leaves the operator's desk.

use rand::Rng;
use sha2::{Digest, Sha256};

/// Random bytes of a key.
const SECRET_BYTES: usize = 32;
/// What every key begins with, so that it can be recognised where it should not be.
const PREFIX: &str = "qp_";

/// `Secret` is a caller's key.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// Draws a key.
    pub fn draw(random: &mut impl Rng) -> Self {
        let mut bytes = [0; SECRET_BYTES];
        random.fill_bytes(&mut bytes);
        Self(format!("{PREFIX}{}", hex(&bytes)))
    }

    /// Returns the key itself, to be shown once.
    pub fn reveal(&self) -> &str {
        &self.0
    }

    /// Returns the digest in hexadecimal digits.
    pub fn digest(&self) -> String {
        hex(&Sha256::digest(self.0.as_bytes()))
    }
}

/// `Line` is a line as it is sent, with the key that was made for it.
pub struct Line {
    /// The text to send.
    pub text: String,
    /// The key to show if the command is accepted.
    pub secret: Option<Secret>,
}

impl Line {
    /// Makes a key for `create key NAME for WORKSPACE` without a digest; other lines stay as they are.
    pub fn new(text: &str, random: &mut impl Rng) -> Self {
        let words: Vec<&str> = text.split_whitespace().collect();
        let is = |at: usize, word: &str| {
            words
                .get(at)
                .is_some_and(|found| found.eq_ignore_ascii_case(word))
        };
        let creates_key = is(0, "create") && is(1, "key") && is(3, "for") && words.len() >= 5;
        if !creates_key || is(5, "digest") {
            return Self {
                text: text.to_owned(),
                secret: None,
            };
        }
        let secret = Secret::draw(random);
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

/// Writes bytes as hexadecimal digits.
fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
