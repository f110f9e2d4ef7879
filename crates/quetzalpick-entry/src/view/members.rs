//! The members: the VMs among which the floors of rates are divided.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use quetzalpick_client::errors::{Error, Result};
use quetzalpick_client::topic::{Record, Records, Topic, Topics};
use quetzalpick_core::id::{Offset, Vm};
use quetzalpick_core::table::Table;
use tokio::time::sleep;

use crate::clock::Clock;
use crate::fleet::Fleet;
use crate::lead::Leadership;
use crate::rate::Rates;
use crate::view::View;

/// Pause between two reads of the list; all VMs count a new member after this time and that of a read.
const INTERVAL: Duration = Duration::from_secs(4);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

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
        let mut members = Table::default();
        let mut next = None;
        let mut joined = false;
        loop {
            let relayed = self.view.is_relayed(self.clock.now_ms());
            if joined && relayed && self.rates.is_listed() {
                sleep(INTERVAL).await;
                continue;
            }
            let read = match next {
                Some(from) => self.topics.read(Topic::Members, from, Duration::ZERO).await,
                None => self.topics.newest(Topic::Members).await,
            };
            let Some(from) = apply_read(read, &mut members) else {
                next = None;
                self.view.pause(RETRY_PAUSE).await;
                continue;
            };
            next = Some(from);
            let listed = members.contains(self.lead.vm());
            if !joined || !listed {
                self.enable_floors(listed);
            }
            if !listed && self.join().await.is_err() {
                self.view.pause(RETRY_PAUSE).await;
                continue;
            }
            joined = true;
            let count = members.len() + usize::from(!listed);
            self.rates.set_member_count(count);
            self.fleet.set_member_count(count);
            self.lead.set_member_count(count);
            self.remove_silent(&members).await;
            sleep(INTERVAL).await;
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
    async fn join(&self) -> Result<Offset> {
        let record = Record {
            key: self.lead.vm().as_str().to_owned(),
            value: Some(Bytes::from_static(VALUE)),
        };
        let joined = self.topics.append(Topic::Members, &record, None).await;
        log::info!("view: member entered={}", joined.is_ok());
        joined
    }
}

/// Applies the result of a read and returns the offset of the next one; `None` if the list must be read again in full.
fn apply_read(read: Result<Records>, members: &mut Table<Vm, ()>) -> Option<Offset> {
    let records = match read {
        Ok(records) => records,
        Err(Error::Trimmed { .. }) => return None,
        Err(error) => {
            log::debug!("view: members not read reason=\"{error}\"");
            return None;
        }
    };
    for record in records.records {
        let Ok(vm) = Vm::try_new(&record.key) else {
            continue;
        };
        match record.value {
            Some(_) => drop(members.insert(vm, ())),
            None => drop(members.remove(&vm)),
        }
    }
    Some(records.next)
}
