//! Digest of a request, by which repeats of it are recognized.

use http::header::HOST;
use http::request::Parts;
use quetzalpick_core::id::Workspace;
use sha2::{Digest as _, Sha256};

/// Returns a digest of what determines the work of an endpoint and stays the same when a caller repeats a request: its method, host,
/// path, query, workspace and body. Key and attempt change between repeats, and other workspaces' requests are others.
pub(crate) fn digest(head: &Parts, host: &str, workspace: Option<&Workspace>, body: &[u8]) -> u64 {
    let target = head
        .uri
        .path_and_query()
        .map_or("", |target| target.as_str());
    let workspace = workspace.map_or("", |name| name.as_str());
    let mut hasher = Sha256::new();
    for field in [head.method.as_str(), host, target, workspace] {
        // The length separates the fields.
        hasher.update(field.len().to_be_bytes());
        hasher.update(field);
    }
    hasher.update(body);
    let digest = hasher.finalize();
    let first: [u8; 8] = std::array::from_fn(|index| digest[index]);
    u64::from_be_bytes(first)
}

/// Returns the host of a request, without its port.
pub(crate) fn host(head: &Parts) -> &str {
    let named = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = named.or(head.uri.host()).unwrap_or_default();
    host.split(':').next().unwrap_or_default()
}
