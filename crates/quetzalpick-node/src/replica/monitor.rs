//! Actions that any process may take on the shared state: suspecting and retiring silent members, changing voters and
//! expiring old claims.

use std::collections::VecDeque;
use std::time::Duration;

use quetzalpick_client::traits::Log;
use quetzalpick_core::id::{Member, Offset};
use quetzalpick_core::record::{Record, Retire, Role};
use quetzalpick_core::state::State;
use tokio::time::sleep;

use crate::peer::Transport;
use crate::replica::clock::millis;
use crate::replica::jitter::{Action, Jitter};
use crate::replica::shared::{Shared, lease_options, lock};

/// Number of missed ticks, one per exchange interval, after which this process counts as having been paused.
const MAX_MISSED_TICKS: u64 = 4;

/// Multiple of the suspicion time for which a member is not suspected again after it refuted a suspicion.
const RESUSPECT_FACTOR: u64 = 3;

/// Number of samples of the applied offset within the retention time of claims.
const SAMPLES_PER_RETENTION: u64 = 16;

/// `Sample` holds a time in ms and the offset applied then.
type Sample = (u64, Offset);

/// `Monitor` tracks delays, recent suspicions and offsets between two iterations of the monitoring loop.
#[derive(Debug, Default)]
struct Monitor {
    jitter: Jitter,
    /// When the loop last ran, in ms.
    last_tick_at: u64,
    /// Recently suspected members, with the last time at which each was suspected, in ms.
    suspected: Vec<(Member, u64)>,
    samples: VecDeque<Sample>,
    /// Offset before which this process last expired claims.
    expired_before: Offset,
}

impl Monitor {
    /// Records the members suspected now, and drops suspicions older than `hold_ms`.
    fn update_suspected(&mut self, now: u64, state: &State, hold_ms: u64) {
        let members = state.roster().members();
        self.suspected.retain(|(_, at)| now - at < hold_ms);
        let currently = members.iter().filter(|(_, row)| row.suspected.is_some());
        for (member, _) in currently {
            self.suspected.retain(|(m, _)| m != member);
            self.suspected.push((member.clone(), now));
        }
    }

    /// Returns whether a member was recently suspected.
    fn was_recently_suspected(&self, member: &Member) -> bool {
        self.suspected.iter().any(|(m, _)| m == member)
    }

    /// Records an attempt of an action.
    fn record_attempt(&mut self, now: u64, action: Action) {
        self.jitter.reset(&action);
        // The time spent waiting for the answer does not count as a pause.
        self.last_tick_at = now;
        match action {
            // The member may refute the suspicion before the next iteration sees it.
            Action::Suspect(member) => self.suspected.push((member, now)),
            Action::Expire(before) => self.expired_before = before,
            _ => {}
        }
    }

    /// Samples the applied offset and returns the newest sampled offset that is older than the retention time.
    fn newest_outdated(&mut self, now: u64, next: Offset, retention_ms: u64) -> Option<Offset> {
        let is_spaced = |(at, _): &Sample| now - at >= retention_ms / SAMPLES_PER_RETENTION;
        if self.samples.back().is_none_or(is_spaced) {
            self.samples.push_back((now, next));
        }
        let is_old = |(at, _): &Sample| now - at > retention_ms;
        while self.samples.get(1).is_some_and(is_old) {
            self.samples.pop_front();
        }
        self.samples
            .front()
            .filter(|sample| is_old(sample))
            .map(|(_, offset)| *offset)
    }
}

impl<L: Log, T: Transport> Shared<L, T> {
    /// Runs the monitoring loop until cancelled.
    pub(crate) async fn monitor_members(&self) {
        let mut monitor = Monitor::default();
        loop {
            sleep(self.monitor_pause(&monitor)).await;
            let now = self.clock.now();
            self.detect_pause(now, &mut monitor);
            if let Some((action, record)) = self.next_action(now, &mut monitor) {
                let description = describe(&record);
                let answer = self.submit(record, None).await;
                log::info!("member: {description}: {answer}");
                monitor.record_attempt(self.clock.now(), action);
            }
        }
    }

    /// Returns the time until the next action is due, at most one exchange interval.
    fn monitor_pause(&self, monitor: &Monitor) -> Duration {
        let now = self.clock.now();
        let due = monitor.jitter.next_due();
        let until_due = due.map(|due| Duration::from_millis(due.saturating_sub(now).max(1)));
        let interval = self.options.exchange_interval;
        until_due.map_or(interval, |until_due| until_due.min(interval))
    }

    /// Restarts all silence times if this process was paused, because it received no messages during the pause.
    fn detect_pause(&self, now: u64, monitor: &mut Monitor) {
        let tick = millis(self.options.exchange_interval);
        if now - monitor.last_tick_at > MAX_MISSED_TICKS * tick {
            lock(&self.peer_reports).restart_silence(now);
        }
        monitor.last_tick_at = now;
    }

    /// Returns the first due action with its record.
    fn next_action(&self, now: u64, monitor: &mut Monitor) -> Option<(Action, Record)> {
        let own_member = self.own_member();
        // Without a lease the state may be stale, and without the log nothing can be recorded.
        if !self.holds_lease(&own_member) || !self.can_read_log() {
            return None;
        }
        let hold_ms = millis(self.options.suspicion) * RESUSPECT_FACTOR;
        let folded = self.folded();
        let state = &folded.state;
        monitor.update_suspected(now, state, hold_ms);
        lock(&self.peer_reports).update_active(now, state.roster(), hold_ms);
        let silent = self.silent_members(now, state, &own_member);
        let mut actions = suspicions(state, &silent, monitor);
        actions.extend(self.retirements(now, state, &silent));
        actions.extend(self.voter_change(state, &silent));
        actions.extend(self.expiry(now, state, monitor));
        drop(folded);
        let spread = millis(self.options.exchange_interval);
        let delay = || self.random_below(spread);
        let mut due = None;
        for (action, record) in actions {
            if monitor.jitter.is_due(now, &action, delay) && due.is_none() {
                due = Some((action, record));
            }
        }
        monitor.jitter.prune(now);
        due
    }

    /// Returns the retirements of suspected silent members that the quorum has confirmed.
    fn retirements(&self, now: u64, state: &State, silent: &[Member]) -> Vec<(Action, Record)> {
        let members = state.roster().members();
        let suspected = |m| Some((m, members.get(m)?.suspected?));
        let quorum = lock(&self.quorum);
        let options = lease_options(&self.options);
        let retire = |(member, suspected): (&Member, Offset)| {
            let applied = Offset(suspected.0 + 1);
            let confirmed_by = quorum.confirmed(now, state, applied, &options)?;
            let action = Action::Retire(member.clone(), suspected);
            let member = member.clone();
            let retire = Retire {
                member,
                suspected,
                voters_changed: state.roster().voters_changed(),
                confirmed_by,
            };
            Some((action, Record::Retire(retire)))
        };
        silent
            .iter()
            .filter_map(suspected)
            .filter_map(retire)
            .collect()
    }

    /// Returns the expiry of claims older than the retention time, if this process is a keeper.
    fn expiry(&self, now: u64, state: &State, monitor: &mut Monitor) -> Option<(Action, Record)> {
        let retention = millis(self.options.claim_retention);
        let outdated = monitor.newest_outdated(now, state.next(), retention)?;
        let is_keeper = self.options.role == Role::Keeper;
        let is_new = outdated > monitor.expired_before;
        (is_keeper && is_new).then_some((Action::Expire(outdated), Record::Expire(outdated)))
    }
}

/// Returns the suspicions of silent members that are not suspected yet.
fn suspicions(state: &State, silent: &[Member], monitor: &Monitor) -> Vec<(Action, Record)> {
    let roster = state.roster();
    let is_silent = |m: &Member| silent.binary_search(m).is_ok();
    // Without contact to a majority this process is more likely cut off itself, and nobody could be retired then.
    let voters = roster.voters();
    let responsive = voters
        .iter()
        .filter(|m| roster.is_active(m) && !is_silent(m));
    if responsive.count() * 2 <= voters.len() {
        return Vec::new();
    }
    let is_suspected = |m: &Member| {
        let row = roster.members().get(m);
        row.is_some_and(|row| row.suspected.is_some()) || monitor.was_recently_suspected(m)
    };
    let action = |m: &Member| (Action::Suspect(m.clone()), Record::Suspect(m.clone()));
    let suspects = silent.iter().filter(|m| !is_suspected(m));
    suspects.map(action).collect()
}

/// Formats a record and its member for a log line.
fn describe(record: &Record) -> String {
    let kind: &str = record.into();
    match record {
        Record::Suspect(member) => format!("{kind} {member}"),
        Record::Retire(retire) => format!("{kind} {}", retire.member),
        Record::ChangeVoters(change) => format!("{kind} {}", change.member),
        _ => kind.to_owned(),
    }
}
