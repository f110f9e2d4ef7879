//! What endpoints say of the requests that they take, as far as this VM knows it.

use quetzalpick_core::id::Endpoint;
use quetzalpick_core::limit::{Limit, Need, Rate};

use crate::fleet::cold::{Source, log_cold};
use crate::fleet::limited::{Limited, Said};
use crate::fleet::row::Row;
use crate::fleet::{BuildChoice, ColdNotice, Fleet, Notice, Pick, Requirements};

impl Fleet {
    /// Applies what an endpoint says in an answer to this VM.
    pub(crate) fn observe_limit(&self, now_ms: u64, pick: &Pick, said: Said) {
        let mut rows = self.rows();
        let row = rows.get_mut(&pick.endpoint);
        let Some(row) = row.filter(|row| row.spec.started_ms == pick.started_ms) else {
            return;
        };
        let former = row.limited.clone();
        if row.limited.observe(now_ms, said) {
            row.version = self.next_version();
            log_change(&pick.endpoint, &row.limited, &former, "answer");
            // Other VMs go on sending without permits until they hear of it.
            self.room_changed.notify_one();
        }
    }

    /// Records an answer whose limit could not be decoded; returns whether it is the endpoint's first one.
    pub(crate) fn record_malformed_limit(&self, endpoint: &Endpoint) -> bool {
        let mut rows = self.rows();
        let row = rows.get_mut(endpoint);
        row.is_some_and(|row| !std::mem::replace(&mut row.limited.malformed_logged, true))
    }

    /// Applies what endpoints said to other VMs.
    pub(crate) fn learn_limits(&self, now_ms: u64, notices: &[Notice]) {
        let mut rows = self.rows();
        for notice in notices {
            let row = rows.get_mut(&notice.endpoint);
            let Some(row) = row.filter(|row| row.spec.started_ms == notice.started_ms) else {
                continue;
            };
            let former = row.limited.clone();
            if row.limited.learn(now_ms, notice.said(now_ms)) {
                row.version = self.next_version();
                log_change(&notice.endpoint, &row.limited, &former, "other-vm");
            }
            let left_ms = notice.cold.map_or(0, |cold| cold.left_ms);
            if row.limited.cold.learn(now_ms, left_ms) {
                row.version = self.next_version();
                log_cold(&notice.endpoint, &row.limited, left_ms, Source::OtherVm);
            }
        }
    }

    /// Returns what the leader is to be told.
    pub(crate) fn limits_to_tell(&self, now_ms: u64) -> Vec<Notice> {
        let rows = self.rows();
        let changed = rows
            .iter()
            .filter(|(_, row)| row.limited.changed_recently(now_ms));
        let notice = |name: &Endpoint, row: &Row| {
            let mut notice = row.notice(now_ms, name)?;
            // The leader's own word, on its way back, would move the end on by the time of the messages.
            let left_ms = row.limited.observed_cold_ms(now_ms);
            let observed = notice.cold.filter(|_| left_ms > 0);
            notice.cold = observed.map(|cold| ColdNotice { left_ms, ..cold });
            Some(notice)
        };
        changed
            .filter_map(|(name, row)| notice(name, row))
            .collect()
    }

    /// Returns the limit in force of an endpoint.
    pub(crate) fn limit(&self, now_ms: u64, endpoint: &Endpoint) -> Option<Limit> {
        self.rows().get(endpoint)?.limited.limit(now_ms)
    }

    /// Returns the limit in force of an endpoint that counts calls of this VM too: one that names a limit.
    pub(crate) fn limit_of_calls(&self, now_ms: u64, endpoint: &Endpoint) -> Option<Limit> {
        let rows = self.rows();
        let limited = &rows.get(endpoint)?.limited;
        limited.rate()?;
        limited.limit(now_ms)
    }

    /// Returns the limit in force of the incarnation that a notice concerns, after that notice was applied. It is cold as long as
    /// this VM or the sender takes it to be.
    pub(crate) fn limit_after(&self, now_ms: u64, notice: &Notice) -> Option<Limit> {
        let rows = self.rows();
        let row = rows.get(&notice.endpoint);
        let row = row.filter(|row| row.spec.started_ms == notice.started_ms);
        let rate = row.map_or(notice.rate, |row| row.limited.rate());
        let told = notice.cold.map(|cold| cold.rate);
        let known = row.and_then(|row| row.limited.cold_rate(now_ms));
        Limit::combined(rate, known.into_iter().chain(told).min())
    }

    /// Returns the endpoints that name a limit, sorted.
    pub(crate) fn limits(&self) -> Vec<(Endpoint, Rate)> {
        let rows = self.rows();
        let limited = rows
            .iter()
            .filter_map(|(name, row)| Some((name, row.limited.rate()?)));
        limited.map(|(name, rate)| (name.clone(), rate)).collect()
    }

    /// Returns what the leader is told with a draw; `None` if the endpoint needs no permits.
    pub(crate) fn limit_notice(&self, now_ms: u64, endpoint: &Endpoint) -> Option<Notice> {
        let rows = self.rows();
        let row = rows.get(endpoint)?;
        row.notice(now_ms, endpoint)
            .filter(|_| row.limited.needs_permit(now_ms))
    }

    /// Takes a request from this VM's share of an endpoint's limit, which is used without a leader.
    ///
    /// # Errors
    ///
    /// The time until the next share, in ms, if this one is used up.
    pub(crate) fn take_share(
        &self,
        now_ms: u64,
        endpoint: &Endpoint,
        members: u64,
        random: u64,
    ) -> Result<(), u64> {
        let mut rows = self.rows();
        let limited = rows.get_mut(endpoint).map(|row| &mut row.limited);
        match limited.and_then(|limited| Some((limited.limit(now_ms)?, limited))) {
            Some((limit, limited)) => limited.share.take(now_ms, limit, members, random),
            None => Ok(()),
        }
    }

    /// Pauses draws of permits for an endpoint until `until_ms`, because there is none before.
    pub(crate) fn pause(&self, until_ms: u64, endpoint: &Endpoint, need: Need) {
        if let Some(row) = self.rows().get_mut(endpoint) {
            row.limited.pause(until_ms, need);
        }
    }

    /// Returns the time until the first of the endpoints that meet the requirements may begin a stream, in ms, because other VMs may not
    /// know its build before; `None` if none of them waits for that.
    pub(crate) fn settle_wait_ms(
        &self,
        now_ms: u64,
        requirements: &Requirements<'_>,
    ) -> Option<u64> {
        if requirements.build != BuildChoice::Settled {
            return None;
        }
        let rows = self.rows();
        let serving = rows
            .values()
            .filter(|row| row.serves(requirements) && row.accepts_requests() && row.is_in_use());
        let builds = self.builds();
        let settles_in_ms =
            |row: &Row| builds.settles_in_ms(now_ms, &row.spec.service, &row.spec.build);
        let waits = serving.filter_map(settles_in_ms).min();
        waits.filter(|wait_ms| *wait_ms > 0)
    }

    /// Returns the time until the first of the endpoints that meet the requirements may get a request again, in ms; `None` if
    /// none of them waits for a permit or has asked for a pause.
    pub(crate) fn limit_wait_ms(
        &self,
        now_ms: u64,
        requirements: &Requirements<'_>,
    ) -> Option<u64> {
        let runs_build = |row: &Row| match requirements.build {
            BuildChoice::Only(build) => row.spec.build == *build,
            BuildChoice::Any | BuildChoice::Settled => true,
        };
        let rows = self.rows();
        let serving = rows
            .values()
            .filter(|row| row.serves(requirements) && row.accepts_requests() && row.is_in_use())
            .filter(|row| runs_build(row));
        let wait_ms = |row: &Row| {
            let pause_ms = row.pause_ms(now_ms);
            let may_wait = row.limited.needs_permit(now_ms) || pause_ms > 0;
            may_wait.then(|| row.limited.wait_ms(now_ms, Need::Required).max(pause_ms))
        };
        serving.filter_map(wait_ms).min()
    }
}

/// Logs that what an endpoint says changes.
fn log_change(endpoint: &Endpoint, limited: &Limited, former: &Limited, source: &str) {
    fn text(value: Option<impl ToString>) -> String {
        value.map_or_else(|| "none".to_owned(), |value| value.to_string())
    }
    log::info!(
        "entry: endpoint={endpoint} limit={} former={} tolerance={} former_tolerance={} source={source}",
        text(limited.rate()),
        text(former.rate()),
        text(limited.tolerance()),
        text(former.tolerance()),
    );
}
