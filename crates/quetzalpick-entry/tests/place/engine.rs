//! Simulated engine that accepts orders only at the expected count, and records orders that exceed its capacity.

use std::collections::VecDeque;

use quetzalpick_core::id::Artifact;
use quetzalpick_entry::place::{Action, Order, OrderResult, Report};

/// Age of a report's contents, in ms.
const REPORT_LAG_MS: u64 = 150;

/// Load time of an adapter, in ms.
const ADAPTER_LOAD_MS: u64 = 10;

/// Number of models that fit on its disk.
const MAX_DISK_MODELS: usize = 4;

/// `Engine` simulates the copies, orders and reports of one engine.
pub(crate) struct Engine {
    pub(crate) memory_mb: u64,
    pub(crate) adapter_slots: usize,
    sizes: Vec<(Artifact, u64)>,
    pub(crate) accepted_orders: u64,
    pub(crate) copies: Vec<Artifact>,
    /// Adapters being loaded, with the ends of their loads, in ms.
    loading_adapters: Vec<(u64, Artifact)>,
    /// When the current order ends, in ms, with its action and artifact.
    busy: Option<(u64, Action, Artifact)>,
    /// Recent reports and their times, in ms; the oldest one is the one that a request returns.
    reports: VecDeque<(u64, Report)>,
    /// Accepted orders that exceeded the engine's memory or adapter slots.
    pub(crate) overfilled: Vec<Order>,
    /// Time for which requests of an adapter still run when it is unloaded, in ms; no other order is accepted meanwhile.
    pub(crate) adapter_in_use_ms: u64,
    /// Number of orders received while another one was in progress.
    pub(crate) rejected_while_busy: usize,
    /// Models on its disk, the most recently loaded one at the end.
    pub(crate) disk: VecDeque<Artifact>,
}

impl Engine {
    pub(crate) fn new(memory_mb: u64, adapter_slots: usize, sizes: Vec<(Artifact, u64)>) -> Self {
        Self {
            memory_mb,
            adapter_slots,
            sizes,
            accepted_orders: 0,
            copies: Vec::new(),
            loading_adapters: Vec::new(),
            busy: None,
            reports: VecDeque::new(),
            overfilled: Vec::new(),
            adapter_in_use_ms: 0,
            rejected_while_busy: 0,
            disk: VecDeque::new(),
        }
    }

    /// Stores a model on disk, evicting the least recently loaded one if needed; returns whether the model was missing there.
    pub(crate) fn store_on_disk(&mut self, model: &Artifact) -> bool {
        let before = self.disk.len();
        self.disk.retain(|name| name != model);
        let is_new = self.disk.len() == before;
        self.disk.push_back(model.clone());
        if self.disk.len() > MAX_DISK_MODELS {
            self.disk.pop_front();
        }
        is_new
    }

    fn size(&self, artifact: &Artifact) -> u64 {
        let size = self.sizes.iter().find(|(name, _)| name == artifact);
        size.map_or(0, |(_, size)| *size)
    }

    fn used_mb(&self) -> u64 {
        let loading_adapters = self.loading_adapters.iter().map(|(_, adapter)| adapter);
        let busy = self
            .busy
            .iter()
            .filter(|(_, action, _)| *action == Action::Load);
        let loading = busy.map(|(_, _, model)| model);
        let all = self.copies.iter().chain(loading_adapters).chain(loading);
        all.map(|artifact| self.size(artifact)).sum()
    }

    fn adapters(&self) -> usize {
        let held = self
            .copies
            .iter()
            .filter(|name| name.as_str().contains('/'));
        held.count() + self.loading_adapters.len()
    }

    /// Completes loads and unloads that are due, and records the state for reports.
    pub(crate) fn advance(&mut self, now_ms: u64) {
        let (done, loading_adapters) = self
            .loading_adapters
            .drain(..)
            .partition(|(at, _)| *at <= now_ms);
        self.loading_adapters = loading_adapters;
        let done: Vec<(u64, Artifact)> = done;
        self.copies
            .extend(done.into_iter().map(|(_, adapter)| adapter));
        if let Some((_, action, model)) = self.busy.take_if(|(at, _, _)| *at <= now_ms) {
            match action {
                Action::Load => self.copies.push(model),
                Action::Unload => self.copies.retain(|name| *name != model),
            }
        }
        self.copies.sort();
        let report = Report {
            accepted_orders: self.accepted_orders,
            busy: self.busy.is_some(),
            copies: self.copies.clone(),
            loading_adapters: self
                .loading_adapters
                .iter()
                .map(|(_, name)| name.clone())
                .collect(),
            is_first: true,
        };
        self.reports.push_back((now_ms, report));
        while self.reports.len() > 1 && self.reports[1].0 + REPORT_LAG_MS <= now_ms {
            self.reports.pop_front();
        }
    }

    pub(crate) fn report(&self) -> Report {
        self.reports[0].1.clone()
    }

    pub(crate) fn order(&mut self, now_ms: u64, order: &Order, took_ms: u64) -> OrderResult {
        self.rejected_while_busy += usize::from(self.busy.is_some());
        if order.expected_orders != self.accepted_orders || self.busy.is_some() {
            return OrderResult::Conflict;
        }
        let artifact = order.artifact().clone();
        let held = self.copies.contains(&artifact);
        let is_loading = self
            .loading_adapters
            .iter()
            .any(|(_, name)| *name == artifact);
        match (order.action, &order.adapter) {
            (Action::Load, _) if held || is_loading => return OrderResult::AlreadyDone,
            (Action::Unload, _) if !held => return OrderResult::AlreadyDone,
            (Action::Load, Some(_)) if !self.copies.contains(&order.model) => {
                return OrderResult::Refused;
            }
            (Action::Load, adapter) => {
                let full = adapter.is_some() && self.adapters() >= self.adapter_slots;
                if full || self.used_mb() + self.size(&artifact) > self.memory_mb {
                    self.overfilled.push(order.clone());
                }
                match adapter {
                    Some(_) => self
                        .loading_adapters
                        .push((now_ms + ADAPTER_LOAD_MS, artifact)),
                    None => self.busy = Some((now_ms + took_ms, Action::Load, artifact)),
                }
            }
            (Action::Unload, Some(_)) if self.adapter_in_use_ms > 0 => {
                let until_ms = now_ms + self.adapter_in_use_ms;
                self.busy = Some((until_ms, Action::Unload, artifact));
            }
            (Action::Unload, Some(_)) => {
                self.copies.retain(|name| *name != artifact);
                self.accepted_orders += 1;
                return OrderResult::AlreadyDone;
            }
            (Action::Unload, None) => {
                let prefix = format!("{artifact}/");
                self.copies
                    .retain(|name| !name.as_str().starts_with(&prefix));
                self.busy = Some((now_ms + took_ms, Action::Unload, artifact));
            }
        }
        self.accepted_orders += 1;
        OrderResult::Accepted
    }
}
