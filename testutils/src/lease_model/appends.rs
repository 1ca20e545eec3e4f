//! Claims, renewals and releases on their way to the store, and what is read
//! there.

use crate::lease_model::LeaseWorld;
use crate::lease_model::OpenAppend;
use crate::lease_model::entry_name;
use crate::lease_step::BrokenLease;
use crate::lease_step::EntryIndex;
use crate::lease_step::MessageSpeed;
use crate::lease_step::SuccessorChoice;
use cloverbend::gateway::duty_record::DutyRecord;
use cloverbend::gateway::duty_record::TenureInfo;
use cloverbend::id::EntryName;
use cloverbend::id::FenceToken;
use cloverbend::id::StoreGeneration;
use std::sync::Arc;

impl LeaseWorld {
    pub(super) fn successors(&self, index: EntryIndex, choice: SuccessorChoice) -> Vec<EntryName> {
        let count = self.entries.len();
        let others = (1..count).map(|step| entry_name((index + step) % count));
        match choice {
            SuccessorChoice::All => others.collect(),
            SuccessorChoice::Next => others.take(1).collect(),
            SuccessorChoice::Nobody => Vec::new(),
        }
    }

    pub(super) fn claim(
        &mut self,
        index: EntryIndex,
        choice: SuccessorChoice,
        speed: MessageSpeed,
    ) {
        let is_unread = self.breaks(BrokenLease::UnreadClaim);
        if !is_unread {
            self.read_to_end(index);
        }
        let successors = self.successors(index, choice);
        let Some(entry) = self.entries[index].as_ref() else {
            return;
        };
        if entry.lease.is_holder() || !self.may_claim(entry) {
            return;
        }
        let record = entry.lease.claim_record(successors);
        if let Some(entry) = self.entry_mut(index) {
            // The release has failed by now: one task makes both.
            entry.ended = None;
        }
        self.send(index, record, speed);
    }

    pub(super) fn reclaim(
        &mut self,
        index: EntryIndex,
        choice: SuccessorChoice,
        speed: MessageSpeed,
    ) {
        self.read_to_end(index);
        let successors = self.successors(index, choice);
        let Some(entry) = self.entries[index].as_ref() else {
            return;
        };
        if entry.lease.may_reclaim(entry.now) {
            let record = entry.lease.claim_record(successors);
            self.send(index, record, speed);
        }
    }

    pub(super) fn renew(
        &mut self,
        index: EntryIndex,
        choice: SuccessorChoice,
        speed: MessageSpeed,
    ) {
        let successors = self.successors(index, choice);
        let entry = self.entries[index].as_ref();
        let mark = entry.and_then(|entry| entry.lease.own_tenure(entry.now, successors));
        self.faults.renewals -= 1;
        if let Some(mark) = mark {
            // Nobody rests for turns here: that only keeps entries from claiming.
            let held_ms = u64::MAX;
            let tenure = TenureInfo { held_ms, ..mark };
            self.send(index, DutyRecord::Renewal { tenure }, speed);
        }
    }

    pub(super) fn give_up(&mut self, index: EntryIndex) {
        self.faults.give_ups = self.faults.give_ups.saturating_sub(1);
        let successors = self.successors(index, SuccessorChoice::All);
        if let Some(entry) = self.entry_mut(index) {
            entry.ended = entry.lease.own_tenure(entry.now, successors);
            entry.lease.give_up(entry.now);
        }
    }

    pub(super) fn release(&mut self, index: EntryIndex, speed: MessageSpeed) {
        // It is sent after the last call has ended.
        self.calls[index] = None;
        let is_late = self.breaks(BrokenLease::LateRelease);
        let Some(entry) = self.entry_mut(index) else {
            return;
        };
        let Some(tenure) = entry.ended.take() else {
            return;
        };
        if is_late || entry.lease.is_latest_tenure(&tenure) {
            self.send(index, DutyRecord::Release { tenure }, speed);
        }
    }

    pub(super) fn send(&mut self, index: EntryIndex, record: DutyRecord, speed: MessageSpeed) {
        let is_unread = self.breaks(BrokenLease::UnreadClaim);
        let Some(entry) = self.entry_mut(index) else {
            return;
        };
        entry.lease.note_sent(&record);
        let is_claim = matches!(record, DutyRecord::Claim { .. });
        let expected_end = entry.lease.next_offset();
        entry.open = Some(OpenAppend {
            record,
            sent_at: entry.now,
            expected_end: (!is_unread || !is_claim).then_some(expected_end),
            answer: None,
        });
        match speed {
            MessageSpeed::Slow => self.faults.slow_appends -= 1,
            MessageSpeed::Prompt => {
                self.arrive(index);
                self.answer(index);
            }
        }
    }

    pub(super) fn arrive(&mut self, index: EntryIndex) {
        let Some(entry) = self.entries[index].as_mut().map(Arc::make_mut) else {
            return;
        };
        if let Some(open) = &mut entry.open {
            let appended = self.store.append(open.record.clone(), open.expected_end);
            open.answer = Some(appended);
        }
    }

    pub(super) fn answer(&mut self, index: EntryIndex) {
        let from_answer = self.breaks(BrokenLease::RightFromAnswer);
        let foreign = self.breaks(BrokenLease::ForeignClaim);
        let Some(entry) = self.entry_mut(index) else {
            return;
        };
        let Some(open) = entry.open.take() else {
            return;
        };
        let is_claim = matches!(open.record, DutyRecord::Claim { .. });
        let sent_at = if from_answer { entry.now } else { open.sent_at };
        match open.answer {
            Some(Ok((offset, generation))) => {
                let counted = entry.lease.generation().filter(|_| foreign);
                let generation = counted.unwrap_or(generation);
                let lease = &mut entry.lease;
                lease.note_appended(entry.now, sent_at, generation, offset, open.record);
            }
            Some(Err(_)) => {
                entry.lease.note_claim_rejected();
                if !is_claim {
                    self.read_to_end(index);
                }
            }
            None => entry.lease.note_claim_unanswered(),
        }
    }

    pub(super) fn time_out(&mut self, index: EntryIndex) {
        let Some(entry) = self.entry_mut(index) else {
            return;
        };
        let Some(open) = entry.open.take() else {
            return;
        };
        entry.lease.note_claim_unanswered();
        self.note_late(open);
    }

    pub(super) fn read_to_end(&mut self, index: EntryIndex) {
        let broken = self.setup.broken;
        let store = self.store.clone();
        let Some(entry) = self.entry_mut(index) else {
            return;
        };
        let now = entry.now;
        let lease = &mut entry.lease;
        if lease.next_offset() > store.end() {
            lease.restart_reading(now);
        }
        lease.note_generation(now, store.generation());
        if lease.next_offset() < store.first() {
            match broken {
                BrokenLease::SilentSkip => lease.note_read_end(now, store.first()),
                _ => lease.skip_to(now, store.first()),
            }
        }
        for (offset, record) in store.records(lease.next_offset()) {
            let record = misread(broken, store.generation(), record.clone());
            lease.note_read(now, offset, record);
        }
        lease.note_read_end(now, store.end());
    }
}

/// Returns what an entry with a broken rule makes of a record.
fn misread(broken: BrokenLease, known: StoreGeneration, record: DutyRecord) -> DutyRecord {
    match (broken, record) {
        (
            BrokenLease::ForeignClaim,
            DutyRecord::Claim {
                entry,
                incarnation,
                successors,
                ..
            },
        ) => DutyRecord::Claim {
            entry,
            incarnation,
            generation: Some(known),
            successors,
        },
        (BrokenLease::LateRelease, DutyRecord::Release { tenure }) => {
            let fence = FenceToken(u64::MAX);
            let tenure = TenureInfo { fence, ..tenure };
            DutyRecord::Release { tenure }
        }
        (_, record) => record,
    }
}
