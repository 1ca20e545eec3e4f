//! Leases for planning one service, and the slots planned under them, by the
//! order of the platform's log.
//!
//! Pure. A claim names the fence that it replaces; the first such claim in log
//! order wins, and its offset is the new fence. A slot record carries the
//! fence of its planner and counts only while that is the current one, so a
//! planner that was paused and wakes changes nothing. No clock decides whose
//! claim won. The holder orders VMs while it has a right to, which ends by its
//! own clock, [`RIGHT_TERM`] after it sent its claim: others leave it a longer
//! term after they have read that claim.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::id::FenceToken;
use crate::id::Incarnation;
use crate::id::LogOffset;
use crate::id::MachineClass;
use crate::id::ServiceName;
use crate::id::ZoneName;
use crate::platform_client::VmMarket;
use crate::platform_client::VmOrder;
use crate::quantity::Timestamp;

/// How long a lease without a sign of its holder is left alone.
pub const LEASE_TERM: Duration = Duration::from_secs(15);

/// How long a claim gives its holder the right to order VMs, from when it was
/// sent. Others wait half as long again, which covers clocks that do not run at
/// the same rate and an order that is under way when the right ends.
pub const RIGHT_TERM: Duration = Duration::from_secs(10);
/// The age of its own newest claim at which the holder renews it.
const RENEW_AFTER: Duration = Duration::from_secs(5);

/// A record of the lease stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum LeaseRecord {
    /// Takes the lease of a service, or renews it.
    Claim {
        /// The service.
        service: ServiceName,
        /// Who claims.
        holder: Incarnation,
        /// The fence that it replaces; 0 if there is none.
        replaces: FenceToken,
    },
    /// Plans a VM for a slot of a service.
    Slot {
        /// The service.
        service: ServiceName,
        /// The fence of the planner.
        fence: FenceToken,
        /// The slot.
        plan: SlotPlan,
    },
    /// Repeats the state of a service, so that it outlives retention.
    Restatement {
        /// The service.
        service: ServiceName,
        /// The fence of the planner.
        fence: FenceToken,
        /// Its slots.
        slots: Vec<SlotPlan>,
    },
}

/// What is planned for a slot of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotPlan {
    /// The slot's number within the service.
    pub slot: u32,
    /// Counts the VMs that the slot has had.
    pub generation: u32,
    /// Where and what; absent if the slot shall be empty.
    pub placement: Option<VmPlacement>,
}

/// Where a VM is started, what it is and how it is paid for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct VmPlacement {
    /// The availability zone.
    pub zone: ZoneName,
    /// The class.
    pub class: MachineClass,
    /// The market.
    pub market: VmMarket,
}

impl SlotPlan {
    /// Returns the order that starts the slot's VM. Its token depends only on
    /// service, slot and generation, so that whoever sends it, and however
    /// often, one VM is started.
    pub fn order(&self, service: &ServiceName) -> Option<VmOrder> {
        let placement = self.placement.clone()?;
        Some(VmOrder {
            token: format!("{service}/{}/{}", self.slot, self.generation),
            service: service.clone(),
            zone: placement.zone,
            class: placement.class,
            market: placement.market,
        })
    }
}

/// The right to order the VMs of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlanningRight {
    /// The fence of what is planned.
    pub fence: FenceToken,
    /// When it ends unless it is renewed, by the clock of the holder.
    pub until: Timestamp,
}

/// The lease of one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceLease {
    /// Who holds it.
    pub holder: Option<Incarnation>,
    /// Its fence.
    pub fence: FenceToken,
    /// When the last claim that counts, or may count, was read here.
    pub seen: Timestamp,
    /// The slots planned, by number.
    pub slots: BTreeMap<u32, SlotPlan>,
    candidates: Vec<LeaseCandidate>,
    sent: Option<SentClaim>,
    /// When the claim that counts was sent from here, at the earliest.
    sent_at: Option<Timestamp>,
}

/// The first claim that was sent from here in the place of a fence. One that got
/// no answer may be appended later, so it is the one that counts.
#[derive(Clone, Copy, Debug, PartialEq)]
struct SentClaim {
    holder: Incarnation,
    replaces: FenceToken,
    at: Timestamp,
}

/// A claim that a reader without the log's start cannot judge yet.
#[derive(Clone, Copy, Debug, PartialEq)]
struct LeaseCandidate {
    holder: Incarnation,
    fence: FenceToken,
}

/// The most claims remembered until one is confirmed.
const MAX_CANDIDATES: usize = 16;

impl ServiceLease {
    /// Applies a claim read at `offset`. A reader that lacks the log's start
    /// cannot tell a claim that lost from the one that won; it waits until a
    /// later claim builds on one of them, which only the winner's does.
    fn apply_claim(
        &mut self,
        now: Timestamp,
        offset: LogOffset,
        holder: Incarnation,
        replaces: FenceToken,
    ) -> LeaseOutcome {
        // Offset 0 would look like no lease at all.
        let fence = FenceToken(offset.0 + 1);
        let first = self.holder.is_none();
        let extends = if first {
            let builds = |candidate: &LeaseCandidate| candidate.fence == replaces;
            replaces == FenceToken(0) || self.candidates.iter().any(builds)
        } else {
            replaces == self.fence
        };
        if !extends {
            if first && self.candidates.len() < MAX_CANDIDATES {
                self.candidates.push(LeaseCandidate { holder, fence });
                self.seen = now;
            }
            return LeaseOutcome::Lost;
        }
        self.candidates.clear();
        self.holder = Some(holder);
        self.fence = fence;
        self.seen = now;
        let is_own = |sent: &SentClaim| sent.holder == holder && sent.replaces == replaces;
        self.sent_at = self.sent.filter(is_own).map(|sent| sent.at);
        LeaseOutcome::Applied
    }

    /// Returns whether nobody can hold it, as far as was read.
    fn is_free(&self) -> bool {
        self.holder.is_none() && self.candidates.is_empty()
    }

    /// Returns the fence that a claim must name.
    fn claimable_fence(&self) -> FenceToken {
        let unconfirmed = self.candidates.last().map(|candidate| candidate.fence);
        match self.holder {
            Some(_) => self.fence,
            None => unconfirmed.unwrap_or_default(),
        }
    }
}

/// What a record did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseOutcome {
    /// It counts.
    Applied,
    /// Another record came first.
    Lost,
    /// It was read before.
    Repeated,
    /// It is not of a known form.
    Undecodable,
}

/// Follows the lease stream.
#[derive(Clone, Debug, Default)]
pub struct LeaseFollower {
    leases: BTreeMap<ServiceName, ServiceLease>,
    next: LogOffset,
}

impl LeaseFollower {
    /// Returns a follower that knows nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the offset to read from.
    pub fn next_offset(&self) -> LogOffset {
        self.next
    }

    /// Returns the lease of a service.
    pub fn lease(&self, service: &ServiceName) -> ServiceLease {
        self.leases.get(service).cloned().unwrap_or_default()
    }

    /// Returns whether an entry holds a lease, as far as was read.
    pub fn is_held_by(&self, service: &ServiceName, holder: Incarnation) -> bool {
        self.lease(service).holder == Some(holder)
    }

    /// Returns the right of an entry to order VMs, counted from when it sent the
    /// claim that counts.
    pub fn right(
        &self,
        now: Timestamp,
        service: &ServiceName,
        holder: Incarnation,
    ) -> Option<PlanningRight> {
        let lease = self.leases.get(service)?;
        let sent_at = lease.sent_at.filter(|_| lease.holder == Some(holder))?;
        let until = sent_at.after(RIGHT_TERM);
        let fence = lease.fence;
        (now < until).then_some(PlanningRight { fence, until })
    }

    /// Notes that a claim is sent from here.
    pub fn note_sent(&mut self, now: Timestamp, record: &LeaseRecord) {
        let LeaseRecord::Claim {
            service,
            holder,
            replaces,
        } = record
        else {
            return;
        };
        let lease = self.leases.entry(service.clone()).or_default();
        if lease.sent.is_none_or(|sent| sent.replaces != *replaces) {
            lease.sent = Some(SentClaim {
                holder: *holder,
                replaces: *replaces,
                at: now,
            });
        }
    }

    /// Returns the claim that is worth a try: a renewal by its holder, or a
    /// claim of a lease whose holder gave no sign for [`LEASE_TERM`].
    pub fn claim(
        &self,
        now: Timestamp,
        service: &ServiceName,
        claimant: Incarnation,
    ) -> Option<LeaseRecord> {
        let lease = self.lease(service);
        let age = now.since(lease.seen);
        let own = lease.holder == Some(claimant);
        let due = if own {
            let sent_at = lease.sent_at;
            sent_at.is_none_or(|at| now.since(at) >= RENEW_AFTER)
        } else {
            lease.is_free() || age >= LEASE_TERM
        };
        due.then(|| LeaseRecord::Claim {
            service: service.clone(),
            holder: claimant,
            replaces: lease.claimable_fence(),
        })
    }

    /// Applies the record at `offset`, read at `now`.
    pub fn apply(&mut self, now: Timestamp, offset: LogOffset, text: &str) -> LeaseOutcome {
        if offset < self.next {
            return LeaseOutcome::Repeated;
        }
        self.next = LogOffset(offset.0 + 1);
        match serde_json::from_str(text) {
            Ok(record) => self.apply_record(now, offset, record),
            Err(_) => LeaseOutcome::Undecodable,
        }
    }

    fn apply_record(
        &mut self,
        now: Timestamp,
        offset: LogOffset,
        record: LeaseRecord,
    ) -> LeaseOutcome {
        match record {
            LeaseRecord::Claim {
                service,
                holder,
                replaces,
            } => {
                let lease = self.leases.entry(service).or_default();
                lease.apply_claim(now, offset, holder, replaces)
            }
            LeaseRecord::Slot {
                service,
                fence,
                plan,
            } => {
                let lease = self.leases.entry(service).or_default();
                let newer = lease
                    .slots
                    .get(&plan.slot)
                    .is_none_or(|known| plan.generation >= known.generation);
                if fence != lease.fence || !newer {
                    return LeaseOutcome::Lost;
                }
                lease.slots.insert(plan.slot, plan);
                LeaseOutcome::Applied
            }
            LeaseRecord::Restatement {
                service,
                fence,
                slots,
            } => {
                let lease = self.leases.entry(service).or_default();
                if fence != lease.fence {
                    return LeaseOutcome::Lost;
                }
                for plan in slots {
                    let known = lease.slots.entry(plan.slot).or_insert_with(|| plan.clone());
                    if plan.generation > known.generation {
                        *known = plan;
                    }
                }
                LeaseOutcome::Applied
            }
        }
    }
}
