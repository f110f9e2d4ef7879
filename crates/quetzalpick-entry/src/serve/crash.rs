//! Requests whose endpoint ended before their first event: a part of their prompt may be what crashed it.

use crate::fleet::Pick;
use crate::serve::Context;
use crate::serve::request::Admitted;

/// Records that an endpoint broke off a request before its first event.
pub(crate) fn record<E, S>(context: &Context<E, S>, admitted: &Admitted, pick: &Pick) {
    let parts = admitted.metadata.shared_parts();
    if parts.is_empty() {
        return;
    }
    let now_ms = context.clock.now_ms();
    context.quarantine.record_crash(now_ms, pick, parts);
    let parts: Vec<String> = parts.iter().map(|part| format!("{:x}", part.id)).collect();
    log::info!(
        "entry: request={} broken off before its first event endpoint={} parts={}",
        admitted.id(),
        pick.endpoint,
        parts.join(",")
    );
}
