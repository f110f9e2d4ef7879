//! Paths of calls to services, and which rule is meant for them.

use crate::record::Route;

/// Longest path prefix of a rule, in bytes.
pub(crate) const PREFIX_MAX_BYTES: usize = 512;

/// Tells whether a path is in plain form, so that every server reads it the same way.
///
/// A plain path begins with `/`, has no empty, `.` or `..` segments, and no percent-encoding, parameters, backslashes
/// or characters outside visible ASCII. A trailing `/` is allowed.
pub fn is_plain(path: &str) -> bool {
    let plain_byte = |byte: u8| byte.is_ascii_graphic() && !b"%\\;?#".contains(&byte);
    let Some(rest) = path.strip_prefix('/') else {
        return false;
    };
    let rest = rest.strip_suffix('/').unwrap_or(rest);
    let plain_segment = |segment: &str| !matches!(segment, "" | "." | "..");
    let is_root = path == "/";
    path.bytes().all(plain_byte) && (is_root || rest.split('/').all(plain_segment))
}

/// Tells whether a path lies under a prefix, which ends at the boundary of a segment.
fn is_under(path: &str, prefix: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/')
}

/// Returns the rule with the longest prefix; among equals one for the exact method goes first.
pub(crate) fn find<'a>(routes: &'a [Route], method: &str, path: &str) -> Option<&'a Route> {
    if !is_plain(path) {
        return None;
    }
    let for_method = |route: &&Route| route.method == "*" || route.method == method;
    let matching = routes
        .iter()
        .filter(for_method)
        .filter(|route| is_under(path, &route.prefix));
    matching.max_by_key(|route| (route.prefix.len(), route.method != "*"))
}
