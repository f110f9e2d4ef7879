//! The little of JSON and base64 that the stand-ins need.

/// Returns the text of a field of a flat object, without quotes; `None` if it is missing.
pub fn field(json: &str, name: &str) -> Option<String> {
    let key = format!("\"{name}\":");
    let rest = json[json.find(&key)? + key.len()..].trim_start();
    if let Some(text) = rest.strip_prefix('"') {
        return Some(text[..text.find('"')?].to_owned());
    }
    let end = rest.find([',', '}'])?;
    Some(rest[..end].trim().to_owned())
}

/// Encodes bytes in base64.
pub fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let number = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for place in 0..4 {
            if place > chunk.len() {
                text.push('=');
            } else {
                text.push(ALPHABET[(number >> (18 - 6 * place) & 63) as usize] as char);
            }
        }
    }
    text
}
