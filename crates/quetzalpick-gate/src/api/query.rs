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
        out.extend(byte.or(literal));
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Tells whether a text holds one of the keys, plainly or percent-encoded.
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

/// Tells whether a parameter is one that carries keys.
fn is_key_parameter(name: &str) -> bool {
    let normalized: String = decode(name)
        .chars()
        .filter(char::is_ascii_alphanumeric)
        .map(|c| c.to_ascii_lowercase())
        .collect();
    KEY_PARAMETERS.contains(&normalized.as_str())
}

/// Iterates over the values of parameters that carry keys, decoded.
pub(crate) fn key_values(query: &str) -> impl Iterator<Item = String> {
    query.split(['&', ';']).filter_map(|pair| {
        let (name, value) = pair.split_once('=')?;
        (is_key_parameter(name) && !value.is_empty()).then(|| decode(value))
    })
}

/// Returns the words of a path or a query, as they are and decoded.
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

/// Returns the query without parameters that carry keys or hold one of the given.
pub(crate) fn without_keys(query: &str, keys: &[String]) -> String {
    let remaining: Vec<&str> = query
        .split(['&', ';'])
        .filter(|pair| !is_key_parameter(pair.split('=').next().unwrap_or(pair)))
        .filter(|pair| !contains_key(pair, keys))
        .collect();
    remaining.join("&")
}
