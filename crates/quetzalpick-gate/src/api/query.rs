//! Removal of keys from queries, and search for keys in queries and paths.

/// Names of query parameters that carry keys, in lower case and without separators.
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

/// Number of times that a text is percent-decoded in the search for keys.
const DECODE_ROUNDS: usize = 3;

/// Decodes percent-encoding and `+` once; invalid sequences are left unchanged.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut position = 0;
    while position < bytes.len() {
        let hex = bytes
            .get(position + 1..position + 3)
            .filter(|_| bytes[position] == b'%');
        let byte = hex
            .and_then(|hex| std::str::from_utf8(hex).ok())
            .and_then(|hex| u8::from_str_radix(hex, 16).ok());
        position += if byte.is_some() { 3 } else { 1 };
        let literal = bytes
            .get(position - 1)
            .map(|b| if *b == b'+' { b' ' } else { *b });
        decoded.extend(byte.or(literal));
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Returns whether a text contains one of the keys, either literally or percent-encoded.
pub(crate) fn contains_key(text: &str, keys: &[String]) -> bool {
    let mut text = text.to_owned();
    for _ in 0..=DECODE_ROUNDS {
        if keys.iter().any(|key| text.contains(key.as_str())) {
            return true;
        }
        text = decode(&text);
    }
    false
}

/// Returns whether a query parameter of this name carries a key.
fn is_key_parameter(name: &str) -> bool {
    let normalized: String = decode(name)
        .chars()
        .filter(char::is_ascii_alphanumeric)
        .map(|c| c.to_ascii_lowercase())
        .collect();
    KEY_PARAMETERS.contains(&normalized.as_str())
}

/// Iterates over the decoded values of the parameters that carry keys.
pub(crate) fn key_values(query: &str) -> impl Iterator<Item = String> {
    query.split(['&', ';']).filter_map(|pair| {
        let (name, value) = pair.split_once('=')?;
        (is_key_parameter(name) && !value.is_empty()).then(|| decode(value))
    })
}

/// Splits a path or query at its separators, both as given and after each round of decoding.
pub(crate) fn segments(text: &str) -> Vec<String> {
    let split = |text: &str| -> Vec<String> {
        let segments = text.split(['/', '&', ';', '=', ' ', ',']);
        segments.map(str::to_owned).collect()
    };
    let mut text = text.to_owned();
    let mut segments = split(&text);
    for _ in 0..DECODE_ROUNDS {
        text = decode(&text);
        segments.extend(split(&text));
    }
    segments
}

/// Returns the query without parameters that carry keys by their name or contain one of the given keys.
pub(crate) fn without_keys(query: &str, keys: &[String]) -> String {
    let remaining: Vec<&str> = query
        .split(['&', ';'])
        .filter(|pair| !is_key_parameter(pair.split('=').next().unwrap_or(pair)))
        .filter(|pair| !contains_key(pair, keys))
        .collect();
    remaining.join("&")
}
