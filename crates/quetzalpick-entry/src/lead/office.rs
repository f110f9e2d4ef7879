//! What the leader knows, and how it answers the other VMs.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use quetzalpick_core::election::{Candidate, Election, Heartbeat};
use quetzalpick_core::id::{Vm, Workspace};
use quetzalpick_core::rate::{Bucket, leader_part};
use quetzalpick_core::table::Table;
use tokio::sync::{Notify, watch};
use tokio::time::timeout;

use crate::clock::Clock;
use crate::config::{Config, Quota};
use crate::exchange::{Draw, Drawn, Known, Reply, Status, Want, Wanted};
use crate::fleet::Fleet;
use crate::lead::holdings::Holdings;
use crate::lead::statuses::Statuses;
use crate::place::Planner;
use crate::view::View;

/// Other VMs that a VM is told of.
const PEERS: usize = 8;

/// Longest time for which a want is waited for.
const WANT_TIME: Duration = Duration::from_millis(200);

/// `Office` is what a leader holds.
#[derive(Debug)]
pub(crate) struct Office {
    pub(crate) fence: u64,
    pub(crate) planner: Planner,
    /// What the leader keeps of each workspace's rate.
    buckets: Table<Workspace, Bucket>,
    /// When it began, in ms.
    since_ms: u64,
    holdings: Holdings,
}

/// `Lead` is this VM's part in leadership.
#[derive(Debug)]
pub(crate) struct Lead<N> {
    me: Candidate,
    clock: Clock,
    view: Arc<View>,
    fleet: Arc<Fleet>,
    members: AtomicU64,
    /// The VMs in the list of members, as this VM has read it while it leads.
    listed: Mutex<Option<Table<Vm, ()>>>,
    floor_permille: u64,
    pub(crate) engines: N,
    election: Mutex<Election>,
    statuses: Mutex<Statuses>,
    office: Mutex<Option<Office>>,
    /// Wakes the planner.
    pub(crate) wake: Notify,
    /// Tells that another VM leads.
    pub(crate) succession: Notify,
    /// Version of the copies, for those who wait for one.
    changed: watch::Sender<u64>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl<N> Lead<N> {
    /// Makes the part of a VM that leads nobody.
    pub(crate) fn new(
        election: Election,
        me: Candidate,
        clock: Clock,
        view: Arc<View>,
        fleet: Arc<Fleet>,
        floor_permille: u64,
        engines: N,
    ) -> Self {
        Self {
            me,
            clock,
            view,
            fleet,
            members: AtomicU64::new(1),
            listed: Mutex::default(),
            floor_permille,
            engines,
            election: Mutex::new(election),
            statuses: Mutex::default(),
            office: Mutex::default(),
            wake: Notify::new(),
            succession: Notify::new(),
            changed: watch::Sender::new(0),
        }
    }

    /// Returns the name of this VM.
    pub(crate) fn vm(&self) -> &Vm {
        &self.me.vm
    }

    /// Returns the address at which the other VMs reach this one.
    pub(crate) fn address(&self) -> &str {
        &self.me.address
    }

    /// Returns the name under which this start gives orders.
    pub(crate) fn holder(&self) -> String {
        format!("{}.{:016x}", self.me.vm, self.me.incarnation.0)
    }

    /// Acts on the election at the present time.
    pub(crate) fn election<T>(&self, act: impl FnOnce(&mut Election, u64) -> T) -> T {
        let now_ms = self.clock.now_ms();
        act(&mut lock(&self.election), now_ms)
    }

    /// Returns the number of the own term while no other VM can lead.
    fn leads(&self) -> Option<u64> {
        self.election(|election, now_ms| election.leads(now_ms))
    }

    /// Returns the own fencing number if this VM may give orders now.
    pub(crate) fn fence(&self) -> Option<u64> {
        self.election(|election, now_ms| election.fence(now_ms))
    }

    /// Tells whether this VM leads, though it may not give orders yet.
    pub(crate) fn is_leading(&self) -> bool {
        self.leads().is_some()
    }

    /// Returns the address of the VM that is thought to lead, if it is another one.
    pub(crate) fn leader_address(&self) -> Option<String> {
        let election = lock(&self.election);
        let leader = election.leader().filter(|leader| **leader != self.me)?;
        Some(leader.address.clone())
    }

    /// Notes that the leader answered.
    pub(crate) fn record_heartbeat(&self, now_ms: u64, heartbeat: Option<Heartbeat>) {
        lock(&self.election).record_heartbeat(now_ms, heartbeat);
    }

    /// Notes that no leader answered.
    pub(crate) fn record_no_answer(&self) {
        lock(&self.election).record_no_answer();
    }

    /// Opens the office when this VM leads, and closes it when it does not any more.
    pub(crate) fn note_change(&self) {
        let now_ms = self.clock.now_ms();
        let fence = self.leads();
        let mut office = lock(&self.office);
        let held = office.as_ref().map(|office| office.fence);
        if held == fence {
            return;
        }
        log::info!("lead: fence={fence:?} former={held:?}");
        *lock(&self.listed) = None;
        *office = fence.map(|fence| Office {
            fence,
            planner: Planner::new(now_ms, crate::place::Options::default()),
            buckets: Table::default(),
            since_ms: now_ms,
            holdings: Holdings::new(fence, now_ms),
        });
        self.wake.notify_one();
    }

    /// Acts on the office, if this VM leads now.
    pub(crate) fn office<T>(&self, act: impl FnOnce(&mut Office, u64) -> T) -> Option<T> {
        let fence = self.leads()?;
        let now_ms = self.clock.now_ms();
        let mut office = lock(&self.office);
        let office = office.as_mut().filter(|office| office.fence == fence)?;
        Some(act(office, now_ms))
    }

    /// Acts on what the VMs told.
    pub(crate) fn statuses<T>(&self, act: impl FnOnce(&mut Statuses, u64) -> T) -> T {
        let now_ms = self.clock.now_ms();
        act(&mut lock(&self.statuses), now_ms)
    }

    /// Takes in a VM's status and answers it.
    pub(crate) fn status(&self, status: Status) -> Reply {
        let now_ms = self.clock.now_ms();
        let known = Known {
            fence: status.fence,
            version: status.copies,
        };
        let office = self.office(|office, _| (office.fence, office.holdings.since(known)));
        let Some((fence, copies)) = office else {
            return Reply::default();
        };
        let same = status.fence == fence;
        let known = if same { status.endpoints } else { 0 };
        let reply = Reply {
            heartbeat: self.election(|election, now_ms| election.heartbeat(now_ms)),
            fence,
            loads: self.statuses(|statuses, now_ms| statuses.others(now_ms, &status.vm)),
            copies,
            view: self.view.relay(now_ms, status.config),
            endpoints: self.fleet.relay(known),
            members: self.members.load(Ordering::Relaxed),
            peers: self.statuses(|statuses, _| statuses.peers(&status.vm, PEERS)),
            listed: self.lists(&status.vm),
        };
        self.statuses(|statuses, now_ms| statuses.take(now_ms, status));
        reply
    }

    /// Notes how many VMs there are.
    pub(crate) fn divide(&self, members: usize) {
        let members = u64::try_from(members).unwrap_or(u64::MAX);
        self.members.store(members, Ordering::Relaxed);
    }

    /// Tells whether a VM is in the list of members; `None` if this VM has not read it while it leads.
    fn lists(&self, vm: &Vm) -> Option<bool> {
        let listed = lock(&self.listed);
        listed.as_ref().map(|listed| listed.contains(vm))
    }

    /// Takes in the list of members, if this VM leads, and returns those that were silent for `forget_ms` or longer.
    pub(crate) fn list(&self, members: &Table<Vm, ()>, forget_ms: u64) -> Vec<Vm> {
        let since_ms = self.office(|office, now_ms| (office.since_ms, now_ms));
        let Some((since_ms, now_ms)) = since_ms else {
            return Vec::new();
        };
        *lock(&self.listed) = Some(members.clone());
        let statuses = lock(&self.statuses);
        let silent = |vm: &&Vm| {
            let heard_ms = statuses.heard_ms(vm).unwrap_or(since_ms).max(since_ms);
            **vm != self.me.vm && now_ms >= heard_ms + forget_ms
        };
        members.keys().filter(silent).cloned().collect()
    }

    /// Takes units of a workspace's rate that the leader keeps.
    pub(crate) fn draw(&self, draw: &Draw) -> Drawn {
        let config = self.view.config();
        let workspaces = config.as_ref().map(|config| config.workspaces());
        let workspace = workspaces.and_then(|all| all.get(&draw.workspace));
        let Some(quota) = workspace.and_then(|workspace| workspace.quota) else {
            return Drawn::NotLeading;
        };
        let drawn = self.office(|office, now_ms| {
            let bucket = office.bucket(now_ms, &draw.workspace, quota, self.floor_permille);
            match bucket.charge(now_ms, draw.units, 0) {
                Ok(()) => Drawn::Taken,
                Err(after_ms) => Drawn::Short(after_ms),
            }
        });
        drawn.unwrap_or(Drawn::NotLeading)
    }

    /// Lets the buckets that the leader keeps fill, also those that nobody has drawn from yet.
    pub(crate) fn fill(&self, config: &Config) {
        self.office(|office, now_ms| {
            for (name, workspace) in config.workspaces().iter() {
                if let Some(quota) = workspace.quota {
                    office.bucket(now_ms, name, quota, self.floor_permille);
                }
            }
        });
    }

    /// Takes in that an adapter is wanted, and answers once it is held or the time is over.
    pub(crate) async fn want(&self, want: Want) -> Wanted {
        let mut changes = self.changed.subscribe();
        if self.fence().is_none() {
            return Wanted::default();
        }
        let noted = self.office(|office, now_ms| {
            if !office.planner.is_held(&want.adapter) {
                office.planner.want(now_ms, want.adapter.clone());
            }
        });
        if noted.is_none() {
            return Wanted::default();
        }
        self.wake.notify_one();
        let held = || self.office(|office, _| office.planner.is_held(&want.adapter));
        let wait = changes.wait_for(|_| held() != Some(false));
        // Whatever came of it, the asker learns what is held now.
        let _ = timeout(WANT_TIME, wait).await;
        let copies = self.office(|office, _| office.holdings.since(want.known));
        Wanted {
            copies: copies.flatten(),
        }
    }

    /// Publishes what engines hold, if that changed.
    pub(crate) fn publish(&self) {
        let version = self.office(|office, _| office.publish());
        if let Some(Some(version)) = version {
            self.changed.send_replace(version);
        }
    }
}

impl Office {
    /// Returns the bucket that the leader keeps of a workspace, filled up to now.
    fn bucket(
        &mut self,
        now_ms: u64,
        workspace: &Workspace,
        quota: Quota,
        floor_permille: u64,
    ) -> &mut Bucket {
        let Quota { rate, burst } = quota;
        let begin = || Bucket::new(now_ms);
        let bucket = self.buckets.get_or_insert_with(workspace.clone(), begin);
        bucket.set(now_ms, rate, burst, leader_part(floor_permille));
        bucket
    }

    /// Takes over what the planner knows of copies; returns the new version if that changed.
    fn publish(&mut self) -> Option<u64> {
        let engines = self.planner.engines();
        self.holdings.retain(|endpoint| engines.contains(endpoint));
        let changed = self.holdings.take(self.planner.holdings());
        changed.then(|| self.holdings.version())
    }
}
