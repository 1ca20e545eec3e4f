//! Tests when an entry's lease is valid, and when another entry may claim it.

use std::time::Duration;

use cloverbend::gateway::duty_record::DutyRecord;
use cloverbend::gateway::lease_state::LeaseState;
use cloverbend::gateway::lease_state::TenureEnd;
use cloverbend::gateway::lease_timings::LeaseTimings;
use cloverbend::id::EntryName;
use cloverbend::id::FenceToken;
use cloverbend::id::Incarnation;
use cloverbend::id::LogOffset;
use cloverbend::id::StoreGeneration;
use cloverbend::quantity::Timestamp;
use rstest::rstest;

const TIMINGS: LeaseTimings = LeaseTimings {
    short_term: Duration::from_millis(2_000),
    long_term: Duration::from_millis(12_000),
    drift_percent: 5,
    rank_step: Duration::from_millis(200),
    cooldown: Duration::from_millis(4_000),
};
const FIRST_GENERATION: StoreGeneration = StoreGeneration(0);
const SECOND_GENERATION: StoreGeneration = StoreGeneration(1);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn name(number: u64) -> EntryName {
    format!("entry-{number}").parse().unwrap()
}

fn names(numbers: &[u64]) -> Vec<EntryName> {
    numbers.iter().map(|number| name(*number)).collect()
}

/// Returns the state of an entry that starts at 0 ms in a deployment that ran before.
fn entry(number: u64) -> LeaseState {
    LeaseState::new(at(0), name(number), Incarnation(number), TIMINGS, false)
}

/// Reads an empty topic to its end.
fn read_empty(lease: &mut LeaseState, now: Timestamp) {
    lease.note_generation(now, FIRST_GENERATION);
    lease.note_read_end(now, lease.next_offset());
}

/// Appends a claim. The store responds 10 ms after the claim was sent.
fn claim(lease: &mut LeaseState, sent_at: u64, successors: &[u64]) -> DutyRecord {
    let record = lease.claim_record(names(successors));
    append(lease, sent_at, record.clone());
    record
}

fn append(lease: &mut LeaseState, sent_at: u64, record: DutyRecord) {
    lease.note_sent(&record);
    let offset = lease.next_offset();
    lease.note_appended(
        at(sent_at + 10),
        at(sent_at),
        FIRST_GENERATION,
        offset,
        record,
    );
}

fn renew(lease: &mut LeaseState, sent_at: u64, successors: &[u64]) -> DutyRecord {
    let tenure = lease.own_tenure(at(sent_at), names(successors)).unwrap();
    let record = DutyRecord::Renewal { tenure };
    append(lease, sent_at, record.clone());
    record
}

/// Reads records that were appended from offset 0 on.
fn read(lease: &mut LeaseState, now: u64, records: &[DutyRecord]) {
    lease.note_generation(at(now), FIRST_GENERATION);
    for (offset, record) in records.iter().enumerate() {
        lease.note_read(at(now), LogOffset(offset as u64), record.clone());
    }
    lease.note_read_end(at(now), LogOffset(records.len() as u64));
}

/// Returns the first time from `from` on, in steps of 10 ms, at which an entry may
/// claim.
fn first_claim(lease: &LeaseState, rank: usize, from: u64) -> Option<u64> {
    let mut times = (0..3_000).map(|step| from + step * 10);
    times.find(|time| lease.may_claim(at(*time), rank))
}

#[test]
fn a_lease_expires_a_short_term_after_its_newest_record_was_sent() {
    let mut lease = entry(1);
    read_empty(&mut lease, at(0));
    claim(&mut lease, 100, &[2]);
    assert_eq!(lease.valid_lease(at(200)).unwrap().expires_at, at(2_100));
    renew(&mut lease, 600, &[2]);
    assert_eq!(lease.valid_lease(at(700)).unwrap().expires_at, at(2_600));
    assert_eq!(lease.valid_lease(at(2_600)), None);
    // No other entry claimed meanwhile, so a renewal makes the lease valid again.
    renew(&mut lease, 5_000, &[2]);
    assert_eq!(
        lease.valid_lease(at(6_999)).unwrap().fencing_token,
        FenceToken(0)
    );
}

#[test]
fn a_lease_whose_claim_got_no_response_is_valid_only_after_a_renewal() {
    let mut lease = entry(1);
    read_empty(&mut lease, at(0));
    let record = lease.claim_record(Vec::new());
    lease.note_sent(&record);
    lease.note_claim_unanswered();
    read(&mut lease, 700, &[record]);
    assert!(lease.is_holder());
    assert_eq!(lease.valid_lease(at(700)), None);
    renew(&mut lease, 800, &[]);
    assert!(lease.valid_lease(at(900)).is_some());
}

#[rstest]
#[case::a_successor(&[2], 2, 0, Some(4_100))]
#[case::the_next_successor(&[3, 2], 2, 1, Some(4_300))]
#[case::no_successor(&[3], 2, 0, Some(14_600))]
#[case::the_restarted_holder(&[3], 1, 0, Some(2_000))]
fn the_claim_delay_depends_on_the_place_among_the_successors(
    #[case] successors: &[u64],
    #[case] reader: u64,
    #[case] rank: usize,
    #[case] expected: Option<u64>,
) {
    let mut holder = entry(1);
    read_empty(&mut holder, at(0));
    let record = claim(&mut holder, 0, successors);
    let incarnation = Incarnation(99);
    let mut lease = LeaseState::new(at(0), name(reader), incarnation, TIMINGS, false);
    read(&mut lease, 2_000, &[record]);
    assert_eq!(first_claim(&lease, rank, 2_000), expected);
}

/// The last gossip of the holder arrives at 3,000 ms. The holder then appends a record
/// that it did not advertise.
#[test]
fn gossip_and_records_of_the_holder_delay_a_claim() {
    let mut holder = entry(1);
    read_empty(&mut holder, at(0));
    let first = claim(&mut holder, 0, &[2]);
    let second = renew(&mut holder, 500, &[2]);
    let mut lease = entry(2);
    read(&mut lease, 100, std::slice::from_ref(&first));
    assert_eq!(first_claim(&lease, 0, 0), Some(2_200));
    lease.note_holder_gossip(at(3_000), FenceToken(0), LogOffset(2));
    assert_eq!(first_claim(&lease, 0, 0), Some(5_100));
    // Records that the holder advertised do not delay the claim when they are read.
    read(&mut lease, 3_500, &[first.clone(), second.clone()]);
    assert_eq!(first_claim(&lease, 0, 0), Some(5_100));
    let third = renew(&mut holder, 3_100, &[2]);
    read(&mut lease, 3_600, &[first, second, third]);
    assert_eq!(first_claim(&lease, 0, 0), Some(5_700));
}

#[test]
fn a_successor_reads_soon_after_the_last_gossip_of_the_holder() {
    let mut holder = entry(1);
    read_empty(&mut holder, at(0));
    let record = claim(&mut holder, 0, &[2]);
    let mut lease = entry(2);
    assert!(lease.should_read(at(0), 0));
    read(&mut lease, 100, &[record]);
    lease.note_holder_gossip(at(1_000), FenceToken(0), LogOffset(1));
    assert!(!lease.should_read(at(1_390), 0));
    assert!(lease.should_read(at(1_400), 0));
    lease.note_holder_gossip(at(2_000), FenceToken(0), LogOffset(1));
    lease.request_read();
    assert!(lease.should_read(at(2_010), 0));
}

#[test]
fn promises_of_all_successors_keep_the_lease_valid_without_the_store() {
    let mut lease = entry(1);
    read_empty(&mut lease, at(0));
    claim(&mut lease, 0, &[2, 3]);
    let token = lease.valid_lease(at(1)).unwrap().fencing_token;
    lease.note_promise(at(1_600), &name(2), token, at(1_500));
    assert_eq!(lease.valid_lease(at(2_000)), None);
    lease.note_promise(at(1_700), &name(3), token, at(1_400));
    assert_eq!(lease.valid_lease(at(3_000)).unwrap().expires_at, at(3_400));
    // A response to an earlier message does not shorten the lease.
    lease.note_promise(at(1_800), &name(3), token, at(1_000));
    assert!(lease.valid_lease(at(3_399)).is_some());
    for time in (2_000..13_000).step_by(500) {
        for from in [2, 3] {
            lease.note_promise(at(time), &name(from), token, at(time - 100));
        }
    }
    assert_eq!(
        lease.valid_lease(at(11_999)).unwrap().expires_at,
        at(12_000)
    );
    assert_eq!(lease.valid_lease(at(12_000)), None);
}

#[test]
fn a_holder_with_promises_of_all_successors_renews_less_often() {
    let mut lease = entry(1);
    read_empty(&mut lease, at(0));
    claim(&mut lease, 0, &[2]);
    let token = lease.valid_lease(at(1)).unwrap().fencing_token;
    assert!(!lease.should_renew(at(440)));
    assert!(lease.should_renew(at(460)));
    for time in (250..2_600).step_by(250) {
        lease.note_promise(at(time), &name(2), token, at(time - 10));
        assert!(!lease.should_renew(at(time + 250)), "at {time}");
    }
    assert!(lease.should_renew(at(3_000)));
    renew(&mut lease, 3_000, &[2]);
    lease.note_promise(at(3_200), &name(2), token, at(3_190));
    assert!(!lease.should_renew(at(3_600)));
    assert!(lease.should_renew(at(3_700)));
}

/// Another entry may have claimed meanwhile, and may no longer know of its claim.
#[test]
fn a_late_promise_does_not_make_an_expired_lease_valid() {
    let mut lease = entry(1);
    read_empty(&mut lease, at(0));
    claim(&mut lease, 0, &[2]);
    let token = lease.valid_lease(at(1)).unwrap().fencing_token;
    lease.note_promise(at(2_000), &name(2), token, at(1_900));
    assert_eq!(lease.valid_lease(at(2_000)), None);
}

/// A later record that names successors shortens the lease, but not a call that has
/// begun.
#[test]
fn a_lease_is_never_valid_for_longer_than_a_short_term() {
    let mut lease = entry(1);
    read_empty(&mut lease, at(0));
    claim(&mut lease, 0, &[]);
    assert_eq!(lease.valid_lease(at(3_000)).unwrap().expires_at, at(5_000));
    renew(&mut lease, 3_500, &[2]);
    assert_eq!(lease.valid_lease(at(3_600)).unwrap().expires_at, at(5_500));
}

/// Another entry's claim may be among the records that were skipped.
#[test]
fn skipped_records_end_a_tenure() {
    let mut lease = entry(1);
    read_empty(&mut lease, at(0));
    claim(&mut lease, 0, &[2]);
    lease.skip_to(at(500), LogOffset(9));
    lease.note_read_end(at(500), LogOffset(9));
    assert_eq!(lease.valid_lease(at(500)), None);
    assert_eq!(first_claim(&lease, 0, 0), Some(13_100));
}

/// Offsets are assigned again in each generation.
#[test]
fn gossip_of_another_generation_advertises_no_record_of_this_one() {
    let mut lease = entry(2);
    lease.note_generation(at(0), SECOND_GENERATION);
    lease.note_read_end(at(0), LogOffset(0));
    lease.note_holder_gossip(
        at(100),
        FenceToken::of_claim(FIRST_GENERATION, LogOffset(50)),
        LogOffset(99),
    );
    let mut holder = entry(1);
    holder.note_generation(at(0), SECOND_GENERATION);
    lease.note_read(at(2_000), LogOffset(0), holder.claim_record(names(&[2])));
    lease.note_read_end(at(2_000), LogOffset(1));
    assert_eq!(first_claim(&lease, 0, 0), Some(4_100));
}

#[test]
fn promises_for_another_fencing_token_or_by_others_are_ignored() {
    let mut lease = entry(1);
    read_empty(&mut lease, at(0));
    claim(&mut lease, 0, &[2]);
    lease.note_promise(at(1_950), &name(2), FenceToken(77), at(1_900));
    let token = lease.valid_lease(at(1)).unwrap().fencing_token;
    lease.note_promise(at(1_950), &name(3), token, at(1_900));
    assert_eq!(lease.valid_lease(at(1_999)).unwrap().expires_at, at(2_000));
}

/// A renewal without a response may or may not be the newest record.
#[test]
fn successors_of_a_record_without_a_response_have_to_promise_too() {
    let mut lease = entry(1);
    read_empty(&mut lease, at(0));
    claim(&mut lease, 0, &[2]);
    let token = lease.valid_lease(at(1)).unwrap().fencing_token;
    let tenure = lease.own_tenure(at(100), names(&[3])).unwrap();
    lease.note_sent(&DutyRecord::Renewal { tenure });
    lease.note_claim_unanswered();
    lease.note_promise(at(1_500), &name(2), token, at(1_400));
    assert_eq!(lease.valid_lease(at(2_100)), None);
    lease.note_promise(at(1_500), &name(3), token, at(1_400));
    assert!(lease.valid_lease(at(2_100)).is_some());
}

#[test]
fn an_entry_promises_nothing_while_its_claim_may_be_appended() {
    let mut lease = entry(2);
    read_empty(&mut lease, at(0));
    assert!(lease.may_promise());
    let record = lease.claim_record(Vec::new());
    lease.note_sent(&record);
    assert!(!lease.may_promise());
    lease.note_claim_unanswered();
    // A later claim is refused, but the first one may still be appended.
    lease.note_sent(&record);
    lease.note_claim_rejected();
    assert!(!lease.may_promise());
    // Another record is at the offset that the claim expected.
    let mut other = entry(1);
    read_empty(&mut other, at(0));
    let theirs = claim(&mut other, 0, &[2]);
    read(&mut lease, 500, &[theirs]);
    assert!(lease.may_promise());
}

#[test]
fn a_released_lease_is_claimed_at_once_by_successors_and_not_by_its_former_holder() {
    let mut holder = entry(1);
    read_empty(&mut holder, at(0));
    let first = claim(&mut holder, 0, &[2]);
    let tenure = holder.own_tenure(at(500), names(&[2])).unwrap();
    holder.give_up(at(500));
    assert_eq!(holder.take_tenure_end(), Some(TenureEnd::GivenUp));
    let released = DutyRecord::Release { tenure };
    append(&mut holder, 510, released.clone());
    assert_eq!(first_claim(&holder, 0, 0), Some(4_500));
    let mut lease = entry(2);
    read(&mut lease, 600, &[first.clone(), released.clone()]);
    assert_eq!(first_claim(&lease, 0, 600), Some(600));
    assert_eq!(first_claim(&lease, 1, 600), Some(800));
    let mut other = entry(3);
    read(&mut other, 600, &[first, released]);
    assert_eq!(first_claim(&other, 0, 600), Some(2_700));
}

/// A former holder must not claim soon after another entry did. This also holds for a new
/// incarnation, which learns from the topic that it was the holder.
#[test]
fn a_former_holder_does_not_claim_soon_again() {
    let mut first = entry(1);
    read_empty(&mut first, at(0));
    let own = claim(&mut first, 0, &[2]);
    let mut second = entry(2);
    read(&mut second, 100, std::slice::from_ref(&own));
    let theirs = claim(&mut second, 2_300, &[1]);
    read(&mut first, 2_500, &[own.clone(), theirs.clone()]);
    assert_eq!(first.take_tenure_end(), Some(TenureEnd::Replaced));
    assert_eq!(first.valid_lease(at(2_500)), None);
    assert_eq!(first_claim(&first, 0, 0), Some(6_500));
    let mut again = LeaseState::new(at(0), name(1), Incarnation(11), TIMINGS, false);
    read(&mut again, 100, &[own.clone(), theirs.clone()]);
    assert_eq!(first_claim(&again, 0, 0), Some(4_100));
    // The longer the other entry has held the lease, the shorter the cooldown.
    let renewed = renew(&mut second, 5_310, &[1]);
    let mut late = LeaseState::new(at(0), name(1), Incarnation(12), TIMINGS, false);
    read(&mut late, 100, &[own, theirs, renewed]);
    assert_eq!(first_claim(&late, 0, 0), Some(2_200));
}

#[test]
fn without_records_the_first_claim_is_early_only_in_a_new_deployment() {
    let mut lease = entry(1);
    read_empty(&mut lease, at(100));
    assert_eq!(first_claim(&lease, 0, 0), Some(12_700));
    let mut lease = LeaseState::new(at(0), name(1), Incarnation(1), TIMINGS, true);
    read_empty(&mut lease, at(100));
    assert_eq!(first_claim(&lease, 0, 0), Some(2_200));
}

#[test]
fn fencing_tokens_rise_with_the_generation() {
    let early = FenceToken::of_claim(FIRST_GENERATION, LogOffset(1_000_000));
    let late = FenceToken::of_claim(SECOND_GENERATION, LogOffset(3));
    assert!(early < late);
}

#[test]
fn a_claim_in_another_generation_is_ignored() {
    let mut lease = entry(1);
    read_empty(&mut lease, at(0));
    let record = lease.claim_record(Vec::new());
    lease.note_sent(&record);
    let offset = lease.next_offset();
    lease.note_appended(at(20), at(10), SECOND_GENERATION, offset, record.clone());
    assert!(!lease.is_holder());
    // The topic has to be read again, and some entry may hold the lease.
    assert!(lease.should_read(at(30), 0));
    lease.note_read(at(40), offset, record);
    lease.note_read_end(at(40), LogOffset(1));
    assert!(!lease.is_holder());
    assert_eq!(first_claim(&lease, 0, 0), Some(12_640));
}

#[test]
fn successors_in_a_record_of_an_earlier_generation_wait_for_the_long_term() {
    let mut holder = entry(1);
    read_empty(&mut holder, at(0));
    let record = claim(&mut holder, 0, &[2]);
    let mut lease = entry(2);
    lease.note_generation(at(100), SECOND_GENERATION);
    lease.note_read(at(100), LogOffset(0), record);
    lease.note_read_end(at(100), LogOffset(1));
    assert_eq!(first_claim(&lease, 0, 0), Some(12_700));
}

/// The holder may claim again while its lease is valid. No other entry may claim before
/// the lease expires.
#[test]
fn the_holder_claims_again_in_a_new_generation() {
    let mut lease = entry(1);
    read_empty(&mut lease, at(0));
    let record = claim(&mut lease, 1_000, &[2]);
    let before = lease.valid_lease(at(1_100)).unwrap().fencing_token;
    lease.note_generation(at(1_500), SECOND_GENERATION);
    assert!(lease.must_reclaim());
    assert_eq!(lease.own_tenure(at(1_500), Vec::new()), None);
    assert!(!lease.may_reclaim(at(1_500)));
    lease.note_read(at(1_600), LogOffset(0), record);
    lease.note_read_end(at(1_600), LogOffset(1));
    assert!(lease.may_reclaim(at(1_600)));
    assert!(!lease.may_reclaim(at(3_000)));
    let again = lease.claim_record(names(&[2]));
    lease.note_sent(&again);
    lease.note_appended(at(1_710), at(1_700), SECOND_GENERATION, LogOffset(1), again);
    let valid = lease.valid_lease(at(1_710)).unwrap();
    assert!(valid.fencing_token > before);
    assert_eq!(valid.expires_at, at(3_700));
}

/// The next holder has to report the same counts that may have been reported already.
#[test]
fn decisions_are_kept_when_the_store_is_restored_and_are_stored_again() {
    let mut lease = entry(1);
    read_empty(&mut lease, at(0));
    claim(&mut lease, 0, &[]);
    let usage = |lease: &LeaseState| DutyRecord::Usage {
        window: 7,
        counts: [("depots".parse().unwrap(), 5)].into(),
        tenure: lease.own_tenure(at(100), Vec::new()),
    };
    let record = usage(&lease);
    append(&mut lease, 100, record.clone());
    assert!(lease.decisions().is_stored(7));
    lease.note_generation(at(200), SECOND_GENERATION);
    assert!(lease.decisions().counts(7).is_some());
    assert!(!lease.decisions().is_stored(7));
    lease.note_read(at(300), LogOffset(0), record);
    assert!(lease.decisions().is_stored(7));
}
