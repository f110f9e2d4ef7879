//! What any process does about the others: suspecting and retiring silent members, and dropping old claims.

use std::collections::VecDeque;
use std::time::Duration;

use quetzalpick_client::traits::Log;
use quetzalpick_core::id::{Member, Offset};
use quetzalpick_core::record::{Record, Retire, Role};
use quetzalpick_core::state::State;
use tokio::time::sleep;

use crate::peer::Transport;
use crate::replica::clock::millis;
use crate::replica::shared::{Shared, lease_options, lock};
use crate::replica::stagger::{Duty, Stagger};

/// Ticks missed after which this process counts as having been paused.
const PAUSE_TICKS: u64 = 4;

/// Suspicion times for which a member is not suspected again after its refutation.
const REFUTED_TIMES: u64 = 3;

/// Samples of the applied offset in one retention of claims.
const SAMPLES: u64 = 16;

/// `Sample` is an applied offset and when it was seen, in ms.
type Sample = (u64, Offset);

/// `Watch` is what this process remembers of its duties towards the others.
#[derive(Debug, Default)]
struct Watch {
    stagger: Stagger,
    ticked_at: u64,
    /// Members that were suspected, with the time at which that was last seen, in ms.
    suspected: Vec<(Member, u64)>,
    samples: VecDeque<Sample>,
    /// Offset up to which this process last dropped claims.
    expired: Offset,
}

impl Watch {
    /// Notes which members are suspected now, and forgets suspicions of long ago.
    fn note_suspected(&mut self, now: u64, state: &State, hold_ms: u64) {
        let members = state.roster().members();
        self.suspected.retain(|(_, at)| now - at < hold_ms);
        let under = members.iter().filter(|(_, row)| row.suspected.is_some());
        for (member, _) in under {
            self.suspected.retain(|(m, _)| m != member);
            self.suspected.push((member.clone(), now));
        }
    }

    /// Tells whether a member was suspected lately.
    fn was_suspected(&self, member: &Member) -> bool {
        self.suspected.iter().any(|(m, _)| m == member)
    }

    /// Notes that a duty was tried.
    fn note_done(&mut self, now: u64, duty: Duty) {
        self.stagger.done(&duty);
        // Waiting for the answer is no pause.
        self.ticked_at = now;
        match duty {
            // A refutation may follow before the next look.
            Duty::Suspect(member) => self.suspected.push((member, now)),
            Duty::Expire(before) => self.expired = before,
            _ => {}
        }
    }

    /// Notes the applied offset and returns the newest one that is older than the retention.
    fn outdated(&mut self, now: u64, next: Offset, retention_ms: u64) -> Option<Offset> {
        let spaced = |(at, _): &Sample| now - at >= retention_ms / SAMPLES;
        if self.samples.back().is_none_or(spaced) {
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
    /// Does the duties towards the other members for as long as it is polled.
    pub(crate) async fn watch_others(&self) {
        let mut watch = Watch::default();
        loop {
            sleep(self.watch_pause(&watch)).await;
            let now = self.clock.now();
            self.note_pause(now, &mut watch);
            if let Some((duty, record)) = self.next_duty(now, &mut watch) {
                let subject = describe(&record);
                let answer = self.submit(record, None).await;
                log::info!("member: {subject}: {answer}");
                watch.note_done(self.clock.now(), duty);
            }
        }
    }

    /// Returns how long nothing needs to be done.
    fn watch_pause(&self, watch: &Watch) -> Duration {
        let now = self.clock.now();
        let due = watch.stagger.next_due();
        let rest = due.map(|due| Duration::from_millis(due.saturating_sub(now).max(1)));
        let interval = self.options.exchange_interval;
        rest.map_or(interval, |rest| rest.min(interval))
    }

    /// Starts all silences anew if this process was paused, as it could hear nobody meanwhile.
    fn note_pause(&self, now: u64, watch: &mut Watch) {
        let tick = millis(self.options.exchange_interval);
        if now - watch.ticked_at > PAUSE_TICKS * tick {
            lock(&self.contacts).wake(now);
        }
        watch.ticked_at = now;
    }

    /// Returns the first duty whose delay is over, with the record that does it.
    fn next_duty(&self, now: u64, watch: &mut Watch) -> Option<(Duty, Record)> {
        let me = self.me();
        // A process without a lease may be wrong about everything, and without the log nothing can be recorded.
        if !self.holds_lease(&me) || !self.reads() {
            return None;
        }
        let hold_ms = millis(self.options.suspicion) * REFUTED_TIMES;
        let view = self.view();
        let state = &view.state;
        watch.note_suspected(now, state, hold_ms);
        lock(&self.contacts).note_active(now, state.roster(), hold_ms);
        let silent = self.silent(now, state, &me);
        let mut duties = suspicions(state, &silent, watch);
        duties.extend(self.retirements(now, state, &silent));
        duties.extend(self.change_voters(state, &silent));
        duties.extend(self.expiry(now, state, watch));
        drop(view);
        let spread = millis(self.options.exchange_interval);
        let delay = || self.random_below(spread);
        let mut due = None;
        for (duty, record) in duties {
            if watch.stagger.is_due(now, &duty, delay) && due.is_none() {
                due = Some((duty, record));
            }
        }
        watch.stagger.prune(now);
        due
    }

    /// Returns the retirements that are complete but for their record.
    fn retirements(&self, now: u64, state: &State, silent: &[Member]) -> Vec<(Duty, Record)> {
        let members = state.roster().members();
        let suspected = |m| Some((m, members.get(m)?.suspected?));
        let quorum = lock(&self.quorum);
        let options = lease_options(&self.options);
        let retire = |(member, suspected): (&Member, Offset)| {
            let applied = Offset(suspected.0 + 1);
            let confirmed_by = quorum.confirmed(now, state, applied, &options)?;
            let duty = Duty::Retire(member.clone(), suspected);
            let member = member.clone();
            let retire = Retire {
                member,
                suspected,
                voters_changed: state.roster().voters_changed(),
                confirmed_by,
            };
            Some((duty, Record::Retire(retire)))
        };
        silent
            .iter()
            .filter_map(suspected)
            .filter_map(retire)
            .collect()
    }

    /// Returns the expiry of claims that a keeper has seen for longer than they are remembered.
    fn expiry(&self, now: u64, state: &State, watch: &mut Watch) -> Option<(Duty, Record)> {
        let retention = millis(self.options.claim_retention);
        let outdated = watch.outdated(now, state.next(), retention)?;
        let keeper = self.options.role == Role::Keeper;
        let new = outdated > watch.expired;
        (keeper && new).then_some((Duty::Expire(outdated), Record::Expire(outdated)))
    }
}

/// Returns the suspicions to record.
fn suspicions(state: &State, silent: &[Member], watch: &Watch) -> Vec<(Duty, Record)> {
    let roster = state.roster();
    let is_silent = |m: &Member| silent.binary_search(m).is_ok();
    // A process that hears no majority is more likely cut off itself, and nobody could be retired then.
    let voters = roster.voters();
    let heard = voters
        .iter()
        .filter(|m| roster.is_active(m) && !is_silent(m));
    if heard.count() * 2 <= voters.len() {
        return Vec::new();
    }
    let is_suspected = |m: &Member| {
        let row = roster.members().get(m);
        row.is_some_and(|row| row.suspected.is_some()) || watch.was_suspected(m)
    };
    let duty = |m: &Member| (Duty::Suspect(m.clone()), Record::Suspect(m.clone()));
    let suspects = silent.iter().filter(|m| !is_suspected(m));
    suspects.map(duty).collect()
}

/// Names a duty's record and its member in a log line.
fn describe(record: &Record) -> String {
    let kind: &str = record.into();
    match record {
        Record::Suspect(member) => format!("{kind} {member}"),
        Record::Retire(retire) => format!("{kind} {}", retire.member),
        Record::ChangeVoters(change) => format!("{kind} {}", change.member),
        _ => kind.to_owned(),
    }
}
