//! Which versions of its software each service runs and has run recently, as known to this VM.

use quetzalpick_core::id::Service;
use quetzalpick_core::table::Table;
use serde::{Deserialize, Serialize};

use crate::fleet::Build;

/// Time for which a stream may be taken up after it began, in ms: longer than callers wait for an answer.
pub const STREAM_TTL_MS: u64 = 30_000;

/// Time after which all VMs with a current view know a new build, in ms; a view that is older is not current.
pub const SETTLE_MS: u64 = 2_000;

/// Longest pause between two reads of the entries, in ms, in which no build can appear and disappear again.
const READ_PAUSE_MAX_MS: u64 = 10_000;

/// `Builds` tracks the builds of all services from the entries of their endpoints.
#[derive(Debug, Default)]
pub struct Builds {
    sightings: Table<Service, Vec<Sighting>>,
    /// Send time of the last read of all entries, in ms.
    read_ms: Option<u64>,
    /// Send time of the first read since which no build can have been missed, in ms.
    complete_since_ms: u64,
}

/// `Sighting` states when endpoints of a build were present.
#[derive(Debug)]
struct Sighting {
    build: Build,
    first_ms: u64,
    last_ms: u64,
    /// Whether they were present in the first list that this VM has read.
    is_initial: bool,
}

/// `BuildAge` tells another VM how long a service has run a build without a pause.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BuildAge {
    /// The service.
    pub service: Service,
    /// The build.
    pub build: Build,
    /// Time for which the sender has known endpoints of it, in ms.
    pub age_ms: u64,
}

impl Builds {
    /// Records a read of all entries that was sent at `sent_ms`.
    pub fn record_read(&mut self, sent_ms: u64) {
        let is_continuous = self
            .read_ms
            .is_some_and(|last_ms| sent_ms <= last_ms + READ_PAUSE_MAX_MS);
        if !is_continuous {
            self.complete_since_ms = sent_ms;
        }
        self.read_ms = self.read_ms.max(Some(sent_ms));
    }

    /// Returns the send time of the last read, in ms.
    pub fn read_ms(&self) -> Option<u64> {
        self.read_ms
    }

    /// Returns for how long this VM has read the entries without missing one, in ms; `None` before its first read.
    pub fn watched_ms(&self, now_ms: u64) -> Option<u64> {
        self.read_ms?;
        Some(now_ms.saturating_sub(self.complete_since_ms))
    }

    /// Returns whether this VM knows every build at which streams of a service began that may be taken up now: it has watched for that
    /// long, or since `sole_ms`, a time at which it was known from elsewhere that all of them began at one build.
    pub fn covers_streams(&self, now_ms: u64, sole_ms: Option<u64>) -> bool {
        if self.read_ms.is_none() {
            return false;
        }
        let since_ms = self.complete_since_ms;
        now_ms >= since_ms + STREAM_TTL_MS || sole_ms.is_some_and(|at_ms| at_ms >= since_ms)
    }

    /// Records an endpoint that appeared or disappeared; `was_present` tells whether others of its build are present.
    pub fn record(&mut self, now_ms: u64, service: &Service, build: &Build, was_present: bool) {
        let is_initial = self.read_ms.is_none();
        let sightings = self
            .sightings
            .get_or_insert_with(service.clone(), Vec::default);
        match sightings.iter_mut().find(|seen| seen.build == *build) {
            Some(seen) => {
                if !was_present && now_ms > seen.last_ms {
                    seen.first_ms = now_ms;
                    seen.is_initial = is_initial;
                }
                seen.last_ms = now_ms;
            }
            None => sightings.push(Sighting {
                build: build.clone(),
                first_ms: now_ms,
                last_ms: now_ms,
                is_initial,
            }),
        }
    }

    /// Returns the time until all VMs with a current view know that a service runs a build, in ms; `None` if this VM does not.
    ///
    /// The only build of the first list that a VM reads is not new to others, as far as it can tell.
    pub fn settles_in_ms(&self, now_ms: u64, service: &Service, build: &Build) -> Option<u64> {
        let sightings = self.of(service);
        let seen = sightings.iter().find(|seen| seen.build == *build)?;
        let mut initial = sightings.iter().filter(|seen| seen.is_initial);
        if seen.is_initial && initial.nth(1).is_none() {
            return Some(0);
        }
        Some((seen.first_ms + SETTLE_MS).saturating_sub(now_ms))
    }

    /// Returns whether all VMs with a current view know that a service runs a build.
    pub fn is_settled(&self, now_ms: u64, service: &Service, build: &Build) -> bool {
        self.settles_in_ms(now_ms, service, build) == Some(0)
    }

    /// Returns for how long this VM has known the builds of all services.
    pub fn ages(&self, now_ms: u64) -> Vec<BuildAge> {
        let sightings = self.sightings.iter();
        let sightings =
            sightings.flat_map(|(service, seen)| seen.iter().map(move |s| (service, s)));
        let age = |(service, seen): (&Service, &Sighting)| BuildAge {
            service: service.clone(),
            build: seen.build.clone(),
            age_ms: now_ms.saturating_sub(seen.first_ms),
        };
        sightings.map(age).collect()
    }

    /// Takes into account for how long another VM has known a build that this one knows too.
    pub fn learn_age(&mut self, now_ms: u64, age: &BuildAge) {
        let Some(sightings) = self.sightings.get_mut(&age.service) else {
            return;
        };
        let mut sightings = sightings.iter_mut();
        if let Some(seen) = sightings.find(|seen| seen.build == age.build) {
            seen.first_ms = seen.first_ms.min(now_ms.saturating_sub(age.age_ms));
        }
    }

    /// Returns whether the entries were read recently enough to know every build that another VM may use.
    pub fn is_current(&self, now_ms: u64) -> bool {
        self.read_ms
            .is_some_and(|read_ms| now_ms <= read_ms + SETTLE_MS)
    }

    /// Returns the builds at which a stream of a service may have begun that may be taken up now, as far as this VM
    /// knows; sorted.
    ///
    /// `present` are the builds of the service's endpoints at present.
    pub fn known<'a>(
        &'a self,
        now_ms: u64,
        service: &Service,
        present: impl Iterator<Item = &'a Build>,
    ) -> Vec<&'a Build> {
        let recent = self.of(service).iter();
        let recent = recent.filter(|seen| now_ms < seen.last_ms + STREAM_TTL_MS);
        let mut known: Vec<&Build> = present.chain(recent.map(|seen| &seen.build)).collect();
        known.sort_unstable();
        known.dedup();
        known
    }

    /// Returns the build at which every stream of a service began that may be taken up now, if that is certain.
    pub fn sole<'a>(
        &'a self,
        now_ms: u64,
        service: &Service,
        present: impl Iterator<Item = &'a Build>,
    ) -> Option<&'a Build> {
        let is_complete = now_ms >= self.complete_since_ms + STREAM_TTL_MS;
        if !is_complete || !self.is_current(now_ms) {
            return None;
        }
        match self.known(now_ms, service, present).as_slice() {
            [build] => Some(build),
            _ => None,
        }
    }

    /// Returns whether this VM has seen a service run another build.
    pub(crate) fn has_other(&self, service: &Service, build: &Build) -> bool {
        let mut sightings = self.of(service).iter();
        sightings.any(|seen| seen.build != *build)
    }

    fn of(&self, service: &Service) -> &[Sighting] {
        self.sightings.get(service).map_or(&[], Vec::as_slice)
    }
}
