//! This process's own membership: joining, refuting suspicions, and joining anew after it was retired.

use std::sync::atomic::Ordering;
use std::time::Duration;

use quetzalpick_client::traits::Log;
use quetzalpick_core::id::{Incarnation, Member, Offset};
use quetzalpick_core::record::{Join, Record};
use tokio::time::{sleep, timeout};

use crate::peer::Transport;
use crate::replica::Answer;
use crate::replica::shared::Shared;

/// Pause after a record was not accepted.
const PAUSE: Duration = Duration::from_millis(500);

/// `Standing` is how the state regards this member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Standing {
    /// No state is loaded.
    Unloaded,
    /// It is not active.
    Absent,
    /// It is active.
    Active,
    /// It is active and a suspicion stands against it.
    Suspected(Offset),
}

impl<L: Log, T: Transport> Shared<L, T> {
    /// Keeps this process an active member for as long as it is polled.
    pub(crate) async fn stay_present(&self) {
        let mut joined = false;
        let mut changed = self.changed.subscribe();
        loop {
            changed.borrow_and_update();
            let me = self.me();
            let standing = self.standing(&me);
            let leaving = self.leaving.load(Ordering::Relaxed);
            let answer = match standing {
                Standing::Unloaded => None,
                Standing::Absent if leaving => None,
                Standing::Absent if joined => {
                    log::warn!("member: {me} was retired, joining anew");
                    joined = false;
                    self.renew();
                    continue;
                }
                Standing::Absent => Some(self.join(me).await),
                Standing::Active => {
                    joined = true;
                    None
                }
                Standing::Suspected(offset) => {
                    joined = true;
                    log::warn!("member: {me} is suspected at {offset}, refuting");
                    Some(self.submit(Record::Refute(me), None).await)
                }
            };
            match answer {
                Some(Answer::Accepted { .. }) => {}
                Some(answer) => {
                    log::warn!("member: not recorded: {answer}");
                    sleep(PAUSE).await;
                }
                // Entries and snapshots both count as changes; the sender lives as long as `self`.
                None => drop(timeout(self.options.exchange_interval, changed.changed()).await),
            }
        }
    }

    /// Returns how the state regards a member.
    fn standing(&self, member: &Member) -> Standing {
        let view = self.view();
        if !view.loaded {
            return Standing::Unloaded;
        }
        match view.state.roster().members().get(member) {
            None => Standing::Absent,
            Some(row) => row.suspected.map_or(Standing::Active, Standing::Suspected),
        }
    }

    /// Records the start of this member.
    async fn join(&self, member: Member) -> Answer {
        let join = Join {
            member,
            role: self.options.role,
            domain: self.options.domain.clone(),
            peer_address: self.options.peer_address.clone(),
        };
        self.submit(Record::Join(join), None).await
    }

    /// Draws a new incarnation: whatever was given to the former one is void.
    fn renew(&self) {
        let incarnation = Incarnation(self.draw_command().0);
        self.member.send_modify(|me| me.incarnation = incarnation);
    }
}
