//! The members: the VMs among which the floors of rates are divided.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use quetzalpick_client::errors::{Error, Result};
use quetzalpick_client::topic::{Record, Records, Topic, Topics};
use quetzalpick_core::id::{Position, Vm};
use quetzalpick_core::table::Table;
use tokio::time::{sleep, timeout};

use crate::clock::Clock;
use crate::fleet::Fleet;
use crate::lead::Leadership;
use crate::rate::Rates;
use crate::view::View;

/// Pause between two reads of the list; all VMs count a new member after this time and that of a read.
const INTERVAL: Duration = Duration::from_secs(4);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Time for which members count that a restore of the topic has lost, in ms: each of them has noticed by then, or has no current view
/// and serves no keys.
const LOST_TTL_MS: u64 = 20_000;

/// Value of a VM's record, which carries no information beyond its key.
const VALUE: &[u8] = b"1";

/// `Membership` adds this VM to the list of members and follows that list.
#[derive(Debug)]
pub(crate) struct Membership<T, N> {
    pub(crate) topics: T,
    pub(crate) rates: Arc<Rates>,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) lead: Arc<Leadership<N>>,
    pub(crate) view: Arc<View>,
    pub(crate) clock: Clock,
    /// Time after which all other VMs count a VM that joined.
    pub(crate) join_delay: Duration,
    /// Time without a status at the leader after which a VM is removed from the members.
    pub(crate) member_timeout: Duration,
}

impl<T: Topics, N> Membership<T, N> {
    /// Follows the topic until cancelled.
    pub(crate) async fn run(self) {
        let mut restores = self.view.restores();
        let mut list = MemberList::default();
        let mut joined = false;
        loop {
            let relayed = self.view.is_relayed(self.clock.now_ms());
            if joined && relayed && self.rates.is_listed() {
                sleep(INTERVAL).await;
                continue;
            }
            let now_ms = self.clock.now_ms();
            let read = match list.next {
                Some(from) => {
                    let read = self.topics.read(Topic::Members, Some(from), Duration::ZERO);
                    read.await
                }
                None => self.topics.newest(Topic::Members).await,
            };
            if !list.apply(now_ms, read) {
                self.view.pause(RETRY_PAUSE).await;
                continue;
            }
            let listed = list.members.contains(self.lead.vm());
            let count = list.count(now_ms, self.lead.vm());
            self.rates.set_member_count(count);
            self.fleet.set_member_count(count);
            self.lead.set_member_count(count);
            if !joined || !listed {
                self.enable_floors(listed);
            }
            if !listed && self.join().await.is_err() {
                self.view.pause(RETRY_PAUSE).await;
                continue;
            }
            joined = true;
            self.remove_silent(&list.members).await;
            // A restore may have lost members, which are to be told.
            let _ = timeout(INTERVAL, restores.changed()).await;
        }
    }

    /// Sets the time from which this VM uses its floors: at once if it is listed, because all others then count it
    /// already.
    fn enable_floors(&self, listed: bool) {
        let wait_ms = if listed {
            0
        } else {
            u64::try_from(self.join_delay.as_millis()).unwrap_or(u64::MAX)
        };
        self.rates.enable_floor_from(self.clock.now_ms() + wait_ms);
        log::info!("rate: floors enabled wait_ms={wait_ms} entered_before={listed}");
    }

    /// Removes members without a recent status, if this VM leads.
    async fn remove_silent(&self, members: &Table<Vm, ()>) {
        let timeout_ms = u64::try_from(self.member_timeout.as_millis()).unwrap_or(u64::MAX);
        for vm in self.lead.update_member_list(members, timeout_ms) {
            let record = Record {
                key: vm.as_str().to_owned(),
                value: None,
            };
            let removed = self.topics.append(Topic::Members, &record, None).await;
            log::info!(
                "view: member={vm} without status removed={}",
                removed.is_ok()
            );
        }
    }

    /// Adds this VM to the list of members.
    async fn join(&self) -> Result<Position> {
        let record = Record {
            key: self.lead.vm().as_str().to_owned(),
            value: Some(Bytes::from_static(VALUE)),
        };
        let joined = self.topics.append(Topic::Members, &record, None).await;
        log::info!("view: member entered={}", joined.is_ok());
        joined
    }
}

/// `MemberList` holds the members as read from the topic.
#[derive(Debug, Default)]
struct MemberList {
    /// Position of the next read; `None` if the list must be read in full.
    next: Option<Position>,
    members: Table<Vm, ()>,
    /// Members that a restore of the topic has lost, and until when they count, in ms.
    lost: Table<Vm, u64>,
    /// Whether the next list in full is that of an older copy.
    is_restored: bool,
}

impl MemberList {
    /// Applies the result of a read; returns whether the list is known.
    fn apply(&mut self, now_ms: u64, read: Result<Records>) -> bool {
        match read {
            Ok(records) => {
                self.apply_records(now_ms, &records);
                return true;
            }
            Err(Error::Restored { .. }) => self.is_restored = true,
            Err(Error::Trimmed { .. }) => {}
            Err(error) => {
                log::debug!("view: members not read reason=\"{error}\"");
                return false;
            }
        }
        self.next = None;
        false
    }

    fn apply_records(&mut self, now_ms: u64, records: &Records) {
        let former = match self.next {
            Some(_) => Table::default(),
            None => std::mem::take(&mut self.members),
        };
        for record in &records.records {
            let Ok(vm) = Vm::try_new(&record.key) else {
                continue;
            };
            match record.value {
                Some(_) => drop(self.members.insert(vm, ())),
                None => drop(self.members.remove(&vm)),
            }
        }
        if std::mem::take(&mut self.is_restored) {
            let lost = former.keys().filter(|vm| !self.members.contains(vm));
            for vm in lost {
                log::info!("view: member={vm} lost by a restore");
                self.lost.insert(vm.clone(), now_ms + LOST_TTL_MS);
            }
        }
        self.next = Some(records.next);
    }

    /// Returns the number of VMs that may use floors, with this one.
    fn count(&mut self, now_ms: u64, me: &Vm) -> usize {
        let members = &self.members;
        self.lost
            .retain(|vm, until_ms| now_ms < *until_ms && !members.contains(vm));
        let all = self.members.keys().chain(self.lost.keys());
        all.filter(|vm| *vm != me).count() + 1
    }
}
