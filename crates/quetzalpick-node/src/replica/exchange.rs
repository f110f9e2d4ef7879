//! Periodic exchange with peers: statements for the lease, catching up, and application payloads.

use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures::future::join_all;
use quetzalpick_client::errors::{Result as CallResult, malformed};
use quetzalpick_client::traits::Log;
use quetzalpick_core::id::{Member, Offset};
use quetzalpick_core::state::{Snapshot, State};
use tokio::time::{sleep, timeout};

use crate::peer::{Blob, Entries, Exchange, Fetch, Statement, Transport, decode, encode, path};
use crate::replica::clock::millis;
use crate::replica::shared::{Shared, lock};

/// Shortest pause between two exchanges.
const PAUSE_MIN: Duration = Duration::from_millis(50);

/// Timeout for fetching a peer's state.
const STATE_TIMEOUT: Duration = Duration::from_secs(10);

/// Random addition to the exchange interval, in percent of it.
const SPREAD_PERCENT: u64 = 10;

impl<L: Log, T: Transport> Shared<L, T> {
    /// Exchanges statements with peers until cancelled.
    pub(crate) async fn exchange(&self) {
        let interval = self.options.exchange_interval;
        let spread = millis(interval) * SPREAD_PERCENT / 100;
        loop {
            self.exchange_once().await;
            self.catch_up().await;
            sleep(PAUSE_MIN.min(interval)).await;
            let rest = interval.saturating_sub(PAUSE_MIN);
            let rest = rest + Duration::from_millis(self.random_below(spread));
            let _ = timeout(rest, self.exchange_now.notified()).await;
        }
    }

    /// Exchanges statements with each target once.
    async fn exchange_once(&self) {
        if !self.folded().loaded {
            return;
        }
        let calls = self
            .targets()
            .into_iter()
            .map(|(member, address)| async move {
                let sent_at = self.clock.now();
                match self.exchange_with(&address).await {
                    Ok(answer) => self.apply_answer(sent_at, answer),
                    Err(error) => log::debug!("peer: {member}: {error}"),
                }
            });
        join_all(calls).await;
    }

    /// Returns the members to call: all or a sample, plus all voters while the log cannot be read.
    fn targets(&self) -> Vec<(Member, String)> {
        let own_member = self.own_member();
        let can_read_log = self.can_read_log();
        let folded = self.folded();
        let roster = folded.state.roster();
        let mut targets = Vec::new();
        let mut others = Vec::new();
        for (member, row) in roster
            .members()
            .iter()
            .filter(|(member, _)| **member != own_member)
        {
            // Without the log the lease depends on the voters, so all of them are called.
            let needed = !can_read_log && roster.is_voter(member);
            let list = if needed { &mut targets } else { &mut others };
            list.push((member.clone(), row.peer_address.clone()));
        }
        drop(folded);
        // Round-robin order reaches every member within a bounded time, unlike a random choice.
        let sample = self.options.exchange_sample.unwrap_or(others.len());
        let sample = sample.min(others.len());
        let called = self.round_robin_count.fetch_add(sample, Ordering::Relaxed);
        let first = called % others.len().max(1);
        others.rotate_left(first);
        others.truncate(sample);
        targets.append(&mut others);
        targets
    }

    /// Exchanges statements with one peer.
    async fn exchange_with(&self, address: &str) -> CallResult<Exchange> {
        let body = encode(&self.own_exchange())?;
        let limit = self.options.exchange_interval;
        let answer = self
            .call_address(address, path::EXCHANGE, body, limit)
            .await?;
        decode(address, &answer)
    }

    /// Calls a path on a peer with a timeout.
    pub(crate) async fn call_address(
        &self,
        address: &str,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> CallResult<Bytes> {
        match timeout(limit, self.transport.call(address, path, body)).await {
            Ok(answer) => answer,
            Err(_) => Err(self.timeout_error(address, limit)),
        }
    }

    /// Returns this process's message to its peers.
    pub(crate) fn own_exchange(&self) -> Exchange {
        let member = self.own_member();
        // A leaving voter is removed without confirmations, which is safe only because it makes no more statements.
        let leaving = self.leaving.load(Ordering::Relaxed);
        let folded = self.folded();
        Exchange {
            active: !leaving && folded.loaded && folded.state.roster().is_active(&member),
            statement: Statement {
                member,
                applied: folded.state.next(),
                digest: folded.state.digest(),
            },
            role: self.options.role,
            domain: self.options.domain.clone(),
            address: self.options.peer_address.clone(),
            payload: Blob(lock(&self.payload).clone()),
        }
    }

    /// Applies the answer to an exchange that was sent at `sent_at`; only answers extend a lease.
    fn apply_answer(&self, sent_at: u64, answer: Exchange) {
        let statement = answer.statement.clone();
        let active = answer.active;
        self.receive_exchange(answer);
        if active {
            lock(&self.lease).record_statement(&statement.member, sent_at, statement.applied);
            self.notify_renewal();
        }
    }

    /// Records a message from a process.
    pub(crate) fn receive_exchange(&self, exchange: Exchange) {
        let now = self.clock.now();
        let statement = &exchange.statement;
        // A call to the address of a former incarnation of this process reaches this process.
        if statement.member == self.own_member() {
            return;
        }
        // The statement of an inactive process does not count towards the quorum.
        if exchange.active {
            lock(&self.quorum).record(&statement.member, statement.applied, now);
        }
        self.compare_digest(statement);
        lock(&self.peer_reports).record(now, exchange);
    }

    /// Compares a peer's digest with the own one at the same offset and counts a divergence.
    fn compare_digest(&self, statement: &Statement) {
        let own = self.folded().recent.digest_at(statement.applied);
        if own.is_some_and(|own| own != statement.digest) {
            self.divergences.fetch_add(1, Ordering::Relaxed);
            let Statement {
                member, applied, ..
            } = statement;
            log::error!("state: digest of {member} differs at offset {applied}");
        }
    }

    /// Fetches entries that a peer has applied and this process has not, while the log cannot be read.
    async fn catch_up(&self) {
        while !self.can_read_log() {
            let next = self.next_offset();
            let ahead = lock(&self.peer_reports).address_ahead_of(next);
            let Some(address) = ahead.filter(|_| self.folded().loaded) else {
                return;
            };
            if let Err(error) = self.fetch(&address, next).await {
                log::debug!("state: catching up from {address} failed: {error}");
                return;
            }
            if self.next_offset() == next {
                return;
            }
            log::info!(
                "state: caught up from {address}, next offset {}",
                self.next_offset()
            );
        }
    }

    /// Fetches and applies entries from a peer, or installs its state if it no longer keeps the entries.
    async fn fetch(&self, address: &str, from: Offset) -> CallResult<()> {
        let body = encode(&Fetch { from })?;
        let limit = self.options.exchange_interval;
        let answer = self
            .call_address(address, path::ENTRIES, body, limit)
            .await?;
        let answer: Entries = decode(address, &answer)?;
        match answer.entries {
            Some(entries) => {
                let entries: Vec<Bytes> = entries.into_iter().map(|blob| blob.0).collect();
                self.apply(from, &entries);
            }
            None => {
                let state = self.fetch_state(address).await?;
                self.install(state);
            }
        }
        Ok(())
    }

    /// Fetches a peer's state.
    async fn fetch_state(&self, address: &str) -> CallResult<State> {
        let limit = STATE_TIMEOUT.min(self.options.lease);
        let answer = self
            .call_address(address, path::STATE, Bytes::new(), limit)
            .await?;
        Snapshot::from_bytes(&answer)
            .and_then(|snapshot| snapshot.open())
            .map_err(|error| malformed(address, error))
    }

    /// Fetches the states of all seeds and known processes and returns the newest.
    pub(crate) async fn load_from_peer(&self) -> Option<State> {
        let mut addresses = self.options.seeds.clone();
        addresses.extend(lock(&self.peer_reports).addresses());
        addresses.sort_unstable();
        addresses.dedup();
        addresses.retain(|address| *address != self.options.peer_address);
        let calls = addresses.iter().map(|address| self.fetch_state(address));
        let states = join_all(calls).await.into_iter().filter_map(Result::ok);
        states.max_by_key(State::next)
    }
}
