//! Validation of the paths of calls to services, and selection of the matching route.

use crate::record::Route;

/// Longest path prefix of a route, in bytes.
pub(crate) const PREFIX_MAX_BYTES: usize = 512;

/// Returns whether a path is in plain form, which every server interprets in the same way.
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

/// Returns whether a path starts with a prefix that ends at a segment boundary.
fn is_under(path: &str, prefix: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/')
}

/// Returns the matching route with the longest prefix; among equal prefixes, one for the exact method takes precedence.
pub(crate) fn find<'a>(routes: &'a [Route], method: &str, path: &str) -> Option<&'a Route> {
    if !is_plain(path) {
        return None;
    }
    let matches_method = |route: &&Route| route.method == "*" || route.method == method;
    let matching = routes
        .iter()
        .filter(matches_method)
        .filter(|route| is_under(path, &route.prefix));
    matching.max_by_key(|route| (route.prefix.len(), route.method != "*"))
}
