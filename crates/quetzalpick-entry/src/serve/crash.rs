//! Requests whose endpoint ended while it ran them: they may be what crashed it.

use quetzalpick_core::quarantine::Feature;

use crate::fleet::Pick;
use crate::serve::Context;
use crate::serve::request::Admitted;

/// Records that an endpoint broke off a request. The parts of its prompt are suspected only if it had no event yet: endpoints crash on
/// a part before that, and on a request at any time.
pub(crate) fn record<E, S>(
    context: &Context<E, S>,
    admitted: &Admitted,
    pick: &Pick,
    has_event: bool,
) {
    let parts = admitted.part_features().filter(|_| !has_event);
    let features: Vec<Feature> = parts.chain([admitted.repeat_feature()]).collect();
    let names: Vec<String> = features.iter().map(Feature::to_string).collect();
    log::info!(
        "entry: request={} broken off endpoint={} event={has_event} features={}",
        admitted.id(),
        pick.endpoint,
        names.join(",")
    );
    let now_ms = context.clock.now_ms();
    context.quarantine.record_crash(now_ms, pick, features);
}
