//! Requests whose endpoint ended before their first event: a part of their prompt may be what crashed it.

use crate::fleet::Pick;
use crate::serve::request::Admitted;

/// Records that an endpoint broke off a request before its first event.
pub(crate) fn record(admitted: &Admitted, pick: &Pick) {
    let parts = admitted.metadata.shared_parts();
    if parts.is_empty() {
        return;
    }
    let parts: Vec<String> = parts.iter().map(|part| format!("{:x}", part.id)).collect();
    log::info!(
        "entry: request={} broken off before its first event endpoint={} parts={}",
        admitted.id(),
        pick.endpoint,
        parts.join(",")
    );
}
