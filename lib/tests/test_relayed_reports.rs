//! What entries believe of limits does not depend on who tells it or when: the
//! notice holds that its server said last, and it holds for the life that said it.

use std::time::Duration;

use cloverbend::gateway::backend_record::BackendId;
use cloverbend::gateway::backend_record::BackendName;
use cloverbend::gateway::backend_record::StartTime;
use cloverbend::gateway::report_table::RelayedReport;
use cloverbend::gateway::report_table::ReportTable;
use cloverbend::gateway::server_report::LimitReport;
use cloverbend::gateway::server_report::NoticeChange;
use cloverbend::gateway::server_report::ServerReport;
use cloverbend::quantity::RequestRate;
use cloverbend::quantity::Timestamp;
use proptest::prelude::*;

fn life(start: u64) -> BackendId {
    BackendId {
        name: BackendName("a".to_owned()),
        start: StartTime(start),
    }
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn notice(limit: LimitReport) -> ServerReport {
    ServerReport {
        limit,
        ..ServerReport::default()
    }
}

fn limited(rate: f64) -> ServerReport {
    notice(LimitReport::Limited(RequestRate(rate)))
}

fn unlimited() -> ServerReport {
    ServerReport::default()
}

fn told(start: u64, limit: Option<f64>, age_ms: u64) -> RelayedReport {
    RelayedReport {
        id: life(start),
        limit: limit.map(RequestRate),
        draining: false,
        age: Duration::from_millis(age_ms),
    }
}

#[test]
fn an_old_word_that_comes_late_changes_nothing() {
    let mut book = ReportTable::new();
    book.apply_direct(at(1_000), &life(1), &limited(2.0));
    book.apply_direct(at(2_000), &life(1), &unlimited());
    // Said at 1.5 s.
    assert!(!book.take_over(at(4_000), &told(1, Some(2.0), 2_500)));
    assert_eq!(book.limit(&life(1)), None);
    // Said at 2.5 s.
    assert!(book.take_over(at(4_000), &told(1, Some(3.0), 1_500)));
    assert_eq!(book.limit(&life(1)), Some(RequestRate(3.0)));
}

#[test]
fn a_limit_that_cannot_be_read_changes_nothing() {
    let mut book = ReportTable::new();
    book.apply_direct(at(1_000), &life(1), &limited(2.0));
    let change = book.apply_direct(at(2_000), &life(1), &notice(LimitReport::Unreadable));
    assert_eq!(change, vec![]);
    assert_eq!(book.limit(&life(1)), Some(RequestRate(2.0)));
}

#[test]
fn a_later_life_has_said_nothing_and_the_earlier_one_says_no_more() {
    let mut book = ReportTable::new();
    book.apply_direct(at(1_000), &life(1), &limited(2.0));
    assert_eq!(book.limit(&life(2)), None);
    book.apply_direct(at(2_000), &life(2), &limited(5.0));
    assert!(!book.take_over(at(3_000), &told(1, Some(2.0), 0)));
    let change = book.apply_direct(at(3_000), &life(1), &limited(2.0));
    assert_eq!(change, vec![]);
    assert_eq!(book.limit(&life(2)), Some(RequestRate(5.0)));
    assert_eq!(book.limit(&life(1)), None);
}

#[test]
fn what_was_heard_itself_is_told_for_a_second_and_all_of_it_to_who_asks() {
    let mut book = ReportTable::new();
    book.apply_direct(at(1_000), &life(1), &limited(2.0));
    assert_eq!(
        book.direct_reports(at(1_500)),
        vec![told(1, Some(2.0), 500)]
    );
    assert_eq!(book.direct_reports(at(2_500)), vec![]);
    assert_eq!(
        book.all_notices(at(61_000)),
        vec![told(1, Some(2.0), 60_000)]
    );
}

#[test]
fn books_with_the_same_limits_have_the_same_digest() {
    let listed = |_: &BackendId| true;
    let mut own = ReportTable::new();
    let mut other = ReportTable::new();
    assert_eq!(own.digest(listed), 0);
    own.apply_direct(at(1_000), &life(1), &limited(2.0));
    assert_ne!(own.digest(listed), other.digest(listed));
    other.take_over(at(9_000), &told(1, Some(2.0), 3_000));
    assert_eq!(own.digest(listed), other.digest(listed));
    // Servers that one of them does not list make no difference.
    assert_eq!(own.digest(|_| false), 0);
    own.apply_direct(at(2_000), &life(1), &unlimited());
    assert_eq!(own.digest(listed), 0);
}

#[test]
fn words_of_servers_that_are_gone_are_forgotten() {
    let mut book = ReportTable::new();
    book.apply_direct(at(1_000), &life(1), &limited(2.0));
    book.sweep(at(30_000), |_| true);
    book.sweep(at(80_000), |_| false);
    assert_eq!(book.all_notices(at(80_000)).len(), 1);
    book.sweep(at(95_000), |_| false);
    assert_eq!(book.all_notices(at(95_000)).len(), 0);
}

#[test]
fn a_change_is_told_once() {
    let mut book = ReportTable::new();
    let first = book.apply_direct(at(1_000), &life(1), &limited(2.0));
    assert_eq!(first, vec![NoticeChange::Limited(RequestRate(2.0))]);
    assert_eq!(
        book.apply_direct(at(1_100), &life(1), &limited(2.0)),
        vec![]
    );
    let over = book.apply_direct(at(1_200), &life(1), &unlimited());
    assert_eq!(over, vec![NoticeChange::LimitOver]);
    assert_eq!(book.apply_direct(at(1_300), &life(1), &unlimited()), vec![]);
}

#[test]
fn a_server_that_leaves_goes_on_leaving_whoever_says_otherwise() {
    let mut book = ReportTable::new();
    let leaving = ServerReport {
        draining: true,
        ..ServerReport::default()
    };
    let change = book.apply_direct(at(1_000), &life(1), &leaving);
    assert_eq!(change, vec![NoticeChange::Leaving]);
    book.apply_direct(at(2_000), &life(1), &unlimited());
    book.take_over(at(3_000), &told(1, None, 0));
    assert!(book.all_notices(at(3_000))[0].draining);
    // An old notice that says so is believed too.
    let mut other = ReportTable::new();
    other.apply_direct(at(2_500), &life(1), &limited(2.0));
    let late = RelayedReport {
        draining: true,
        ..told(1, None, 2_000)
    };
    assert!(other.take_over(at(3_000), &late));
    assert!(other.all_notices(at(3_000))[0].draining);
    assert_eq!(other.limit(&life(1)), Some(RequestRate(2.0)));
}

proptest! {
    /// Whatever order notices come in, and however often, the last one holds.
    #[test]
    fn any_order_of_words_ends_with_the_newest(
        said in prop::collection::vec((0_u64..5_000, 0_u64..4), 1..12),
        order in prop::collection::vec(any::<prop::sample::Index>(), 1..40),
    ) {
        // One notice of a server at a time.
        let mut said = said;
        said.sort();
        said.dedup_by_key(|(at, _)| *at);
        let now = 6_000;
        let tell = |(said_at, rate): (u64, u64)| {
            let limit = (rate > 0).then_some(rate as f64);
            told(1, limit, now - said_at)
        };
        let mut book = ReportTable::new();
        let all = order.iter().map(|index| *index.get(&said)).chain(said.iter().rev().copied());
        for one in all {
            book.take_over(at(now), &tell(one));
        }
        let newest = said.last().copied().unwrap();
        prop_assert_eq!(book.limit(&life(1)), tell(newest).limit.filter(|_| newest.0 > 0));
    }
}
