//! An engine that counts orders, takes them only at the expected count, and crashes when it is overfilled.

use std::collections::VecDeque;

use quetzalpick_core::id::Artifact;
use quetzalpick_entry::place::{Action, Order, OrderResult, Report};

/// Age of what a report says, in ms.
const REPORT_AGE_MS: u64 = 150;

/// Time that an adapter takes to be there, in ms.
const ADAPTER_MS: u64 = 10;

/// Models that its disk takes.
const DISK_MODELS: usize = 4;

/// `Engine` is one engine.
pub(crate) struct Engine {
    pub(crate) memory_mb: u64,
    pub(crate) places: usize,
    sizes: Vec<(Artifact, u64)>,
    pub(crate) orders: u64,
    pub(crate) copies: Vec<Artifact>,
    coming: Vec<(u64, Artifact)>,
    /// Model that is being loaded or unloaded, and when that ends.
    busy: Option<(u64, Action, Artifact)>,
    history: VecDeque<(u64, Report)>,
    /// Orders that would overfill the engine.
    pub(crate) overfilled: Vec<Order>,
    /// Time that requests of an adapter still run when it is unloaded, in ms; no other order is taken meanwhile.
    pub(crate) adapter_in_use_ms: u64,
    /// Orders that came while another one was under way.
    pub(crate) in_vain: usize,
    /// Models on its disk, the one loaded last at the end.
    pub(crate) disk: VecDeque<Artifact>,
}

impl Engine {
    pub(crate) fn new(memory_mb: u64, places: usize, sizes: Vec<(Artifact, u64)>) -> Self {
        Self {
            memory_mb,
            places,
            sizes,
            orders: 0,
            copies: Vec::new(),
            coming: Vec::new(),
            busy: None,
            history: VecDeque::new(),
            overfilled: Vec::new(),
            adapter_in_use_ms: 0,
            in_vain: 0,
            disk: VecDeque::new(),
        }
    }

    /// Loads a model onto its disk, in place of the one that was loaded least recently; tells whether it was not there.
    pub(crate) fn store(&mut self, model: &Artifact) -> bool {
        let before = self.disk.len();
        self.disk.retain(|name| name != model);
        let is_new = self.disk.len() == before;
        self.disk.push_back(model.clone());
        if self.disk.len() > DISK_MODELS {
            self.disk.pop_front();
        }
        is_new
    }

    fn size(&self, artifact: &Artifact) -> u64 {
        let size = self.sizes.iter().find(|(name, _)| name == artifact);
        size.map_or(0, |(_, size)| *size)
    }

    fn used_mb(&self) -> u64 {
        let coming = self.coming.iter().map(|(_, adapter)| adapter);
        let busy = self
            .busy
            .iter()
            .filter(|(_, action, _)| *action == Action::Load);
        let loading = busy.map(|(_, _, model)| model);
        let all = self.copies.iter().chain(coming).chain(loading);
        all.map(|artifact| self.size(artifact)).sum()
    }

    fn adapters(&self) -> usize {
        let held = self
            .copies
            .iter()
            .filter(|name| name.as_str().contains('/'));
        held.count() + self.coming.len()
    }

    /// Lets what is under way end, and notes the state for reports.
    pub(crate) fn turn(&mut self, now_ms: u64) {
        let (done, coming) = self.coming.drain(..).partition(|(at, _)| *at <= now_ms);
        self.coming = coming;
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
            orders: self.orders,
            busy: self.busy.is_some(),
            copies: self.copies.clone(),
            coming: self.coming.iter().map(|(_, name)| name.clone()).collect(),
        };
        self.history.push_back((now_ms, report));
        while self.history.len() > 1 && self.history[1].0 + REPORT_AGE_MS <= now_ms {
            self.history.pop_front();
        }
    }

    pub(crate) fn report(&self) -> Report {
        self.history[0].1.clone()
    }

    pub(crate) fn order(&mut self, now_ms: u64, order: &Order, took_ms: u64) -> OrderResult {
        self.in_vain += usize::from(self.busy.is_some());
        if order.expected_orders != self.orders || self.busy.is_some() {
            return OrderResult::Conflict;
        }
        let artifact = order.artifact().clone();
        let held = self.copies.contains(&artifact);
        let coming = self.coming.iter().any(|(_, name)| *name == artifact);
        match (order.action, &order.adapter) {
            (Action::Load, _) if held || coming => return OrderResult::AlreadyDone,
            (Action::Unload, _) if !held => return OrderResult::AlreadyDone,
            (Action::Load, Some(_)) if !self.copies.contains(&order.model) => {
                return OrderResult::Refused;
            }
            (Action::Load, adapter) => {
                let full = adapter.is_some() && self.adapters() >= self.places;
                if full || self.used_mb() + self.size(&artifact) > self.memory_mb {
                    self.overfilled.push(order.clone());
                }
                match adapter {
                    Some(_) => self.coming.push((now_ms + ADAPTER_MS, artifact)),
                    None => self.busy = Some((now_ms + took_ms, Action::Load, artifact)),
                }
            }
            (Action::Unload, Some(_)) if self.adapter_in_use_ms > 0 => {
                let until_ms = now_ms + self.adapter_in_use_ms;
                self.busy = Some((until_ms, Action::Unload, artifact));
            }
            (Action::Unload, Some(_)) => {
                self.copies.retain(|name| *name != artifact);
                self.orders += 1;
                return OrderResult::AlreadyDone;
            }
            (Action::Unload, None) => {
                let prefix = format!("{artifact}/");
                self.copies
                    .retain(|name| !name.as_str().starts_with(&prefix));
                self.busy = Some((now_ms + took_ms, Action::Unload, artifact));
            }
        }
        self.orders += 1;
        OrderResult::Accepted
    }
}
