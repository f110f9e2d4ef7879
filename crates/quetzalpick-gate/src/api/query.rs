//! Queries and paths: what of them may reach an endpoint.

/// Names of parameters that carry keys, lower case without separators.
const KEY_PARAMETERS: [&str; 13] = [
    "accesskey",
    "accesstoken",
    "apikey",
    "apitoken",
    "auth",
    "authorization",
    "authtoken",
    "bearer",
    "key",
    "password",
    "secret",
    "token",
    "xapikey",
];

/// Rounds of percent-decoding after which a text is searched for a key.
const DECODE_ROUNDS: usize = 3;

/// Decodes percent-encoding and `+` once; bad sequences stay as they are.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        let byte = hex
            .and_then(|hex| std::str::from_utf8(hex).ok())
            .and_then(|hex| u8::from_str_radix(hex, 16).ok());
        at += if byte.is_some() { 3 } else { 1 };
        let plain = bytes
            .get(at - 1)
            .map(|b| if *b == b'+' { b' ' } else { *b });
        out.extend(byte.or(plain));
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Tells whether a text holds one of the keys, plainly or percent-encoded.
pub(crate) fn holds_key(text: &str, keys: &[String]) -> bool {
    let mut text = text.to_owned();
    for _ in 0..=DECODE_ROUNDS {
        if keys.iter().any(|key| text.contains(key.as_str())) {
            return true;
        }
        text = decode(&text);
    }
    false
}

/// Tells whether a parameter is one that carries keys.
fn carries_key(name: &str) -> bool {
    let plain: String = decode(name)
        .chars()
        .filter(char::is_ascii_alphanumeric)
        .map(|c| c.to_ascii_lowercase())
        .collect();
    KEY_PARAMETERS.contains(&plain.as_str())
}

/// Iterates over the values of parameters that carry keys, decoded.
pub(crate) fn presented(query: &str) -> impl Iterator<Item = String> {
    query.split(['&', ';']).filter_map(|pair| {
        let (name, value) = pair.split_once('=')?;
        (carries_key(name) && !value.is_empty()).then(|| decode(value))
    })
}

/// Returns the query without parameters that carry keys or hold one of the given.
pub(crate) fn strip(query: &str, keys: &[String]) -> String {
    let kept: Vec<&str> = query
        .split(['&', ';'])
        .filter(|pair| !carries_key(pair.split('=').next().unwrap_or(pair)))
        .filter(|pair| !holds_key(pair, keys))
        .collect();
    kept.join("&")
}
