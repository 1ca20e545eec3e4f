//! Tests which entries read the store, and how often.

use std::time::Duration;

use cloverbend::gateway::peer_table::HUB_COUNT;
use cloverbend::gateway::read_schedule::ReadSchedule;
use cloverbend::gateway::read_schedule::ReaderState;
use rstest::rstest;

const BOUND: Duration = Duration::from_millis(2_000);

fn state(rank: usize, age_ms: Option<u64>) -> ReaderState {
    ReaderState {
        rank,
        entries: 1_000,
        max_readers: usize::MAX,
        holds_lease: false,
        view_age: age_ms.map(Duration::from_millis),
        first_start: false,
        has_entry_list: true,
        uptime: Duration::from_secs(20),
    }
}

/// The first hub always reads; each further hub reads when those before it seem to
/// have failed.
#[rstest]
#[case::first_hub(0, 0, true)]
#[case::second_hub_waits_for_the_first(1, 1_050, false)]
#[case::second_hub(1, 1_100, true)]
#[case::third_hub_waits_for_the_second(2, 1_250, false)]
#[case::third_hub(2, 1_300, true)]
#[case::no_hub_waits_longest(3, 1_450, false)]
#[case::no_hub(3, 1_500, true)]
#[case::the_last_of_hundreds(290, 1_500, true)]
fn hubs_read_one_after_the_other(#[case] rank: usize, #[case] age: u64, #[case] reads: bool) {
    let schedule = ReadSchedule::with_bound(BOUND);
    assert_eq!(state(rank, Some(age)).should_read_store(schedule), reads);
}

/// If the list is long, only some entries read it at once and the others wait.
#[rstest]
#[case::a_hub(2, 1_300, true)]
#[case::first_turn(16, 1_500, true)]
#[case::second_turn_waits(17, 2_900, false)]
#[case::second_turn(17, 3_000, true)]
#[case::the_last_of_hundreds_waits(301, 20_000, false)]
#[case::the_last_of_hundreds(301, 27_000, true)]
fn entries_take_turns_to_read_a_long_list(
    #[case] rank: usize,
    #[case] age: u64,
    #[case] reads: bool,
) {
    let schedule = ReadSchedule::with_bound(BOUND);
    let taking_turns = ReaderState {
        max_readers: schedule.max_readers(80.0, 3_000),
        ..state(rank, Some(age))
    };
    assert_eq!(taking_turns.should_read_store(schedule), reads);
}

/// In a deployment of up to a hundred entries, all of them may read at once, as long as
/// each read takes little of the store's bandwidth.
#[rstest]
#[case::small(80.0, 22, 2_346)]
#[case::a_hundred(80.0, 112, 460)]
#[case::a_thousand(80.0, 1_000, 51)]
#[case::three_thousand(80.0, 3_000, 17)]
#[case::a_slow_store(1.0, 3_000, 3)]
#[case::nothing_is_listed_yet(80.0, 0, 51_612)]
fn a_longer_list_allows_fewer_readers(
    #[case] read_mb_s: f64,
    #[case] servers: usize,
    #[case] readers: usize,
) {
    let schedule = ReadSchedule::with_bound(BOUND);
    assert_eq!(schedule.max_readers(read_mb_s, servers), readers);
}

/// The holder gives the lease up when the store has not responded to it for 1.5 seconds,
/// so it must not wait for its turn among the hubs.
#[test]
fn the_holder_of_the_lease_always_reads() {
    let schedule = ReadSchedule::with_bound(BOUND * 2);
    let holder = ReaderState {
        holds_lease: true,
        ..state(2, Some(100))
    };
    assert!(holder.should_read_store(schedule));
}

/// Hundreds of entries may restart at once. Then hubs read the store, and the others get
/// a copy from a hub unless none has one to send.
#[rstest]
#[case::the_entry_list_is_not_read_yet(0, 1, false, 2_990, false)]
#[case::the_entry_list_cannot_be_read(0, 1, false, 3_000, true)]
#[case::a_hub(2, 986, true, 0, true)]
#[case::an_entry_of_a_small_deployment(8, 9, true, 0, true)]
#[case::the_last_of_a_small_deployment(127, 128, true, 0, true)]
#[case::no_hub_waits(3, 129, true, 2_990, false)]
#[case::first_turn(63, 986, true, 3_000, true)]
#[case::second_turn_waits(64, 986, true, 3_990, false)]
#[case::second_turn(64, 986, true, 4_000, true)]
#[case::the_last_of_a_thousand_waits(985, 986, true, 17_900, false)]
fn restarted_entries_without_a_copy_wait_for_a_hub(
    #[case] rank: usize,
    #[case] entries: usize,
    #[case] has_entry_list: bool,
    #[case] uptime_ms: u64,
    #[case] reads: bool,
) {
    let schedule = ReadSchedule::with_bound(BOUND);
    let restarted = ReaderState {
        entries,
        has_entry_list,
        uptime: Duration::from_millis(uptime_ms),
        ..state(rank, None)
    };
    assert_eq!(restarted.should_read_store(schedule), reads);
}

/// When a deployment starts for the first time, entries wait for data from a hub. An
/// entry that receives none reads the store before callers come.
#[rstest]
#[case::the_list_is_not_read_yet(0, false, 20, false)]
#[case::a_hub(2, true, 20, true)]
#[case::no_hub(3, true, 2_900, false)]
#[case::no_hub_and_no_data(3, true, 3_000, true)]
#[case::the_list_cannot_be_read(0, false, 3_000, true)]
fn entries_that_start_together_wait_for_a_hub(
    #[case] rank: usize,
    #[case] has_entry_list: bool,
    #[case] uptime_ms: u64,
    #[case] reads: bool,
) {
    let schedule = ReadSchedule::with_bound(BOUND);
    let starting = ReaderState {
        first_start: true,
        has_entry_list,
        uptime: Duration::from_millis(uptime_ms),
        ..state(rank, None)
    };
    assert_eq!(starting.should_read_store(schedule), reads);
}

/// The time that the last entries have left for a read is at least as long as the
/// store may delay its response, so that a lost read can be retried.
#[test]
fn a_quarter_of_the_bound_is_left_for_the_last_reads() {
    let schedule = ReadSchedule::with_bound(BOUND);
    let left = BOUND - schedule.direct_read_age(HUB_COUNT, usize::MAX);
    assert!(left >= BOUND / 4);
    assert!(left >= schedule.poll_timeout());
    assert!(
        schedule.poll_interval() + Duration::from_millis(500)
            <= schedule.direct_read_age(1, usize::MAX)
    );
}
