//! What entries know of servers' limits does not depend on who relays the
//! reports or when: the last report of a server counts, and only for the
//! incarnation that sent it.

use std::time::Duration;

use cloverbend::gateway::backend_record::BackendId;
use cloverbend::gateway::backend_record::BackendName;
use cloverbend::gateway::backend_record::StartTime;
use cloverbend::gateway::report_table::RelayedReport;
use cloverbend::gateway::report_table::ReportTable;
use cloverbend::gateway::server_report::LimitReport;
use cloverbend::gateway::server_report::ReportChange;
use cloverbend::gateway::server_report::ServerReport;
use cloverbend::quantity::RequestRate;
use cloverbend::quantity::Timestamp;
use proptest::prelude::*;

fn incarnation(start: u64) -> BackendId {
    BackendId {
        name: BackendName("a".to_owned()),
        start: StartTime(start),
    }
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn report(limit: LimitReport) -> ServerReport {
    ServerReport {
        limit,
        ..ServerReport::default()
    }
}

fn limited(rate: f64) -> ServerReport {
    report(LimitReport::Limited(RequestRate(rate)))
}

fn unlimited() -> ServerReport {
    ServerReport::default()
}

fn relayed(start: u64, limit: Option<f64>, age_ms: u64) -> RelayedReport {
    RelayedReport {
        id: incarnation(start),
        limit: limit.map(RequestRate),
        draining: false,
        age: Duration::from_millis(age_ms),
        uncertainty: Duration::ZERO,
    }
}

#[test]
fn an_outdated_report_changes_nothing() {
    let mut table = ReportTable::new();
    table.apply_direct(at(1_000), at(1_000), &incarnation(1), &limited(2.0));
    table.apply_direct(at(2_000), at(2_000), &incarnation(1), &unlimited());
    // Reported at 1.5 s.
    assert!(!table.apply_relayed(at(4_000), Some(at(4_000)), &relayed(1, Some(2.0), 2_500)));
    assert_eq!(table.limit(&incarnation(1)), None);
    // Reported at 2.5 s.
    assert!(table.apply_relayed(at(4_000), Some(at(4_000)), &relayed(1, Some(3.0), 1_500)));
    assert_eq!(table.limit(&incarnation(1)), Some(RequestRate(3.0)));
}

/// The request was sent before the server named its limit, so the response may have been
/// written before, too.
#[test]
fn a_response_that_may_be_older_than_a_limit_does_not_lift_it() {
    let mut table = ReportTable::new();
    table.apply_direct(at(2_000), at(1_900), &incarnation(1), &limited(2.0));
    let change = table.apply_direct(at(3_000), at(1_500), &incarnation(1), &unlimited());
    assert_eq!(change, vec![]);
    let change = table.apply_direct(at(3_100), at(1_600), &incarnation(1), &limited(4.0));
    assert_eq!(change, vec![]);
    let change = table.apply_direct(at(3_200), at(1_700), &incarnation(1), &limited(1.0));
    assert_eq!(change, vec![ReportChange::Limited(RequestRate(1.0))]);
    let change = table.apply_direct(at(3_500), at(3_300), &incarnation(1), &unlimited());
    assert_eq!(change, vec![ReportChange::LimitLifted]);
}

/// The message may have waited in the socket of an entry that was suspended.
#[test]
fn a_relayed_report_of_unknown_age_does_not_lift_a_limit() {
    let mut table = ReportTable::new();
    table.apply_direct(at(2_000), at(1_900), &incarnation(1), &limited(2.0));
    assert!(!table.apply_relayed(at(5_000), None, &relayed(1, None, 100)));
    assert!(!table.apply_relayed(at(5_000), Some(at(2_050)), &relayed(1, None, 100)));
    let uncertain = RelayedReport {
        uncertainty: Duration::from_millis(400),
        ..relayed(1, None, 100)
    };
    assert!(!table.apply_relayed(at(5_000), Some(at(2_450)), &uncertain));
    assert!(table.apply_relayed(at(5_000), Some(at(2_550)), &uncertain));
    assert_eq!(table.limit(&incarnation(1)), None);
}

/// An age in a damaged frame may exceed any clock.
#[test]
fn a_report_of_an_absurd_age_does_not_lift_a_limit() {
    let mut table = ReportTable::new();
    table.apply_direct(at(2_000), at(1_900), &incarnation(1), &limited(2.0));
    // In microseconds, these times are 0 and a little more in 64 bits.
    for millis in [u64::MAX, 1 << 61, (1 << 61) + 1] {
        let absurd = RelayedReport {
            uncertainty: Duration::from_millis(millis),
            ..relayed(1, None, millis)
        };
        assert!(!table.apply_relayed(at(5_000), Some(at(4_900)), &absurd));
    }
    assert_eq!(table.limit(&incarnation(1)), Some(RequestRate(2.0)));
}

#[test]
fn an_unreadable_limit_changes_nothing() {
    let mut table = ReportTable::new();
    table.apply_direct(at(1_000), at(1_000), &incarnation(1), &limited(2.0));
    let change = table.apply_direct(
        at(2_000),
        at(2_000),
        &incarnation(1),
        &report(LimitReport::Unreadable),
    );
    assert_eq!(change, vec![]);
    assert_eq!(table.limit(&incarnation(1)), Some(RequestRate(2.0)));
}

#[test]
fn a_new_incarnation_has_no_reports_and_ends_those_of_the_earlier_one() {
    let mut table = ReportTable::new();
    table.apply_direct(at(1_000), at(1_000), &incarnation(1), &limited(2.0));
    assert_eq!(table.limit(&incarnation(2)), None);
    table.apply_direct(at(2_000), at(2_000), &incarnation(2), &limited(5.0));
    assert!(!table.apply_relayed(at(3_000), Some(at(3_000)), &relayed(1, Some(2.0), 0)));
    let change = table.apply_direct(at(3_000), at(3_000), &incarnation(1), &limited(2.0));
    assert_eq!(change, vec![]);
    assert_eq!(table.limit(&incarnation(2)), Some(RequestRate(5.0)));
    assert_eq!(table.limit(&incarnation(1)), None);
}

#[test]
fn direct_reports_are_repeated_for_a_second_and_all_reports_stay_available() {
    let mut table = ReportTable::new();
    table.apply_direct(at(1_000), at(1_000), &incarnation(1), &limited(2.0));
    assert_eq!(
        table.direct_reports(at(1_500)),
        vec![relayed(1, Some(2.0), 500)]
    );
    assert_eq!(table.direct_reports(at(2_500)), vec![]);
    assert_eq!(
        table.all_reports(at(61_000)),
        vec![relayed(1, Some(2.0), 60_000)]
    );
}

#[test]
fn tables_with_the_same_limits_have_the_same_digest() {
    let listed = |_: &BackendId| true;
    let mut own = ReportTable::new();
    let mut other = ReportTable::new();
    assert_eq!(own.digest(listed), 0);
    own.apply_direct(at(1_000), at(1_000), &incarnation(1), &limited(2.0));
    assert_ne!(own.digest(listed), other.digest(listed));
    other.apply_relayed(at(9_000), Some(at(9_000)), &relayed(1, Some(2.0), 3_000));
    assert_eq!(own.digest(listed), other.digest(listed));
    // Servers that only one of them lists make no difference.
    assert_eq!(own.digest(|_| false), 0);
    own.apply_direct(at(2_000), at(2_000), &incarnation(1), &unlimited());
    assert_eq!(own.digest(listed), 0);
}

#[test]
fn reports_of_servers_that_are_gone_are_removed() {
    let mut table = ReportTable::new();
    table.apply_direct(at(1_000), at(1_000), &incarnation(1), &limited(2.0));
    table.sweep(at(30_000), |_| true);
    table.sweep(at(80_000), |_| false);
    assert_eq!(table.all_reports(at(80_000)).len(), 1);
    table.sweep(at(95_000), |_| false);
    assert_eq!(table.all_reports(at(95_000)).len(), 0);
}

#[test]
fn a_change_is_returned_once() {
    let mut table = ReportTable::new();
    let first = table.apply_direct(at(1_000), at(1_000), &incarnation(1), &limited(2.0));
    assert_eq!(first, vec![ReportChange::Limited(RequestRate(2.0))]);
    assert_eq!(
        table.apply_direct(at(1_100), at(1_100), &incarnation(1), &limited(2.0)),
        vec![]
    );
    let lifted = table.apply_direct(at(1_200), at(1_200), &incarnation(1), &unlimited());
    assert_eq!(lifted, vec![ReportChange::LimitLifted]);
    assert_eq!(
        table.apply_direct(at(1_300), at(1_300), &incarnation(1), &unlimited()),
        vec![]
    );
}

#[test]
fn a_draining_server_stays_draining_whatever_is_reported_later() {
    let mut table = ReportTable::new();
    let draining = ServerReport {
        draining: true,
        ..ServerReport::default()
    };
    let change = table.apply_direct(at(1_000), at(1_000), &incarnation(1), &draining);
    assert_eq!(change, vec![ReportChange::Draining]);
    table.apply_direct(at(2_000), at(2_000), &incarnation(1), &unlimited());
    table.apply_relayed(at(3_000), Some(at(3_000)), &relayed(1, None, 0));
    assert!(table.all_reports(at(3_000))[0].draining);
    // An older report that a server drains counts too.
    let mut other = ReportTable::new();
    other.apply_direct(at(2_500), at(2_500), &incarnation(1), &limited(2.0));
    let outdated = RelayedReport {
        draining: true,
        ..relayed(1, None, 2_000)
    };
    assert!(other.apply_relayed(at(3_000), Some(at(3_000)), &outdated));
    assert!(other.all_reports(at(3_000))[0].draining);
    assert_eq!(other.limit(&incarnation(1)), Some(RequestRate(2.0)));
}

proptest! {
    /// Whatever order reports arrive in, and however often, the last one
    /// counts.
    #[test]
    fn any_order_of_reports_ends_with_the_newest(
        reports in prop::collection::vec((0_u64..5_000, 0_u64..4), 1..12),
        order in prop::collection::vec(any::<prop::sample::Index>(), 1..40),
    ) {
        // A server sends one report at a time.
        let mut reports = reports;
        reports.sort();
        reports.dedup_by_key(|(at, _)| *at);
        let now = 6_000;
        let relayed_report = |(reported_at, rate): (u64, u64)| {
            let limit = (rate > 0).then_some(rate as f64);
            relayed(1, limit, now - reported_at)
        };
        let mut table = ReportTable::new();
        let all = order.iter().map(|index| *index.get(&reports)).chain(reports.iter().rev().copied());
        for report in all {
            table.apply_relayed(at(now), Some(at(now)), &relayed_report(report));
        }
        let newest = reports.last().copied().unwrap();
        prop_assert_eq!(table.limit(&incarnation(1)), relayed_report(newest).limit.filter(|_| newest.0 > 0));
    }
}
