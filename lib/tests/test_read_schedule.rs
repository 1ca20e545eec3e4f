//! Which entries read the store, and how often.

use std::time::Duration;

use cloverbend::gateway::peer_table::HUB_COUNT;
use cloverbend::gateway::read_schedule::ReadSchedule;
use cloverbend::gateway::read_schedule::ReaderState;
use rstest::rstest;

const BOUND: Duration = Duration::from_millis(2_000);

fn state(rank: usize, age_ms: Option<u64>) -> ReaderState {
    ReaderState {
        rank,
        max_readers: usize::MAX,
        holds_lease: false,
        view_age: age_ms.map(Duration::from_millis),
        first_start: false,
        has_entry_list: true,
        uptime: Duration::from_secs(20),
    }
}

/// The first hub reads always; each next one once the ones before seem to fail.
#[rstest]
#[case::first_hub(0, 0, true)]
#[case::second_hub_trusts_the_first(1, 1_050, false)]
#[case::second_hub_takes_its_place(1, 1_100, true)]
#[case::third_hub_waits_for_the_second(2, 1_250, false)]
#[case::third_hub(2, 1_300, true)]
#[case::others_wait_longest(3, 1_450, false)]
#[case::others(3, 1_500, true)]
#[case::the_last_of_hundreds(290, 1_500, true)]
fn entries_read_one_after_the_other(#[case] rank: usize, #[case] age: u64, #[case] reads: bool) {
    let rhythm = ReadSchedule::with_bound(BOUND);
    assert_eq!(state(rank, Some(age)).should_read_store(rhythm), reads);
}

/// Where a read takes long, those after the first ones wait their turn.
#[rstest]
#[case::a_hub(2, 1_300, true)]
#[case::first_turn(16, 1_500, true)]
#[case::second_turn_waits(17, 2_900, false)]
#[case::second_turn(17, 3_000, true)]
#[case::the_last_of_hundreds_waits(301, 20_000, false)]
#[case::the_last_of_hundreds(301, 27_000, true)]
fn entries_take_turns_at_a_long_list(#[case] rank: usize, #[case] age: u64, #[case] reads: bool) {
    let rhythm = ReadSchedule::with_bound(BOUND);
    let taking_turns = ReaderState {
        max_readers: rhythm.max_readers(80.0, 3_000),
        ..state(rank, Some(age))
    };
    assert_eq!(taking_turns.should_read_store(rhythm), reads);
}

/// Deployments of up to a hundred entries read all at once, as long as a read
/// takes little of what the store gives.
#[rstest]
#[case::small(80.0, 22, 2_346)]
#[case::shifted(80.0, 112, 460)]
#[case::a_thousand(80.0, 1_000, 51)]
#[case::three_thousand(80.0, 3_000, 17)]
#[case::a_weak_store(1.0, 3_000, 3)]
#[case::nothing_is_listed_yet(80.0, 0, 51_612)]
fn how_many_read_at_once_follows_from_the_list(
    #[case] read_mb_s: f64,
    #[case] servers: usize,
    #[case] readers: usize,
) {
    let rhythm = ReadSchedule::with_bound(BOUND);
    assert_eq!(rhythm.max_readers(read_mb_s, servers), readers);
}

/// The holder gives the lease up when the store is silent for two seconds, so it
/// must not wait for its turn among the hubs.
#[test]
fn the_holder_of_the_lease_always_reads() {
    let rhythm = ReadSchedule::with_bound(BOUND * 2);
    let holder = ReaderState {
        holds_lease: true,
        ..state(2, Some(100))
    };
    assert!(holder.should_read_store(rhythm));
}

#[test]
fn an_entry_that_starts_again_reads_at_once() {
    let rhythm = ReadSchedule::with_bound(BOUND);
    let restarted = ReaderState {
        uptime: Duration::ZERO,
        has_entry_list: false,
        ..state(0, None)
    };
    assert!(restarted.should_read_store(rhythm));
}

/// At the first start of all, entries hear from hubs; whoever hears nothing
/// reads before callers come.
#[rstest]
#[case::nobody_is_known_yet(0, false, 20, false)]
#[case::a_hub(2, true, 20, true)]
#[case::no_hub(3, true, 2_900, false)]
#[case::no_hub_and_no_word(3, true, 3_000, true)]
#[case::the_list_cannot_be_read(0, false, 3_000, true)]
fn entries_that_start_together_wait_for_a_hub(
    #[case] rank: usize,
    #[case] has_entry_list: bool,
    #[case] uptime_ms: u64,
    #[case] reads: bool,
) {
    let rhythm = ReadSchedule::with_bound(BOUND);
    let starting = ReaderState {
        first_start: true,
        has_entry_list,
        uptime: Duration::from_millis(uptime_ms),
        ..state(rank, None)
    };
    assert_eq!(starting.should_read_store(rhythm), reads);
}

/// What is left of a bound once the last entries read for themselves: as much
/// as a read that waits, so that one that is lost can be repeated.
#[test]
fn a_quarter_of_the_bound_is_left_for_own_reads() {
    let rhythm = ReadSchedule::with_bound(BOUND);
    let left = BOUND - rhythm.own_read_age(HUB_COUNT, usize::MAX);
    assert!(left >= BOUND / 4);
    assert!(left >= rhythm.wait());
    assert!(
        rhythm.poll_interval() + Duration::from_millis(500) <= rhythm.own_read_age(1, usize::MAX)
    );
}
