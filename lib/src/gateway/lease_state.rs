//! The state of the lease as one entry knows it. Only the lease holder calls the
//! cloud.
//!
//! Pure: it does no I/O. The lease expires by the holder's clock before another entry
//! may claim it:
//!
//! - Each record of the holder in the store makes the lease valid for the short term,
//!   counted from when the record was sent. Another entry waits for that term and a
//!   margin for clock drift after it learned of the newest record. Then it claims, if
//!   no further record was appended.
//! - Entries that the newest record names as successors wait for the short term, all
//!   others for the long term. While the store is unreachable, the holder keeps the
//!   lease until the end of the long term, as long as every successor keeps promising
//!   not to claim for a short term.
//! - A store that was restored from an older copy is in a new generation. A record of
//!   an earlier generation does not entitle its successors to the short wait, and a
//!   claim counts only in the generation for which it was made.
//!
//! The holder appends its decision about the usage in a window before it reports the
//! usage, so that a later holder reports the same counts.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::gateway::duty_record::DutyRecord;
use crate::gateway::duty_record::TenureInfo;
use crate::gateway::lease_timings::LeaseTimings;
use crate::gateway::window_decisions::WindowDecisions;
use crate::id::EntryName;
use crate::id::FenceToken;
use crate::id::Incarnation;
use crate::id::LogOffset;
use crate::id::StoreGeneration;
use crate::quantity::Timestamp;

/// How long a successor receives nothing from the holder before it reads the topic.
/// The holder sends gossip four times a second. Unknown records delay the claim, so
/// the successor looks for them early.
const HOLDER_GOSSIP_TIMEOUT: Duration = Duration::from_millis(400);
/// The age of its newest record at which the holder renews the lease, unless all
/// successors promise not to claim. Records of duties renew the lease as well.
const RENEWAL_AGE: Duration = Duration::from_millis(450);
/// The least number of records that the holder appends per long term.
const RENEWALS_PER_LONG_TERM: u32 = 4;
/// The shortest time between two reads of the topic.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(500);

/// A lease that is valid now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ValidLease {
    /// The token that fences the holder's calls to the cloud.
    pub fencing_token: FenceToken,
    /// When it expires by the holder's clock, unless it is renewed.
    pub expires_at: Timestamp,
}

/// Why an entry no longer holds the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TenureEnd {
    /// Another entry claimed it.
    Replaced,
    /// This entry gave it up.
    GivenUp,
}

/// The tenure of the newest record that was read.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct KnownTenure {
    info: TenureInfo,
    is_released: bool,
}

/// This entry's own tenure, from its claim until another entry claims or this entry
/// gives the lease up.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct HeldTenure {
    fencing_token: FenceToken,
    generation: StoreGeneration,
    /// When the claim was appended, or found in the topic.
    claimed_at: Timestamp,
    /// When this entry sent its newest record that is known to be in the store.
    confirmed_at: Option<Timestamp>,
    /// The successors in each of its records that may be the newest one.
    successors: BTreeSet<EntryName>,
    /// By successor, when this entry sent the last message to which the successor
    /// responded with a promise.
    promises: BTreeMap<EntryName, Timestamp>,
}

/// A claim of this entry that was sent, and may be appended later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PendingClaim {
    /// The store appends the claim only if the topic ends at this offset.
    expected_end: LogOffset,
    /// Whether any attempt got no response.
    is_unanswered: bool,
}

/// The state of the lease as one entry knows it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseState {
    name: EntryName,
    incarnation: Incarnation,
    timings: LeaseTimings,
    /// Whether no entry of the deployment ran before.
    first_start: bool,
    /// The offset up to which the topic was read.
    next_offset: LogOffset,
    generation: Option<StoreGeneration>,
    /// When the topic was last read to its end.
    read_at: Option<Timestamp>,
    /// Whether to read the topic because the holder no longer advertises the lease.
    /// The topic may then have a last record of the holder, such as a release.
    read_requested: bool,
    /// The end of the topic as the holder advertised it.
    advertised_end: LogOffset,
    /// When there was last a sign of a holder: a record of it was read, it sent
    /// gossip, or records that could not be read may be of a holder.
    holder_seen_at: Timestamp,
    latest_tenure: Option<KnownTenure>,
    held_tenure: Option<HeldTenure>,
    /// Why the held tenure ended, until [`Self::take_tenure_end`] returns it.
    tenure_end: Option<TenureEnd>,
    pending_claim: Option<PendingClaim>,
    no_claim_before: Timestamp,
    /// Whether an incarnation of this entry held the lease, by the records read.
    was_holder: bool,
    /// When this entry may claim again. The delay keeps two entries from taking the
    /// lease from each other in turns.
    cooldown_until: Timestamp,
    decisions: WindowDecisions,
}

impl LeaseState {
    /// Returns the state of an entry that starts. With `first_start`, no entry of the
    /// deployment ran before.
    pub fn new(
        now: Timestamp,
        name: EntryName,
        incarnation: Incarnation,
        timings: LeaseTimings,
        first_start: bool,
    ) -> Self {
        Self {
            name,
            incarnation,
            timings,
            first_start,
            next_offset: LogOffset(0),
            generation: None,
            read_at: None,
            read_requested: false,
            advertised_end: LogOffset(0),
            holder_seen_at: now,
            latest_tenure: None,
            held_tenure: None,
            tenure_end: None,
            pending_claim: None,
            no_claim_before: Timestamp(0),
            was_holder: false,
            cooldown_until: Timestamp(0),
            decisions: WindowDecisions::default(),
        }
    }

    /// Returns the lease, if this entry holds it and it is valid.
    pub fn valid_lease(&self, now: Timestamp) -> Option<ValidLease> {
        let held = self.held_tenure.as_ref()?;
        // The next record may name new successors, which wait for a short term only.
        // So no call may last longer than that.
        let longest = now.after(self.timings.short_term);
        let expires_at = self.expiry(held)?.min(longest);
        let fencing_token = held.fencing_token;
        (now < expires_at).then_some(ValidLease {
            fencing_token,
            expires_at,
        })
    }

    fn expiry(&self, held: &HeldTenure) -> Option<Timestamp> {
        let confirmed = held.confirmed_at?;
        let by_store = confirmed.after(self.timings.short_term);
        let longest = confirmed.after(self.timings.long_term);
        if self.first_start && confirmed < Timestamp(0).after(self.timings.long_term) {
            // The store may be restored from a copy without any claim. Then no record
            // names the successors on whose promises the holder would rely.
            return Some(by_store);
        }
        let promised_at = |name| held.promises.get(name).copied().unwrap_or(Timestamp(0));
        let oldest_promise_at = held.successors.iter().map(promised_at).min();
        let by_promises = oldest_promise_at.map_or(longest, |at| at.after(self.timings.short_term));
        Some(by_store.max(by_promises).min(longest))
    }

    /// Returns whether this entry made the latest claim, even if its lease is no
    /// longer valid.
    pub fn is_holder(&self) -> bool {
        self.held_tenure.is_some()
    }

    /// Returns when this entry sent the newest record of its tenure that is known to
    /// be in the store.
    pub fn confirmed_at(&self) -> Option<Timestamp> {
        self.held_tenure.as_ref()?.confirmed_at
    }

    /// Returns whether the holder should append a record: the lease expires soon,
    /// since some successor does not promise, or the newest record is old. The store
    /// keeps records only for some time, and other entries have to find one.
    pub fn should_renew(&self, now: Timestamp) -> bool {
        let Some(confirmed_at) = self.confirmed_at() else {
            return self.is_holder();
        };
        let left = self
            .valid_lease(now)
            .map(|lease| lease.expires_at.since(now));
        let expires_soon = left.is_none_or(|left| left < self.timings.short_term - RENEWAL_AGE);
        let is_interval_over = now.since(confirmed_at) >= RENEWAL_AGE;
        let is_old = now.since(confirmed_at) >= self.timings.long_term / RENEWALS_PER_LONG_TERM;
        is_old || (expires_soon && is_interval_over)
    }

    /// Returns why the tenure of this entry ended. Each end is returned once.
    pub fn take_tenure_end(&mut self) -> Option<TenureEnd> {
        self.tenure_end.take()
    }

    /// Returns whether the store is in a new generation, so that this entry has to
    /// claim the lease again to keep it.
    pub fn must_reclaim(&self) -> bool {
        let held_in = self.held_tenure.as_ref().map(|held| held.generation);
        held_in.is_some() && held_in != self.generation
    }

    /// Returns the holder by the newest record, and when a holder was last seen.
    pub fn known_holder(&self) -> Option<(&TenureInfo, Timestamp)> {
        let tenure = self.latest_tenure.as_ref()?;
        Some((&tenure.info, self.holder_seen_at))
    }

    /// Returns whether a tenure is the latest one that was read.
    pub fn is_latest_tenure(&self, info: &TenureInfo) -> bool {
        let known = self.latest_tenure.as_ref().map(|tenure| &tenure.info);
        known.is_some_and(|known| known.fence == info.fence)
    }

    /// Returns the offset up to which the topic was read.
    pub fn next_offset(&self) -> LogOffset {
        self.next_offset
    }

    /// Returns the generation of the store in which the topic was read.
    pub fn generation(&self) -> Option<StoreGeneration> {
        self.generation
    }

    /// Returns the decisions about usage windows.
    pub fn decisions(&self) -> &WindowDecisions {
        &self.decisions
    }

    /// Returns whether this entry may promise the holder not to claim. It may not
    /// while a claim of its own may still be appended.
    pub fn may_promise(&self) -> bool {
        self.pending_claim.is_none() && self.held_tenure.is_none()
    }

    /// Notes the generation that the store named in a response. If it is new, the
    /// topic has to be read again from its start.
    pub fn note_generation(&mut self, now: Timestamp, generation: StoreGeneration) {
        if self.generation == Some(generation) {
            return;
        }
        if self.generation.is_some() {
            self.restart_reading(now);
        }
        // The holder in the earlier generation may have renewed the lease until now.
        self.holder_seen_at = now;
        self.generation = Some(generation);
    }

    /// Starts to read the topic again, because it is shorter than what was read.
    pub fn restart_reading(&mut self, now: Timestamp) {
        self.next_offset = LogOffset(0);
        self.read_at = None;
        self.advertised_end = LogOffset(0);
        self.holder_seen_at = now;
        self.latest_tenure = None;
        self.decisions.note_store_lost();
    }

    /// Notes a record that was read.
    pub fn note_read(&mut self, now: Timestamp, offset: LogOffset, record: DutyRecord) {
        if offset < self.next_offset {
            return;
        }
        if offset >= self.advertised_end {
            self.holder_seen_at = now;
        }
        self.note_record(now, offset, &record);
        self.note_decision(record);
    }

    /// Notes that a record that this entry sent at `sent_at` was appended in
    /// `generation`. The record counts only if that generation was known before.
    pub fn note_appended(
        &mut self,
        now: Timestamp,
        sent_at: Timestamp,
        generation: StoreGeneration,
        offset: LogOffset,
        record: DutyRecord,
    ) {
        if self.generation != Some(generation) {
            // Earlier records of the new generation have to be read first.
            self.note_generation(now, generation);
            return;
        }
        if offset < self.next_offset {
            return;
        }
        self.note_record(now, offset, &record);
        if let Some(held) = &mut self.held_tenure {
            held.confirmed_at = Some(sent_at);
            let successors = named_successors(&record).iter().cloned();
            held.successors = successors.collect();
        }
        self.note_decision(record);
    }

    /// Notes that this entry sends a record. From now on it may be appended, whether
    /// or not the store responds.
    pub fn note_sent(&mut self, record: &DutyRecord) {
        if let DutyRecord::Claim { .. } = record {
            let pending = self.pending_claim;
            self.pending_claim = Some(PendingClaim {
                expected_end: self.next_offset,
                is_unanswered: pending.is_some_and(|pending| pending.is_unanswered),
            });
        }
        if let Some(held) = &mut self.held_tenure {
            held.successors
                .extend(named_successors(record).iter().cloned());
        }
    }

    /// Notes that the store certainly did not append the last claim.
    pub fn note_claim_rejected(&mut self) {
        self.pending_claim.take_if(|pending| !pending.is_unanswered);
    }

    /// Notes that a claim got no response, so that it may still be appended.
    pub fn note_claim_unanswered(&mut self) {
        if let Some(pending) = &mut self.pending_claim {
            pending.is_unanswered = true;
        }
    }

    /// Notes that the topic was read up to `end`.
    pub fn note_read_end(&mut self, now: Timestamp, end: LogOffset) {
        self.advance_to(end);
        self.read_at = Some(now);
        self.read_requested = false;
    }

    /// Skips the records before `first`, which cannot be read. Another entry's claim
    /// may be among them.
    pub fn skip_to(&mut self, now: Timestamp, first: LogOffset) {
        if first > self.next_offset {
            self.holder_seen_at = now;
            self.latest_tenure = None;
            self.end_held_tenure(now);
        }
        self.advance_to(first);
    }

    fn advance_to(&mut self, end: LogOffset) {
        self.next_offset = self.next_offset.max(end);
        self.pending_claim
            .take_if(|pending| pending.expected_end < end);
    }

    fn note_record(&mut self, now: Timestamp, offset: LogOffset, record: &DutyRecord) {
        self.advance_to(LogOffset(offset.0 + 1));
        if let DutyRecord::Claim { .. } = record {
            self.note_claim(now, offset, record);
            return;
        }
        let known = self.latest_tenure.as_ref().map(|tenure| &tenure.info);
        if let Some(info) = record.tenure().filter(|info| !is_outdated(info, known)) {
            let is_released = matches!(record, DutyRecord::Release { .. });
            self.set_tenure(now, info.clone(), is_released);
        }
    }

    fn note_claim(&mut self, now: Timestamp, offset: LogOffset, record: &DutyRecord) {
        let DutyRecord::Claim {
            entry,
            incarnation,
            generation,
            successors,
        } = record
        else {
            return;
        };
        let fence = FenceToken::of_claim(generation.unwrap_or_default(), offset);
        let info = TenureInfo {
            entry: entry.clone(),
            incarnation: *incarnation,
            fence,
            generation: *generation,
            successors: successors.clone(),
            held_ms: 0,
        };
        self.set_tenure(now, info, false);
        let current = self.generation.filter(|known| Some(*known) == *generation);
        if let Some(generation) = current.filter(|_| *incarnation == self.incarnation) {
            self.held_tenure = Some(HeldTenure {
                fencing_token: fence,
                generation,
                claimed_at: now,
                confirmed_at: None,
                successors: successors.iter().cloned().collect(),
                promises: BTreeMap::new(),
            });
        }
    }

    fn set_tenure(&mut self, now: Timestamp, info: TenureInfo, is_released: bool) {
        let is_other = info.incarnation != self.incarnation;
        self.update_cooldown(now, &info);
        // A record of an earlier generation does not end the held tenure. A record
        // without a generation does: an older version wrote it.
        let is_current = info.generation.is_none() || info.generation == self.generation;
        if is_other && is_current {
            self.end_held_tenure(now);
        }
        self.latest_tenure = Some(KnownTenure { info, is_released });
    }

    /// Updates when this entry may claim again. It has to wait if it held the lease
    /// before the holder that `info` names.
    fn update_cooldown(&mut self, now: Timestamp, info: &TenureInfo) {
        if info.entry == self.name {
            self.was_holder = true;
            self.cooldown_until = Timestamp(0);
        } else if self.was_holder {
            let held = Duration::from_millis(info.held_ms);
            self.cooldown_until = now.after(self.timings.cooldown.saturating_sub(held));
        }
    }

    fn end_held_tenure(&mut self, now: Timestamp) {
        if self.held_tenure.take().is_some() {
            self.tenure_end = Some(TenureEnd::Replaced);
            self.no_claim_before = now.after(self.timings.cooldown);
        }
    }

    fn note_decision(&mut self, record: DutyRecord) {
        if let DutyRecord::Usage { window, counts, .. } = record {
            self.decisions.note_stored(window, counts);
        }
    }

    /// Notes that another entry advertised that it holds the lease with `fencing_token`,
    /// and that the topic ends at `end`.
    pub fn note_holder_gossip(
        &mut self,
        now: Timestamp,
        fencing_token: FenceToken,
        end: LogOffset,
    ) {
        self.holder_seen_at = now;
        // Offsets are assigned again in each generation.
        if self.generation == Some(fencing_token.generation()) {
            self.advertised_end = self.advertised_end.max(end);
        }
    }

    /// Requests a read of the topic, because the holder no longer advertises the lease.
    pub fn request_read(&mut self) {
        self.read_requested = true;
    }

    /// Notes that another entry promised not to claim, in response to a message with
    /// `fencing_token` that was sent at `sent_at`. Once the lease has expired, only an
    /// append makes it valid again, because others may have claimed it since.
    pub fn note_promise(
        &mut self,
        now: Timestamp,
        from: &EntryName,
        fencing_token: FenceToken,
        sent_at: Timestamp,
    ) {
        if self.valid_lease(now).is_none() {
            return;
        }
        let Some(held) = self
            .held_tenure
            .as_mut()
            .filter(|held| held.fencing_token == fencing_token)
        else {
            return;
        };
        let promised_at = held.promises.entry(from.clone()).or_insert(sent_at);
        *promised_at = sent_at.max(*promised_at);
    }

    /// Returns whether no entry can have claimed the lease yet, in any generation.
    fn is_unclaimed(&self) -> bool {
        let is_first = self.generation == Some(StoreGeneration::default());
        self.first_start && is_first && self.next_offset == LogOffset(0)
    }

    /// Returns how long this entry waits after a holder was last seen before it
    /// claims.
    fn claim_delay(&self, rank: usize) -> Duration {
        let long = self.timings.with_drift(self.timings.long_term);
        let step = self.timings.rank_step * rank as u32;
        let Some(tenure) = &self.latest_tenure else {
            let first = self.timings.with_drift(self.timings.short_term) + step;
            return if self.is_unclaimed() { first } else { long };
        };
        let info = &tenure.info;
        let is_current = info.generation.is_some() && info.generation == self.generation;
        if !is_current {
            return long;
        }
        if info.entry == self.name {
            // The holder was an earlier incarnation of this entry, which has ended.
            return Duration::ZERO;
        }
        let term = self.timings.with_drift(self.timings.short_term) + step;
        let is_successor = info.successors.contains(&self.name);
        match (tenure.is_released, is_successor) {
            (true, true) => step,
            // The successors claim a released lease first, because they remain hubs for
            // longer than others.
            (true, false) | (false, true) => term,
            (false, false) => long + step,
        }
    }

    /// Returns whether to read the topic. This entry reads it once before it claims,
    /// when a read was requested, and while nothing else shows that there is a holder.
    pub fn should_read(&self, now: Timestamp, rank: usize) -> bool {
        let Some(read_at) = self.read_at else {
            return true;
        };
        let wait = self.claim_delay(rank);
        let is_holder_overdue =
            now.since(self.holder_seen_at) >= HOLDER_GOSSIP_TIMEOUT.max(wait / 10);
        let is_interval_over = now.since(read_at) >= MIN_READ_INTERVAL.max(wait / 5);
        self.read_requested || (is_holder_overdue && is_interval_over)
    }

    /// Returns whether this entry may claim, provided that the topic has no record
    /// beyond what was read.
    pub fn may_claim(&self, now: Timestamp, rank: usize) -> bool {
        let is_over = now.since(self.holder_seen_at) >= self.claim_delay(rank);
        let is_cooling_down = now < self.no_claim_before.max(self.cooldown_until);
        let is_eligible = self.held_tenure.is_none() && !is_cooling_down;
        self.read_at.is_some() && is_eligible && is_over
    }

    /// Returns whether this entry may claim again in the store's new generation while
    /// its lease is still valid.
    pub fn may_reclaim(&self, now: Timestamp) -> bool {
        let is_unclaimed_by_others = self.latest_tenure.as_ref().is_none_or(|tenure| {
            let info = &tenure.info;
            let is_earlier = info.generation.is_some() && info.generation != self.generation;
            info.incarnation == self.incarnation || is_earlier
        });
        self.read_at.is_some()
            && self.must_reclaim()
            && is_unclaimed_by_others
            && self.valid_lease(now).is_some()
    }

    /// Returns the record by which this entry claims the lease.
    pub fn claim_record(&self, successors: Vec<EntryName>) -> DutyRecord {
        DutyRecord::Claim {
            entry: self.name.clone(),
            incarnation: self.incarnation,
            generation: self.generation,
            successors,
        }
    }

    /// Returns the tenure of this entry with new successors, if it holds the lease in
    /// the store's current generation.
    pub fn own_tenure(&self, now: Timestamp, successors: Vec<EntryName>) -> Option<TenureInfo> {
        let held = self.held_tenure.as_ref()?;
        let info = TenureInfo {
            entry: self.name.clone(),
            incarnation: self.incarnation,
            fence: held.fencing_token,
            generation: Some(held.generation),
            successors,
            held_ms: now.since(held.claimed_at).as_millis() as u64,
        };
        (!self.must_reclaim()).then_some(info)
    }

    /// Gives the lease up: this entry makes no further calls with its fencing token.
    pub fn give_up(&mut self, now: Timestamp) {
        if self.held_tenure.take().is_some() {
            self.tenure_end = Some(TenureEnd::GivenUp);
        }
        self.holder_seen_at = now;
        self.no_claim_before = now.after(self.timings.cooldown);
    }

    /// Lets other entries claim first: this entry does not claim for `delay`.
    pub fn defer_claim(&mut self, now: Timestamp, delay: Duration) {
        self.no_claim_before = self.no_claim_before.max(now.after(delay));
    }
}

/// Returns whether a tenure ended before the known one began.
fn is_outdated(info: &TenureInfo, known: Option<&TenureInfo>) -> bool {
    known.is_some_and(|known| info.generation == known.generation && info.fence < known.fence)
}

fn named_successors(record: &DutyRecord) -> &[EntryName] {
    match record {
        DutyRecord::Claim { successors, .. } => successors,
        other => other.tenure().map_or(&[], |info| &info.successors),
    }
}
