//! Claims of calls that must run at most once.

use serde::{Deserialize, Serialize};

use crate::id::{Member, Offset};
use crate::record::{
    CLAIM_BODY_MAX_BYTES, CLAIM_KEY_MAX_CHARS, Claim, ClaimKey, ClaimResult, Finish,
};
use crate::state::outcome::{Reason, conflict, invalid, unknown};
use crate::table::Table;

/// `ActiveClaim` records an accepted claim, open or closed, that has not expired.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActiveClaim {
    /// Offset of the claim.
    pub offset: Offset,
    /// First 8 bytes of the SHA-256 digest of method, path and body.
    pub fingerprint: u64,
    /// The gate that made the claim and sends the call.
    pub member: Member,
    /// How the call ended; `None` while the claim is open.
    pub result: Option<ClaimResult>,
}

/// `Claims` tracks the accepted claims until they expire.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    /// Claims by call.
    #[serde(rename = "held")]
    pub(crate) active: Table<ClaimKey, ActiveClaim>,
}

impl Claims {
    /// Returns the claims by call.
    pub fn active(&self) -> &Table<ClaimKey, ActiveClaim> {
        &self.active
    }

    /// Records a claim, unless the call was claimed before.
    pub(crate) fn claim(&mut self, offset: Offset, claim: &Claim) -> Result<(), Reason> {
        let chars = claim.key.key.chars().count();
        if !(1..=CLAIM_KEY_MAX_CHARS).contains(&chars) {
            let most = CLAIM_KEY_MAX_CHARS;
            return Err(invalid(format!("the key has not 1 to {most} characters")));
        }
        if let Some(active) = self.active.get(&claim.key) {
            return Err(Reason::Claimed {
                claim: active.offset,
                result: active.result.clone(),
                same: active.fingerprint == claim.fingerprint,
            });
        }
        let active = ActiveClaim {
            offset,
            fingerprint: claim.fingerprint,
            member: claim.member.clone(),
            result: None,
        };
        self.active.insert(claim.key.clone(), active);
        Ok(())
    }

    /// Closes a claim; one whose call did not run is removed, so the call can be claimed again.
    pub(crate) fn finish(&mut self, author: &Member, finish: &Finish) -> Result<(), Reason> {
        let active = self.active.get_mut(&finish.key);
        let active = active.filter(|active| active.offset == finish.claim);
        let active = active.ok_or_else(|| unknown("claim", finish.claim))?;
        if active.member != *author {
            return Err(conflict(format!("the claim is held by {}", active.member)));
        }
        if active.result.is_some() {
            return Err(conflict(format!("claim {} is closed", finish.claim)));
        }
        match &finish.result {
            ClaimResult::NotRun => drop(self.active.remove(&finish.key)),
            ClaimResult::Ran {
                body: Some(body), ..
            } if body.len() > CLAIM_BODY_MAX_BYTES => {
                let most = CLAIM_BODY_MAX_BYTES;
                return Err(invalid(format!("the body is longer than {most} bytes")));
            }
            result => active.result = Some(result.clone()),
        }
        Ok(())
    }

    /// Closes the open claims of a departed member as `MayHaveRun`: nobody else can report how its calls ended.
    pub(crate) fn close_claims_of(&mut self, member: &Member) {
        for (_, active) in self.active.iter_mut() {
            if active.member == *member && active.result.is_none() {
                active.result = Some(ClaimResult::MayHaveRun);
            }
        }
    }

    /// Drops closed claims made before an offset; the call of an open one may still be sent.
    pub(crate) fn expire(&mut self, before: Offset) {
        self.active
            .retain(|_, active| active.offset >= before || active.result.is_none());
    }
}
