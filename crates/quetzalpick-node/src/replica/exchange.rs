//! The regular exchange with peers: statements for the lease, catching up, and what the application adds.

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

/// Longest time for a peer's state to arrive.
const STATE_LIMIT: Duration = Duration::from_secs(10);

/// Part of the interval by which exchanges are spread at random, in percent.
const SPREAD_PERCENT: u64 = 10;

impl<L: Log, T: Transport> Shared<L, T> {
    /// Exchanges statements with peers for as long as it is polled.
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
        if !self.view().loaded {
            return;
        }
        let calls = self
            .targets()
            .into_iter()
            .map(|(member, address)| async move {
                let sent_at = self.clock.now();
                match self.exchange_with(&address).await {
                    Ok(answer) => self.take_answer(sent_at, answer),
                    Err(error) => log::debug!("peer: {member}: {error}"),
                }
            });
        join_all(calls).await;
    }

    /// Returns the members to call: all or a sample, and all voters while the log cannot be read.
    fn targets(&self) -> Vec<(Member, String)> {
        let me = self.me();
        let reads = self.reads();
        let view = self.view();
        let roster = view.state.roster();
        let mut targets = Vec::new();
        let mut others = Vec::new();
        for (member, row) in roster.members().iter().filter(|(member, _)| **member != me) {
            // Without the log the lease rests on the voters, so that none of them is left out.
            let needed = !reads && roster.is_voter(member);
            let list = if needed { &mut targets } else { &mut others };
            list.push((member.clone(), row.peer_address.clone()));
        }
        drop(view);
        // Taking turns reaches every member within a bounded time, which a random choice would not.
        let sample = self.options.exchange_sample.unwrap_or(others.len());
        let sample = sample.min(others.len());
        let turn = self.exchange_turn.fetch_add(sample, Ordering::Relaxed);
        let first = turn % others.len().max(1);
        others.rotate_left(first);
        others.truncate(sample);
        targets.append(&mut others);
        targets
    }

    /// Calls one peer.
    async fn exchange_with(&self, address: &str) -> CallResult<Exchange> {
        let body = encode(&self.statement())?;
        let limit = self.options.exchange_interval;
        let answer = self
            .call_address(address, path::EXCHANGE, body, limit)
            .await?;
        decode(address, &answer)
    }

    /// Calls a path of a peer with a limit of time.
    pub(crate) async fn call_address(
        &self,
        address: &str,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> CallResult<Bytes> {
        match timeout(limit, self.transport.call(address, path, body)).await {
            Ok(answer) => answer,
            Err(_) => Err(self.late(address, limit)),
        }
    }

    /// Returns what this process tells of itself.
    pub(crate) fn statement(&self) -> Exchange {
        let member = self.me();
        // A member that leaves is unseated without witnesses, which rests on its stating nothing from before on.
        let leaving = self.leaving.load(Ordering::Relaxed);
        let view = self.view();
        Exchange {
            active: !leaving && view.loaded && view.state.roster().is_active(&member),
            statement: Statement {
                member,
                applied: view.state.next(),
                digest: view.state.digest(),
            },
            role: self.options.role,
            domain: self.options.domain.clone(),
            address: self.options.peer_address.clone(),
            payload: Blob(lock(&self.payload).clone()),
        }
    }

    /// Takes the answer to an exchange that was sent at `sent_at`; only answers extend a lease.
    fn take_answer(&self, sent_at: u64, answer: Exchange) {
        let statement = answer.statement.clone();
        let active = answer.active;
        self.hear(answer);
        if active {
            lock(&self.lease).statement(&statement.member, sent_at, statement.applied);
            self.note_renewal();
        }
    }

    /// Takes what a process told of itself.
    pub(crate) fn hear(&self, exchange: Exchange) {
        let now = self.clock.now();
        let statement = &exchange.statement;
        // The address of a former start of this process leads back to it.
        if statement.member == self.me() {
            return;
        }
        // A process that is not active states nothing.
        if exchange.active {
            lock(&self.quorum).record(&statement.member, statement.applied, now);
        }
        self.compare(statement);
        lock(&self.contacts).hear(now, exchange);
    }

    /// Compares a peer's digest with the own one at the same offset.
    fn compare(&self, statement: &Statement) {
        let own = self.view().ring.digest(statement.applied);
        if own.is_some_and(|own| own != statement.digest) {
            self.divergences.fetch_add(1, Ordering::Relaxed);
            let Statement {
                member, applied, ..
            } = statement;
            log::error!("state: {member} differs at {applied}");
        }
    }

    /// Fetches what a peer has applied and this process has not, unless the log yields it.
    async fn catch_up(&self) {
        while !self.reads() {
            let next = self.next();
            let ahead = lock(&self.contacts).ahead(next);
            let Some(address) = ahead.filter(|_| self.view().loaded) else {
                return;
            };
            if let Err(error) = self.fetch(&address, next).await {
                log::debug!("state: catching up from {address} failed: {error}");
                return;
            }
            if self.next() == next {
                return;
            }
            log::info!("state: caught up through {} from {address}", self.next());
        }
    }

    /// Fetches entries from a peer, or its state if it no longer keeps the entries.
    async fn fetch(&self, address: &str, from: Offset) -> CallResult<()> {
        let body = encode(&Fetch { from })?;
        let limit = self.options.exchange_interval;
        let answer = self
            .call_address(address, path::ENTRIES, body, limit)
            .await?;
        let reply: Entries = decode(address, &answer)?;
        match reply.entries {
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
        let limit = STATE_LIMIT.min(self.options.lease);
        let answer = self
            .call_address(address, path::STATE, Bytes::new(), limit)
            .await?;
        Snapshot::from_bytes(&answer)
            .and_then(|snapshot| snapshot.open())
            .map_err(|error| malformed(address, error))
    }

    /// Returns the newest state that a known process has.
    pub(crate) async fn load_from_peer(&self) -> Option<State> {
        let mut addresses = self.options.seeds.clone();
        addresses.extend(lock(&self.contacts).addresses());
        addresses.sort_unstable();
        addresses.dedup();
        addresses.retain(|address| *address != self.options.peer_address);
        let calls = addresses.iter().map(|address| self.fetch_state(address));
        let states = join_all(calls).await.into_iter().filter_map(Result::ok);
        states.max_by_key(State::next)
    }
}
