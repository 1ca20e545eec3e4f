//! The lease for calls to the cloud that one entry at a time makes.
//!
//! Pure. The holder's right to act ends by its own clock, before any other
//! entry may act:
//!
//! - A record that the store has lets the holder act for a term from when the
//!   record was sent. An entry claims only a term, and what clocks may differ,
//!   after it learned of the newest record, and only if no record came since.
//! - Entries that the newest record names as successors wait for a short term,
//!   all others for a long one. While the store is away the holder goes on
//!   until the long term is over, as long as every successor promises not to
//!   claim for a short term.
//! - A store that comes back from an older copy is in a new generation. What
//!   is known from an earlier one gives nobody a short wait, and claims count
//!   only in the generation for which they were made.
//!
//! What a holder decides about a window's usage is appended before it is sent,
//! so that a later holder sends the same.

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

/// How long a successor hears nothing of the holder until it reads the topic:
/// news come four times a second. A record that it did not know of delays its
/// claim, so it looks for one early.
const READ_AFTER: Duration = Duration::from_millis(400);
/// The age of its newest record at which a holder renews the lease, where not
/// all successors promise. Records of duties renew it as well.
const RENEW_AFTER: Duration = Duration::from_millis(450);
/// How many records there are at least in the time for which one bridges an
/// outage of the store.
const RENEWALS: u32 = 4;
/// The least pause between reads.
const READ_PAUSE: Duration = Duration::from_millis(500);

/// The right to make calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ValidLease {
    /// The fence of the calls.
    pub fencing_token: FenceToken,
    /// When it ends unless it is renewed, by the clock of the holder.
    pub expires_at: Timestamp,
}

/// Why an entry no longer holds the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TenureEnd {
    /// Another entry has claimed.
    Replaced,
    /// This entry gave it up.
    GivenUp,
}

/// What is known of the holder whose record is the newest.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct KnownTenure {
    mark: TenureInfo,
    is_released: bool,
}

/// This entry's own tenure.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct HeldTenure {
    fence: FenceToken,
    generation: StoreGeneration,
    /// When its claim was found in the topic.
    since: Timestamp,
    /// When the newest record that the store has was sent; none if it is not
    /// known.
    confirmed_at: Option<Timestamp>,
    /// The successors in every record that may be the newest one.
    successors: BTreeSet<EntryName>,
    /// When the message was sent that a successor last answered with its
    /// promise.
    promises: BTreeMap<EntryName, Timestamp>,
}

/// A claim that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct OpenClaim {
    /// Where the topic has to end for it to be appended.
    expected_end: LogOffset,
    /// Whether one that was sent got no answer.
    is_unanswered: bool,
}

/// What an entry knows of the lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseState {
    name: EntryName,
    own: Incarnation,
    terms: LeaseTimings,
    /// Whether no holder can have been there before this entry's start.
    first_start: bool,
    next: LogOffset,
    generation: Option<StoreGeneration>,
    /// When the topic was last read to its end.
    read_at: Option<Timestamp>,
    /// Whether a holder is heard no longer, so that its last record may be there.
    read_requested: bool,
    /// Up to where the holder told that its records go.
    heard_end: LogOffset,
    /// When a sign of a holder was last seen: a record, news, or a reason to
    /// believe that there may be one.
    last_sign_at: Timestamp,
    tenure: Option<KnownTenure>,
    held: Option<HeldTenure>,
    ended: Option<TenureEnd>,
    /// An own claim that may be appended, perhaps late and without an answer.
    open_claim: Option<OpenClaim>,
    no_claim_before: Timestamp,
    /// Whether a life of this entry held the lease, as far as was read.
    acted_before: bool,
    /// Until when it does not claim, so that no two holders act by turns.
    cooldown_until: Timestamp,
    decided: WindowDecisions,
}

impl LeaseState {
    /// Returns the knowledge of an entry that starts. With `first_start` no
    /// entry of the deployment has run before.
    pub fn new(
        now: Timestamp,
        name: EntryName,
        own: Incarnation,
        terms: LeaseTimings,
        first_start: bool,
    ) -> Self {
        Self {
            name,
            own,
            terms,
            first_start,
            next: LogOffset(0),
            generation: None,
            read_at: None,
            read_requested: false,
            heard_end: LogOffset(0),
            last_sign_at: now,
            tenure: None,
            held: None,
            ended: None,
            open_claim: None,
            no_claim_before: Timestamp(0),
            acted_before: false,
            cooldown_until: Timestamp(0),
            decided: WindowDecisions::default(),
        }
    }

    /// Returns the right to make calls, if this entry has one.
    pub fn valid_lease(&self, now: Timestamp) -> Option<ValidLease> {
        let held = self.held.as_ref()?;
        // A successor that a later record names waits for a term from then on,
        // so that no call may last longer.
        let longest = now.after(self.terms.short_term);
        let until = self.right_end(held)?.min(longest);
        let fence = held.fence;
        (now < until).then_some(ValidLease {
            fencing_token: fence,
            expires_at: until,
        })
    }

    fn right_end(&self, held: &HeldTenure) -> Option<Timestamp> {
        let confirmed = held.confirmed_at?;
        let by_store = confirmed.after(self.terms.short_term);
        let longest = confirmed.after(self.terms.long_term);
        if self.first_start && confirmed < Timestamp(0).after(self.terms.long_term) {
            // A copy of the store may be from before the first claim, and then
            // names no successors.
            return Some(by_store);
        }
        let promised_at = |name| held.promises.get(name).copied().unwrap_or(Timestamp(0));
        let promised = held.successors.iter().map(promised_at).min();
        let by_promises = promised.map_or(longest, |at| at.after(self.terms.short_term));
        Some(by_store.max(by_promises).min(longest))
    }

    /// Returns whether this entry's claim is the last one, also while it has no
    /// right to act.
    pub fn is_holder(&self) -> bool {
        self.held.is_some()
    }

    /// Returns when the newest record that the store has of this entry's tenure
    /// was sent.
    pub fn confirmed_at(&self) -> Option<Timestamp> {
        self.held.as_ref()?.confirmed_at
    }

    /// Returns whether the holder should append a record: its right ends soon,
    /// since a successor promises nothing, or the newest record is old. Others
    /// have to find one while the store keeps its history.
    pub fn should_renew(&self, now: Timestamp) -> bool {
        let Some(confirmed_at) = self.confirmed_at() else {
            return self.is_holder();
        };
        let left = self
            .valid_lease(now)
            .map(|right| right.expires_at.since(now));
        let ends_soon = left.is_none_or(|left| left < self.terms.short_term - RENEW_AFTER);
        let rested = now.since(confirmed_at) >= RENEW_AFTER;
        let is_old = now.since(confirmed_at) >= self.terms.long_term / RENEWALS;
        is_old || (ends_soon && rested)
    }

    /// Returns why the tenure of this entry has ended, once.
    pub fn take_ended(&mut self) -> Option<TenureEnd> {
        self.ended.take()
    }

    /// Returns whether the store went on in another generation, so that the
    /// claim has to be made again.
    pub fn must_reclaim(&self) -> bool {
        let held_in = self.held.as_ref().map(|held| held.generation);
        held_in.is_some() && held_in != self.generation
    }

    /// Returns the holder by the newest record, and when a sign of it was last
    /// learned.
    pub fn known_holder(&self) -> Option<(&TenureInfo, Timestamp)> {
        let tenure = self.tenure.as_ref()?;
        Some((&tenure.mark, self.last_sign_at))
    }

    /// Returns whether a tenure is the last one, as far as the topic was read.
    pub fn is_latest_tenure(&self, mark: &TenureInfo) -> bool {
        let known = self.tenure.as_ref().map(|tenure| &tenure.mark);
        known.is_some_and(|known| known.fence == mark.fence)
    }

    /// Returns the offset up to which the topic was read.
    pub fn next_offset(&self) -> LogOffset {
        self.next
    }

    /// Returns the store's generation in which the topic was read.
    pub fn generation(&self) -> Option<StoreGeneration> {
        self.generation
    }

    /// Returns what was decided about windows.
    pub fn decisions(&self) -> &WindowDecisions {
        &self.decided
    }

    /// Returns whether an answer to a holder's news is a promise: not while a
    /// claim of this entry may still be appended.
    pub fn may_promise(&self) -> bool {
        self.open_claim.is_none() && self.held.is_none()
    }

    /// Notes that the store answered in a generation. In a new one all that was
    /// read has to be read again.
    pub fn note_generation(&mut self, now: Timestamp, generation: StoreGeneration) {
        if self.generation == Some(generation) {
            return;
        }
        if self.generation.is_some() {
            self.restart_reading(now);
        }
        // A holder of an earlier one may have renewed until now.
        self.last_sign_at = now;
        self.generation = Some(generation);
    }

    /// Notes that the topic is shorter than what was read of it.
    pub fn restart_reading(&mut self, now: Timestamp) {
        self.next = LogOffset(0);
        self.read_at = None;
        self.heard_end = LogOffset(0);
        self.last_sign_at = now;
        self.tenure = None;
        self.decided.note_store_lost();
    }

    /// Notes a record that was read.
    pub fn note_read(&mut self, now: Timestamp, offset: LogOffset, record: DutyRecord) {
        if offset < self.next {
            return;
        }
        if offset >= self.heard_end {
            self.last_sign_at = now;
        }
        self.note_record(now, offset, &record);
        self.keep_decision(record);
    }

    /// Notes that a record of this entry, sent at `sent_at` in the generation
    /// that is known, was appended in `generation`.
    pub fn note_appended(
        &mut self,
        now: Timestamp,
        sent_at: Timestamp,
        generation: StoreGeneration,
        offset: LogOffset,
        record: DutyRecord,
    ) {
        if self.generation != Some(generation) {
            // What came before it in this generation is not known.
            self.note_generation(now, generation);
            return;
        }
        if offset < self.next {
            return;
        }
        self.note_record(now, offset, &record);
        if let Some(held) = &mut self.held {
            held.confirmed_at = Some(sent_at);
            let successors = named_successors(&record).iter().cloned();
            held.successors = successors.collect();
        }
        self.keep_decision(record);
    }

    /// Notes that a record of this entry is sent and may be appended from now
    /// on, with an answer or without.
    pub fn note_sent(&mut self, record: &DutyRecord) {
        if let DutyRecord::Claim { .. } = record {
            let open = self.open_claim;
            self.open_claim = Some(OpenClaim {
                expected_end: self.next,
                is_unanswered: open.is_some_and(|open| open.is_unanswered),
            });
        }
        if let Some(held) = &mut self.held {
            held.successors
                .extend(named_successors(record).iter().cloned());
        }
    }

    /// Notes that a claim was certainly not appended.
    pub fn note_claim_rejected(&mut self) {
        self.open_claim.take_if(|open| !open.is_unanswered);
    }

    /// Notes that a claim may still be appended, since it got no answer.
    pub fn note_claim_unanswered(&mut self) {
        if let Some(open) = &mut self.open_claim {
            open.is_unanswered = true;
        }
    }

    /// Notes that the topic was read up to `end`.
    pub fn note_read_end(&mut self, now: Timestamp, end: LogOffset) {
        self.pass(end);
        self.read_at = Some(now);
        self.read_requested = false;
    }

    /// Notes that the records before `first` are not to be had. A claim may have
    /// been among them.
    pub fn skip_to(&mut self, now: Timestamp, first: LogOffset) {
        if first > self.next {
            self.last_sign_at = now;
            self.tenure = None;
            self.end_replaced(now);
        }
        self.pass(first);
    }

    fn pass(&mut self, end: LogOffset) {
        self.next = self.next.max(end);
        self.open_claim.take_if(|open| open.expected_end < end);
    }

    fn note_record(&mut self, now: Timestamp, offset: LogOffset, record: &DutyRecord) {
        self.pass(LogOffset(offset.0 + 1));
        if let DutyRecord::Claim { .. } = record {
            self.note_claim(now, offset, record);
            return;
        }
        let known = self.tenure.as_ref().map(|tenure| &tenure.mark);
        if let Some(mark) = record.tenure().filter(|mark| !is_outdated(mark, known)) {
            let is_released = matches!(record, DutyRecord::Release { .. });
            self.set_tenure(now, mark.clone(), is_released);
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
        let mark = TenureInfo {
            entry: entry.clone(),
            incarnation: *incarnation,
            fence,
            generation: *generation,
            successors: successors.clone(),
            held_ms: 0,
        };
        self.set_tenure(now, mark, false);
        let counted = self.generation.filter(|known| Some(*known) == *generation);
        if let Some(generation) = counted.filter(|_| *incarnation == self.own) {
            self.held = Some(HeldTenure {
                fence,
                generation,
                since: now,
                confirmed_at: None,
                successors: successors.iter().cloned().collect(),
                promises: BTreeMap::new(),
            });
        }
    }

    fn set_tenure(&mut self, now: Timestamp, mark: TenureInfo, is_released: bool) {
        let is_other = mark.incarnation != self.own;
        self.note_former_holder(now, &mark);
        // Records from before a return of the store end nothing. Those without a
        // generation come from entries of versions that knew of none.
        let is_present = mark.generation.is_none() || mark.generation == self.generation;
        if is_other && is_present {
            self.end_replaced(now);
        }
        self.tenure = Some(KnownTenure { mark, is_released });
    }

    /// Notes until when this entry may not claim, since it acted before the
    /// holder that it reads of.
    fn note_former_holder(&mut self, now: Timestamp, mark: &TenureInfo) {
        if mark.entry == self.name {
            self.acted_before = true;
            self.cooldown_until = Timestamp(0);
        } else if self.acted_before {
            let held = Duration::from_millis(mark.held_ms);
            self.cooldown_until = now.after(self.terms.cooldown.saturating_sub(held));
        }
    }

    fn end_replaced(&mut self, now: Timestamp) {
        if self.held.take().is_some() {
            self.ended = Some(TenureEnd::Replaced);
            self.no_claim_before = now.after(self.terms.cooldown);
        }
    }

    fn keep_decision(&mut self, record: DutyRecord) {
        if let DutyRecord::Usage { window, counts, .. } = record {
            self.decided.note_stored(window, counts);
        }
    }

    /// Notes that another entry told that it holds the lease with `fence`, and
    /// up to where its records go.
    pub fn note_holder_gossip(&mut self, now: Timestamp, fence: FenceToken, end: LogOffset) {
        self.last_sign_at = now;
        // Another generation gives the same offsets to other records.
        if self.generation == Some(fence.generation()) {
            self.heard_end = self.heard_end.max(end);
        }
    }

    /// Lets the topic be read soon: the holder tells its fence no more.
    pub fn request_read(&mut self) {
        self.read_requested = true;
    }

    /// Notes that another entry promised not to claim, in answer to a message
    /// with `fence` that was sent at `sent_at`. A right that has ended comes back
    /// by an append only: others may have claimed meanwhile.
    pub fn note_promise(
        &mut self,
        now: Timestamp,
        from: &EntryName,
        fence: FenceToken,
        sent_at: Timestamp,
    ) {
        if self.valid_lease(now).is_none() {
            return;
        }
        let Some(held) = self.held.as_mut().filter(|held| held.fence == fence) else {
            return;
        };
        let promised = held.promises.entry(from.clone()).or_insert(sent_at);
        *promised = sent_at.max(*promised);
    }

    /// Returns whether no entry can have claimed, here or in another generation.
    fn has_no_past(&self) -> bool {
        let is_first = self.generation == Some(StoreGeneration::default());
        self.first_start && is_first && self.next == LogOffset(0)
    }

    /// Returns how long this entry waits after a sign of a holder until it
    /// claims.
    fn claim_wait(&self, rank: usize) -> Duration {
        let long = self.terms.wait(self.terms.long_term);
        let step = self.terms.rank_step * rank as u32;
        let Some(tenure) = &self.tenure else {
            let first = self.terms.wait(self.terms.short_term) + step;
            return if self.has_no_past() { first } else { long };
        };
        let mark = &tenure.mark;
        let is_current = mark.generation.is_some() && mark.generation == self.generation;
        if !is_current {
            return long;
        }
        if mark.entry == self.name {
            // That life of this entry has ended.
            return Duration::ZERO;
        }
        let term = self.terms.wait(self.terms.short_term) + step;
        let is_successor = mark.successors.contains(&self.name);
        match (tenure.is_released, is_successor) {
            (true, true) => step,
            // Others leave it to the successors, who stay hubs for longer.
            (true, false) | (false, true) => term,
            (false, false) => long + step,
        }
    }

    /// Returns whether to read the topic: before the first claim, and while no
    /// sign of a holder comes from anywhere else.
    pub fn should_read(&self, now: Timestamp, rank: usize) -> bool {
        let Some(read_at) = self.read_at else {
            return true;
        };
        let wait = self.claim_wait(rank);
        let is_silent = now.since(self.last_sign_at) >= READ_AFTER.max(wait / 10);
        let is_rested = now.since(read_at) >= READ_PAUSE.max(wait / 5);
        self.read_requested || (is_silent && is_rested)
    }

    /// Returns whether to claim, if the topic has no record beyond what was
    /// read.
    pub fn may_claim(&self, now: Timestamp, rank: usize) -> bool {
        let is_over = now.since(self.last_sign_at) >= self.claim_wait(rank);
        let is_cooling_down = now < self.no_claim_before.max(self.cooldown_until);
        let is_eligible = self.held.is_none() && !is_cooling_down;
        self.read_at.is_some() && is_eligible && is_over
    }

    /// Returns whether this entry may claim again under the right that it has,
    /// in the store's new generation.
    pub fn may_reclaim(&self, now: Timestamp) -> bool {
        let free = self.tenure.as_ref().is_none_or(|tenure| {
            let mark = &tenure.mark;
            let is_earlier = mark.generation.is_some() && mark.generation != self.generation;
            mark.incarnation == self.own || is_earlier
        });
        self.read_at.is_some() && self.must_reclaim() && free && self.valid_lease(now).is_some()
    }

    /// Returns the record of a claim.
    pub fn claim_record(&self, successors: Vec<EntryName>) -> DutyRecord {
        DutyRecord::Claim {
            entry: self.name.clone(),
            incarnation: self.own,
            generation: self.generation,
            successors,
        }
    }

    /// Returns the tenure of this entry with other successors, while it holds
    /// the lease in the store's generation.
    pub fn own_tenure(&self, now: Timestamp, successors: Vec<EntryName>) -> Option<TenureInfo> {
        let held = self.held.as_ref()?;
        let mark = TenureInfo {
            entry: self.name.clone(),
            incarnation: self.own,
            fence: held.fence,
            generation: Some(held.generation),
            successors,
            held_ms: now.since(held.since).as_millis() as u64,
        };
        (!self.must_reclaim()).then_some(mark)
    }

    /// Gives the lease up: no further call is made under its fence.
    pub fn give_up(&mut self, now: Timestamp) {
        if self.held.take().is_some() {
            self.ended = Some(TenureEnd::GivenUp);
        }
        self.last_sign_at = now;
        self.no_claim_before = now.after(self.terms.cooldown);
    }

    /// Lets others come first: this entry does not claim for `pause`.
    pub fn stand_back(&mut self, now: Timestamp, pause: Duration) {
        self.no_claim_before = self.no_claim_before.max(now.after(pause));
    }
}

/// Returns whether a tenure ended before the known one began.
fn is_outdated(mark: &TenureInfo, known: Option<&TenureInfo>) -> bool {
    known.is_some_and(|known| mark.generation == known.generation && mark.fence < known.fence)
}

fn named_successors(record: &DutyRecord) -> &[EntryName] {
    match record {
        DutyRecord::Claim { successors, .. } => successors,
        other => other.tenure().map_or(&[], |mark| &mark.successors),
    }
}
