//! The VMs that divide the floors of rates.

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

/// Pause between two reads; a VM that has joined is known to all after this time and that of a read.
const INTERVAL: Duration = Duration::from_secs(4);

/// Pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Value of a VM's record; the key says all there is to say.
const VALUE: &[u8] = b"1";

/// `Registry` enters this VM into the list of members and follows that list.
#[derive(Debug)]
pub(crate) struct Registry<T, N> {
    pub(crate) topics: T,
    pub(crate) rates: Arc<Rates>,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) lead: Arc<Leadership<N>>,
    pub(crate) view: Arc<View>,
    pub(crate) clock: Clock,
    /// Time after which the others know of a VM that has joined.
    pub(crate) known: Duration,
    /// Time after which a silent VM is no member any more.
    pub(crate) forget: Duration,
}

impl<T: Topics, N> Registry<T, N> {
    /// Follows for as long as it is polled.
    pub(crate) async fn run(self) {
        let mut members = Table::default();
        let mut next = None;
        let mut entered = false;
        loop {
            let relayed = self.view.is_relayed(self.clock.now_ms());
            if entered && relayed && self.rates.is_listed() {
                sleep(INTERVAL).await;
                continue;
            }
            let read = match next {
                Some(from) => self.topics.read(Topic::Members, from, Duration::ZERO).await,
                None => self.topics.newest(Topic::Members).await,
            };
            let Some(from) = take(read, &mut members) else {
                next = None;
                self.view.pause(RETRY_PAUSE).await;
                continue;
            };
            next = Some(from);
            let known = members.contains(self.lead.vm());
            if !entered || !known {
                self.admit_floors(known);
            }
            if !known && self.enter().await.is_err() {
                self.view.pause(RETRY_PAUSE).await;
                continue;
            }
            entered = true;
            let count = members.len() + usize::from(!known);
            self.rates.set_member_count(count);
            self.fleet.divide(count);
            self.lead.set_member_count(count);
            self.forget(&members).await;
            sleep(INTERVAL).await;
        }
    }

    /// Decides from when on this VM uses its floors: one that was entered before is counted by all others.
    fn admit_floors(&self, known: bool) {
        let wait_ms = if known {
            0
        } else {
            u64::try_from(self.known.as_millis()).unwrap_or(u64::MAX)
        };
        self.rates.enable_floor_from(self.clock.now_ms() + wait_ms);
        log::info!("rate: floors in wait_ms={wait_ms} entered_before={known}");
    }

    /// Removes members that the leader has not heard for long, if this VM leads.
    async fn forget(&self, members: &Table<Vm, ()>) {
        let forget_ms = u64::try_from(self.forget.as_millis()).unwrap_or(u64::MAX);
        for vm in self.lead.update_member_list(members, forget_ms) {
            let record = Record {
                key: vm.as_str().to_owned(),
                value: None,
            };
            let removed = self.topics.append(Topic::Members, &record, None).await;
            log::info!("view: member={vm} silent removed={}", removed.is_ok());
        }
    }

    /// Enters this VM.
    async fn enter(&self) -> Result<Offset> {
        let record = Record {
            key: self.lead.vm().as_str().to_owned(),
            value: Some(Bytes::from_static(VALUE)),
        };
        let entered = self.topics.append(Topic::Members, &record, None).await;
        log::info!("view: member entered={}", entered.is_ok());
        entered
    }
}

/// Takes in what a read brought and returns where to read on; `None` if the list must be read anew.
fn take(read: Result<Records>, members: &mut Table<Vm, ()>) -> Option<Offset> {
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
