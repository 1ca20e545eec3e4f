//! Rights to act and calls under way, as all entries have them at one moment.

use crate::lease_model::LeaseWorld;
use crate::lease_model::ModelEntry;
use crate::lease_model::OpenCall;
use crate::lease_model::SeenRight;
use crate::lease_model::TERMS;
use crate::lease_step::BrokenLease;
use crate::lease_step::EntryIndex;
use crate::lease_step::LeaseViolation;
use cloverbend::id::FenceToken;
use cloverbend::quantity::Timestamp;
use std::time::Duration;

impl LeaseWorld {
    pub(super) fn right_of(&self, index: EntryIndex) -> Option<SeenRight> {
        let entry = self.entries[index].as_ref()?;
        let lease = &entry.lease;
        if self.breaks(BrokenLease::NewsAlone) {
            let fence = lease.own_tenure(entry.now, Vec::new())?.fence;
            let left = TERMS.short_term;
            return Some(SeenRight { index, fence, left });
        }
        let right = lease.valid_lease(entry.now)?;
        let fence = match self.setup.broken {
            BrokenLease::OffsetFence => FenceToken(right.fencing_token.0 & u64::from(u32::MAX)),
            _ => right.fencing_token,
        };
        let until = match self.setup.broken {
            BrokenLease::LongCall => longest_call(entry).max(right.expires_at),
            _ => right.expires_at,
        };
        let left = until.since(entry.now);
        Some(SeenRight { index, fence, left })
    }

    pub(super) fn rights(&self) -> Vec<SeenRight> {
        let indices = 0..self.entries.len();
        indices.filter_map(|index| self.right_of(index)).collect()
    }

    /// Takes all rights there are for calls, and returns the rule that one broke.
    pub(super) fn note_rights(&mut self) -> Option<LeaseViolation> {
        let rights = self.rights();
        if rights.len() > 1 {
            return Some(LeaseViolation::TwoHolders);
        }
        let right = *rights.first()?;
        let mut others = self.calls.iter().enumerate();
        if others.any(|(index, call)| index != right.index && call.is_some()) {
            return Some(LeaseViolation::CallsOverlap);
        }
        let left = self.calls[right.index].map_or(right.left, |call| call.left.max(right.left));
        self.calls[right.index] = Some(OpenCall { left });
        self.note_fence(right)
    }

    pub(super) fn note_fence(&mut self, right: SeenRight) -> Option<LeaseViolation> {
        let (highest, holder) = self.highest.unwrap_or((right.fence, right.index));
        if right.fence < highest {
            return Some(LeaseViolation::LowerFence);
        }
        if right.fence == highest && holder != right.index {
            return Some(LeaseViolation::SharedFence);
        }
        self.highest = Some((right.fence, right.index));
        None
    }
}

impl OpenCall {
    pub(super) fn after(self, passed: Duration) -> Option<Self> {
        let left = self.left.saturating_sub(passed);
        (!left.is_zero()).then_some(Self { left })
    }
}

/// Returns until when the newest record lets a holder act without a promise.
fn longest_call(entry: &ModelEntry) -> Timestamp {
    let known = entry.lease.known_holder();
    let is_alone = known.is_some_and(|(mark, _)| mark.successors.is_empty());
    let confirmed_at = entry.lease.confirmed_at().filter(|_| is_alone);
    confirmed_at.map_or(entry.now, |at| at.after(TERMS.long_term))
}
