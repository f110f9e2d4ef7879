//! The claims: calls that must run at most once.

use serde::{Deserialize, Serialize};

use crate::id::{Member, Offset};
use crate::record::{
    CLAIM_BODY_MAX_BYTES, CLAIM_KEY_MAX_CHARS, Claim, ClaimKey, ClaimResult, Finish,
};
use crate::state::outcome::{Reason, conflict, invalid, unknown};
use crate::table::Table;

/// `Held` is a claim in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// Offset of the claim.
    pub offset: Offset,
    /// Digest of method, path and body.
    pub fingerprint: u64,
    /// The gate that sends the call.
    pub member: Member,
    /// What became of the call; `None` while that is open.
    pub result: Option<ClaimResult>,
}

/// `Claims` is the aggregate of claims.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    /// Claims in force.
    pub(crate) held: Table<ClaimKey, Held>,
}

impl Claims {
    /// Returns the claims in force.
    pub fn held(&self) -> &Table<ClaimKey, Held> {
        &self.held
    }

    /// Takes a claim, unless the call was claimed before.
    pub(crate) fn claim(&mut self, offset: Offset, claim: &Claim) -> Result<(), Reason> {
        let chars = claim.key.key.chars().count();
        if !(1..=CLAIM_KEY_MAX_CHARS).contains(&chars) {
            let most = CLAIM_KEY_MAX_CHARS;
            return Err(invalid(format!("the key has not 1 to {most} characters")));
        }
        if let Some(held) = self.held.get(&claim.key) {
            return Err(Reason::Claimed {
                claim: held.offset,
                result: held.result.clone(),
                same: held.fingerprint == claim.fingerprint,
            });
        }
        let held = Held {
            offset,
            fingerprint: claim.fingerprint,
            member: claim.member.clone(),
            result: None,
        };
        self.held.insert(claim.key.clone(), held);
        Ok(())
    }

    /// Closes a claim; one whose call did not run is given up.
    pub(crate) fn finish(&mut self, author: &Member, finish: &Finish) -> Result<(), Reason> {
        let held = self.held.get_mut(&finish.key);
        let held = held.filter(|held| held.offset == finish.claim);
        let held = held.ok_or_else(|| unknown("claim", finish.claim))?;
        if held.member != *author {
            return Err(conflict(format!("the claim is held by {}", held.member)));
        }
        if held.result.is_some() {
            return Err(conflict(format!("claim {} is closed", finish.claim)));
        }
        match &finish.result {
            ClaimResult::NotRun => drop(self.held.remove(&finish.key)),
            ClaimResult::Ran {
                body: Some(body), ..
            } if body.len() > CLAIM_BODY_MAX_BYTES => {
                let most = CLAIM_BODY_MAX_BYTES;
                return Err(invalid(format!("the body is longer than {most} bytes")));
            }
            result => held.result = Some(result.clone()),
        }
        Ok(())
    }

    /// Closes the open claims of a departed member: nobody will say any more what became of its calls.
    pub(crate) fn depart(&mut self, member: &Member) {
        for (_, held) in self.held.iter_mut() {
            if held.member == *member && held.result.is_none() {
                held.result = Some(ClaimResult::MayHaveRun);
            }
        }
    }

    /// Drops closed claims made before an offset; an open one may still be sent.
    pub(crate) fn expire(&mut self, before: Offset) {
        self.held
            .retain(|_, held| held.offset >= before || held.result.is_none());
    }
}
