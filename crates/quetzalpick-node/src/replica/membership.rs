//! Membership of this process: joining, refuting suspicions, and rejoining after it was retired.

use std::sync::atomic::Ordering;
use std::time::Duration;

use quetzalpick_client::traits::Log;
use quetzalpick_core::id::{Incarnation, Member, Offset};
use quetzalpick_core::record::{Join, Record};
use tokio::time::{sleep, timeout};

use crate::peer::Transport;
use crate::replica::Answer;
use crate::replica::shared::Shared;

/// Pause after a record that was not accepted.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// `MembershipStatus` is the status of this member in the folded state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MembershipStatus {
    /// No state is loaded.
    Unloaded,
    /// The member is not active.
    Inactive,
    /// The member is active.
    Active,
    /// The member is active and suspected since the record at this offset.
    Suspected(Offset),
}

impl<L: Log, T: Transport> Shared<L, T> {
    /// Keeps this process an active member until cancelled.
    pub(crate) async fn maintain_membership(&self) {
        let mut joined = false;
        let mut changed = self.changed.subscribe();
        loop {
            changed.borrow_and_update();
            let own_member = self.own_member();
            let status = self.membership_status(&own_member);
            let leaving = self.leaving.load(Ordering::Relaxed);
            let answer = match status {
                MembershipStatus::Unloaded => None,
                MembershipStatus::Inactive if leaving => None,
                MembershipStatus::Inactive if joined => {
                    log::warn!(
                        "member: {own_member} was retired, rejoining with a new incarnation"
                    );
                    joined = false;
                    self.replace_incarnation();
                    continue;
                }
                MembershipStatus::Inactive => Some(self.join(own_member).await),
                MembershipStatus::Active => {
                    joined = true;
                    None
                }
                MembershipStatus::Suspected(offset) => {
                    joined = true;
                    log::warn!("member: {own_member} is suspected at {offset}, refuting");
                    Some(self.submit(Record::Refute(own_member), None).await)
                }
            };
            match answer {
                Some(Answer::Accepted { .. }) => {}
                Some(answer) => {
                    log::warn!("member: record of own membership failed: {answer}");
                    sleep(RETRY_PAUSE).await;
                }
                // Entries and snapshots both notify. The result is ignored because the sender lives as long as `self`.
                None => drop(timeout(self.options.exchange_interval, changed.changed()).await),
            }
        }
    }

    /// Returns the status of a member in the folded state.
    fn membership_status(&self, member: &Member) -> MembershipStatus {
        let folded = self.folded();
        if !folded.loaded {
            return MembershipStatus::Unloaded;
        }
        match folded.state.roster().members().get(member) {
            None => MembershipStatus::Inactive,
            Some(row) => row
                .suspected
                .map_or(MembershipStatus::Active, MembershipStatus::Suspected),
        }
    }

    /// Submits the record with which this member joins.
    async fn join(&self, member: Member) -> Answer {
        let join = Join {
            member,
            role: self.options.role,
            domain: self.options.domain.clone(),
            peer_address: self.options.peer_address.clone(),
        };
        self.submit(Record::Join(join), None).await
    }

    /// Switches to a new random incarnation, which invalidates everything granted to the former one.
    fn replace_incarnation(&self) {
        let incarnation = Incarnation(self.draw_command().0);
        self.member
            .send_modify(|member| member.incarnation = incarnation);
    }
}
