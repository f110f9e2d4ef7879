//! The paces of endpoints, and the prompts that they have to read.

use std::sync::MutexGuard;
use std::sync::atomic::Ordering;

use quetzalpick_core::id::{Endpoint, Service};
use quetzalpick_core::route::pace::{Observation, Reference, Sums, USUAL_PERMILLE, faded};
use quetzalpick_core::route::{Policy, Prompt, Prompts};
use quetzalpick_core::table::Table;

use crate::fleet::row::Row;
use crate::fleet::{Fleet, Pick, Requirements};
use crate::sync::lock;

/// Age up to which a pace is used as it was reported, in ms, and from which on the endpoint counts as usual.
const FULL_MS: u64 = 4_000;
const END_MS: u64 = 20_000;

/// Most routes whose usual times are kept.
const REFERENCES_MAX: usize = 256;

/// `Pace` is what the leader last said of an endpoint's pace, and what this VM has observed since its last status.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Pace {
    permille: u64,
    sums: Sums,
    /// Prompt tokens of this VM's requests there without a first event.
    own_prompt: u64,
    /// Prompt tokens of such requests of other VMs, as last reported.
    others_prompt: u64,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            permille: USUAL_PERMILLE,
            sums: Sums::default(),
            own_prompt: 0,
            others_prompt: 0,
        }
    }
}

impl Pace {
    /// Returns the state for a new incarnation, whose pace is usual; requests in flight go on counting until they end.
    pub(crate) fn restarted(self) -> Self {
        Self {
            own_prompt: self.own_prompt,
            ..Self::default()
        }
    }

    /// Returns the pace in thousandths, `age_ms` after a leader's last word on the paces.
    pub(crate) fn permille(&self, age_ms: u64) -> u64 {
        faded(self.permille, age_ms, FULL_MS, END_MS)
    }

    pub(crate) fn own_prompt(&self) -> u64 {
        self.own_prompt
    }

    pub(crate) fn others_prompt(&self) -> u64 {
        self.others_prompt
    }

    /// Adds the prompt of a request that is sent there.
    pub(crate) fn add_prompt(&mut self, tokens: u64) {
        self.own_prompt = self.own_prompt.saturating_add(tokens);
    }
}

impl Fleet {
    /// Records the prompt of a request to a service.
    pub(crate) fn record_prompt(&self, service: &Service, tokens: u64) {
        if tokens > 0 && self.uses_paces() {
            let mut prompts = lock(&self.prompts);
            let of_service = prompts.get_or_insert_with(service.clone(), Prompts::default);
            of_service.record(tokens);
        }
    }

    /// Returns the prompt of a request among those of its service.
    pub(super) fn classify_prompt(&self, requirements: &Requirements<'_>) -> Prompt {
        if !self.uses_paces() {
            return Prompt::default();
        }
        let tokens = requirements.prompt_tokens;
        let prompts = lock(&self.prompts);
        let of_service = prompts.get(requirements.service).copied();
        of_service.unwrap_or_default().classify(tokens)
    }

    /// Returns whether paces are learned and used.
    pub(crate) fn uses_paces(&self) -> bool {
        self.options().policy == Policy::FirstEvent
    }

    /// Records that an endpoint has read the prompt of a picked request, or that the request has ended.
    pub(crate) fn end_reading(&self, pick: &mut Pick) {
        let tokens = std::mem::take(&mut pick.prompt_tokens);
        if tokens == 0 {
            return;
        }
        if let Some(row) = self.rows().get_mut(&pick.endpoint) {
            row.pace.own_prompt = row.pace.own_prompt.saturating_sub(tokens);
        }
    }

    /// Records the time that an endpoint took for a unit of work of a route.
    pub(crate) fn observe_pace(&self, pick: &Pick, route: &str, time_us: u64) {
        if !self.uses_paces() {
            return;
        }
        let observation = Observation {
            time_us,
            load: pick.load,
        };
        let ratio = {
            let mut references = lock(&self.references);
            if references.get(route).is_none() {
                // Routes come and go with the configuration.
                if references.len() >= REFERENCES_MAX {
                    *references = Table::default();
                }
                references.insert(route.to_owned(), Reference::default());
            }
            references
                .get_mut(route)
                .and_then(|reference| reference.compare(observation))
        };
        let mut rows = self.rows();
        let row = rows.get_mut(&pick.endpoint);
        let row = row.filter(|row| row.spec.started_ms == pick.started_ms);
        if let Some((row, ratio)) = row.zip(ratio) {
            row.pace.sums.add(ratio);
        }
    }

    /// Takes what this VM has observed since the last call, by endpoint.
    pub(crate) fn take_observed(&self) -> Vec<(Endpoint, Sums)> {
        if !self.uses_paces() {
            return Vec::new();
        }
        let mut rows = self.rows();
        let observed = rows.iter_mut().filter(|(_, row)| row.pace.sums.count > 0);
        observed
            .map(|(name, row)| (name.clone(), std::mem::take(&mut row.pace.sums)))
            .collect()
    }

    /// Returns the requests of this VM in flight and the prompt tokens of those without a first event, by endpoint.
    pub(crate) fn load_report(&self) -> (Vec<(Endpoint, u32)>, Vec<u64>) {
        let uses_paces = self.uses_paces();
        let rows = self.rows();
        let busy = || rows.iter().filter(|(_, row)| row.in_flight > 0);
        let loads = busy().map(|(name, row)| (name.clone(), row.in_flight));
        let prompts = busy().filter(|_| uses_paces);
        let prompts = prompts.map(|(_, row)| row.pace.own_prompt);
        (loads.collect(), prompts.collect())
    }

    /// Replaces the prompt tokens of other VMs' requests without a first event; `prompts` are in the order of `loads`.
    pub(crate) fn set_other_prompts(&self, loads: &[(Endpoint, u32)], prompts: &[u64]) {
        let mut rows = self.rows();
        for (_, row) in rows.iter_mut() {
            row.pace.others_prompt = 0;
        }
        for ((endpoint, _), tokens) in loads.iter().zip(prompts) {
            if let Some(row) = rows.get_mut(endpoint) {
                row.pace.others_prompt = *tokens;
            }
        }
    }

    /// Replaces the paces of the incarnations of endpoints that the leader names, in thousandths; all others are confirmed.
    pub(crate) fn set_paces(&self, now_ms: u64, paces: &[(Endpoint, Option<u64>, u64)]) {
        self.paces_ms.store(now_ms, Ordering::Relaxed);
        let mut rows = self.rows();
        for (endpoint, started_ms, permille) in paces {
            let row = rows.get_mut(endpoint);
            if let Some(row) = row.filter(|row| row.spec.started_ms == *started_ms) {
                row.pace.permille = *permille;
            }
        }
    }

    /// Returns the pace of each endpoint as last reported, in thousandths of its service's usual one.
    pub fn paces(&self) -> Vec<(Endpoint, u64)> {
        self.paces_at(0)
    }

    /// Returns the pace of each endpoint as it is used now, in thousandths.
    pub(crate) fn faded_paces(&self, now_ms: u64) -> Vec<(Endpoint, u64)> {
        self.paces_at(now_ms.saturating_sub(self.paces_ms.load(Ordering::Relaxed)))
    }

    fn paces_at(&self, age_ms: u64) -> Vec<(Endpoint, u64)> {
        if !self.uses_paces() {
            return Vec::new();
        }
        let rows = self.rows();
        let paces = rows.iter();
        paces
            .map(|(name, row)| (name.clone(), row.pace.permille(age_ms)))
            .collect()
    }

    /// Returns the incarnations of the endpoints; nothing else uses the table until it is dropped.
    pub(crate) fn incarnations(&self) -> Incarnations<'_> {
        Incarnations { rows: self.rows() }
    }
}

/// `Incarnations` tells the service and the start of each endpoint.
#[derive(Debug)]
pub(crate) struct Incarnations<'a> {
    rows: MutexGuard<'a, Table<Endpoint, Row>>,
}

impl Incarnations<'_> {
    /// Returns the service of an endpoint and the wall-clock time of its start, in ms since 1970.
    pub(crate) fn get(&self, endpoint: &Endpoint) -> Option<(&Service, Option<u64>)> {
        let spec = &self.rows.get(endpoint)?.spec;
        Some((&spec.service, spec.started_ms))
    }
}
