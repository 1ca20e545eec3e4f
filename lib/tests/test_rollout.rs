//! The load pattern of a roll-out: hundreds of entries, a version that may be bad, and
//! other trouble meanwhile. The pure decisions are replayed in virtual time.

use std::time::Duration;

use cloverbend::gateway::backend_record::BackendId;
use cloverbend::gateway::gateway_settings::GatewaySettings;
use cloverbend::gateway::platform_interface::ReplicaOrder;
use cloverbend::gateway::replica_planner::ReplicaSupply;
use cloverbend::gateway::replica_planner::ZoneSupply;
use cloverbend::gateway::replica_planner::without_reductions;
use cloverbend::gateway::rollout_evidence::AnswerKind;
use cloverbend::gateway::rollout_evidence::EvidenceTable;
use cloverbend::gateway::rollout_evidence::RolloutEvidence;
use cloverbend::gateway::rollout_evidence::RouteClass;
use cloverbend::gateway::rollout_evidence::VersionSide;
use cloverbend::gateway::rollout_exposure::RolloutBounds;
use cloverbend::gateway::rollout_exposure::VersionRule;
use cloverbend::gateway::rollout_exposure::running_share;
use cloverbend::gateway::rollout_judge::BadKind;
use cloverbend::gateway::rollout_judge::RolloutJudge;
use cloverbend::gateway::rollout_judge::RolloutVerdict;
use cloverbend::gateway::rollout_state::OrderFault;
use cloverbend::gateway::rollout_state::RolloutPhase;
use cloverbend::gateway::rollout_state::RolloutStatus;
use cloverbend::gateway::rollout_state::StepInputs;
use cloverbend::gateway::rollout_state::next_phase;
use cloverbend::gateway::rollout_state::start_rollout;
use cloverbend::gateway::rollout_table::RolloutNews;
use cloverbend::gateway::rollout_table::RolloutTable;
use cloverbend::id::FenceToken;
use cloverbend::id::Incarnation;
use cloverbend::id::LogOffset;
use cloverbend::id::ServerVersion;
use cloverbend::quantity::Timestamp;
use cloverbend_testutils::rollout_model::NO_TROUBLE;
use cloverbend_testutils::rollout_model::Trouble;
use cloverbend_testutils::rollout_model::bounds;
use cloverbend_testutils::rollout_model::count_ends;
use cloverbend_testutils::rollout_model::is_bounded;
use cloverbend_testutils::rollout_model::order;
use cloverbend_testutils::rollout_model::play;
use proptest::prelude::*;
use rstest::rstest;

const FAILING: Trouble = Trouble {
    failing: 0.1,
    ..NO_TROUBLE
};
const SLOWER: Trouble = Trouble {
    slower: 3.0,
    ..NO_TROUBLE
};

/// A bad version is rolled back before the time limit in 99 of 100 seeds.
#[rstest]
#[case::failing(9, 100, FAILING)]
#[case::failing_behind_73_entries(73, 100, FAILING)]
#[case::failing_behind_302_entries(302, 300, FAILING)]
#[case::slower(9, 100, SLOWER)]
#[case::slower_behind_302_entries(302, 300, SLOWER)]
#[case::half_failing(73, 600, Trouble { failing: 0.5, ..NO_TROUBLE })]
#[case::late(73, 300, Trouble { onset_s: 25, ..FAILING })]
#[case::one_route(73, 300, Trouble { failing: 0.5, one_route: true, ..NO_TROUBLE })]
#[case::while_servers_are_grey(73, 300, Trouble { grey: 0.3, ..FAILING })]
#[case::while_holders_change(73, 300, Trouble { holder_ticks: 20, ..FAILING })]
fn bad_version_is_rolled_back(
    #[case] entries: usize,
    #[case] per_s: u32,
    #[case] trouble: Trouble,
) {
    let seeds = 100;
    let ends = count_ends(entries, per_s, trouble, RolloutPhase::RolledBack, seeds);
    assert!(ends >= 99, "{ends} of {seeds}");
}

/// A good version is completed before the time limit in 99 of 100 seeds.
#[rstest]
#[case::quiet(9, 100, NO_TROUBLE)]
#[case::behind_73_entries(73, 100, NO_TROUBLE)]
#[case::behind_302_entries(302, 300, NO_TROUBLE)]
#[case::while_servers_are_grey(73, 300, Trouble { grey: 0.3, ..NO_TROUBLE })]
#[case::in_a_burst(73, 300, Trouble { burst: 4.0, ..NO_TROUBLE })]
#[case::while_holders_change(73, 300, Trouble { holder_ticks: 50, ..NO_TROUBLE })]
fn good_version_is_completed(#[case] entries: usize, #[case] per_s: u32, #[case] trouble: Trouble) {
    let seeds = 100;
    let ends = count_ends(entries, per_s, trouble, RolloutPhase::Completed, seeds);
    assert!(ends >= 99, "{ends} of {seeds}");
}

/// A version that turns bad only while all traffic moves stays within its bounds.
#[rstest]
#[case(9, 100)]
#[case(302, 600)]
fn version_that_turns_bad_in_the_move_stays_bounded(#[case] entries: usize, #[case] per_s: u32) {
    let onset_s = order().move_at().as_secs() + 1;
    let trouble = Trouble {
        failing: 0.5,
        onset_s,
        ..NO_TROUBLE
    };
    for seed in 0..50 {
        let outcome = play(entries, per_s, trouble, seed);
        assert!(is_bounded(&outcome), "seed {seed}: {outcome:?}");
    }
}

/// With requests that are few for the number of entries, a version is still tried, and
/// is not completed unproved.
#[test]
fn version_with_few_requests_is_not_completed() {
    for seed in 0..50 {
        let outcome = play(302, 8, FAILING, seed);
        assert!(is_bounded(&outcome), "seed {seed}: {outcome:?}");
        assert_ne!(outcome.phase, RolloutPhase::Completed, "seed {seed}");
        assert!(outcome.exposed > 0, "seed {seed}");
    }
}

/// No sequence of states leads on from a verdict.
#[test]
fn verdicts_stay() {
    for phase in RolloutPhase::ALL {
        for next in RolloutPhase::ALL {
            let from_final = phase.is_final() && phase.may_become(next);
            assert!(!from_final, "{phase} -> {next}");
        }
    }
    assert!(!RolloutPhase::Running.may_become(RolloutPhase::Completed));
}

/// The holder is lost at each state. The next one knows the stored status only.
#[rstest]
#[case(RolloutPhase::Running, Ok(RolloutPhase::Running))]
#[case(RolloutPhase::Completed, Err(OrderFault::AlreadyDecided))]
#[case(RolloutPhase::RolledBack, Err(OrderFault::AlreadyDecided))]
fn next_holder_goes_on_from_the_status(
    #[case] phase: RolloutPhase,
    #[case] expected: Result<RolloutPhase, OrderFault>,
) {
    let order = order();
    let target = order.target.clone();
    let status = RolloutStatus { target, phase };
    // All old servers have ended.
    let running = [Some(&order.target)];
    let started = start_rollout(&order, Some(&status), true, running.into_iter());
    assert_eq!(started, expected);
}

#[test]
fn unusable_orders_move_no_traffic() {
    let order = order();
    let target = Some(&order.target);
    let unknown = start_rollout(&order, None, false, [target].into_iter());
    assert_eq!(unknown, Err(OrderFault::UnknownService));
    let same = start_rollout(&order, None, true, [target, target].into_iter());
    assert_eq!(same, Err(OrderFault::AlreadyRuns));
    let other: ServerVersion = "v1".parse().unwrap();
    let begun = start_rollout(&order, None, true, [target, Some(&other)].into_iter());
    assert_eq!(begun, Ok(RolloutPhase::Running));
    let no_servers = start_rollout(&order, None, true, std::iter::empty());
    assert_eq!(no_servers, Ok(RolloutPhase::Running));
}

#[test]
fn order_without_servers_of_its_version_is_rolled_back() {
    let order = order();
    let mut inputs = StepInputs {
        age: order.move_at(),
        phase_age: order.move_at(),
        verdict: RolloutVerdict::Undecided,
        has_capacity: false,
        old_in_flight: 5,
    };
    assert_eq!(next_phase(RolloutPhase::Running, &order, &inputs), None);
    inputs.age = order.decide_by();
    let next = next_phase(RolloutPhase::Running, &order, &inputs);
    assert_eq!(next, Some(RolloutPhase::RolledBack));
}

#[rstest]
#[case::any(VersionRule::Any, [true, true, true])]
#[case::only(VersionRule::Only("v2".parse().unwrap()), [false, true, false])]
#[case::except(VersionRule::Except("v2".parse().unwrap()), [true, false, false])]
fn rules_admit_versions(#[case] rule: VersionRule, #[case] expected: [bool; 3]) {
    let old: ServerVersion = "v1".parse().unwrap();
    let new: ServerVersion = "v2".parse().unwrap();
    let admitted = [Some(&old), Some(&new), None].map(|version| rule.admits(version));
    assert_eq!(admitted, expected);
}

fn news(phase: RolloutPhase, fence: u64, news_ms: u64) -> RolloutNews {
    RolloutNews {
        order: order(),
        number: LogOffset(7),
        fence: FenceToken(fence),
        phase,
        age: Duration::from_secs(10),
        news_age: Duration::from_millis(news_ms),
        new_answers: 1_000,
    }
}

/// Returns a table that knows one piece of news at [`NOW`].
fn table_with(news: RolloutNews) -> RolloutTable {
    let mut table = RolloutTable::new();
    table.note_news(NOW, news, 1.0);
    table
}

const NOW: Timestamp = Timestamp::from_millis(100_000);

fn phase_of(table: &RolloutTable) -> RolloutPhase {
    table.news_of(NOW, &order().service).unwrap().phase
}

#[rstest]
#[case::moved(
    RolloutPhase::Running,
    RolloutPhase::Moving,
    1,
    500,
    RolloutPhase::Moving
)]
#[case::late_message(
    RolloutPhase::Moving,
    RolloutPhase::Running,
    1,
    0,
    RolloutPhase::Moving
)]
#[case::next_holder(
    RolloutPhase::Moving,
    RolloutPhase::Running,
    2,
    0,
    RolloutPhase::Running
)]
#[case::former_holder(
    RolloutPhase::Running,
    RolloutPhase::Moving,
    0,
    0,
    RolloutPhase::Running
)]
#[case::former_verdict(
    RolloutPhase::Running,
    RolloutPhase::RolledBack,
    0,
    0,
    RolloutPhase::RolledBack
)]
#[case::no_other_verdict(
    RolloutPhase::RolledBack,
    RolloutPhase::Completed,
    2,
    0,
    RolloutPhase::RolledBack
)]
#[case::nothing_after(
    RolloutPhase::RolledBack,
    RolloutPhase::Running,
    2,
    0,
    RolloutPhase::RolledBack
)]
fn news_does_not_follow_a_verdict(
    #[case] known: RolloutPhase,
    #[case] reported: RolloutPhase,
    #[case] fence: u64,
    #[case] news_ms: u64,
    #[case] expected: RolloutPhase,
) {
    let mut table = table_with(news(known, 1, 300));
    table.note_news(NOW, news(reported, fence, news_ms), 0.5);
    assert_eq!(phase_of(&table), expected);
}

/// Two entries that only hear each other stop sending to the new version.
#[test]
fn news_ages_at_each_hop() {
    let mut tables = [
        table_with(news(RolloutPhase::Running, 1, 0)),
        RolloutTable::new(),
    ];
    let mut now = NOW;
    for round in 0..40 {
        now = now.after(Duration::from_millis(250));
        let [reported] = &tables[round % 2].current_news(now)[..] else {
            panic!("the news is lost");
        };
        tables[(round + 1) % 2].note_news(now, reported.clone(), 1.0);
    }
    for table in &mut tables {
        table.note_arrival(&order().service, &bounds());
        let rule = table.rule(now, &order().service, true);
        assert_eq!(rule, VersionRule::Except(order().target));
    }
}

#[test]
fn servers_get_requests_by_version_and_state() {
    let service = order().service;
    let rules = RolloutPhase::ALL.map(|phase| {
        let mut table = table_with(news(phase, 1, 0));
        let first = table.rule(NOW, &service, true);
        table.note_sent(&service, Some(&order().target));
        let second = table.rule(NOW, &service, true);
        format!("{phase}: {first:?}, then {second:?}")
    });
    insta::assert_snapshot!(rules.join("\n"), @r#"
    running: Only(ServerVersion("v2")), then Except(ServerVersion("v2"))
    moving: Only(ServerVersion("v2")), then Only(ServerVersion("v2"))
    completed: Only(ServerVersion("v2")), then Only(ServerVersion("v2"))
    rolled back: Except(ServerVersion("v2")), then Except(ServerVersion("v2"))
    "#);
    let unknown = RolloutTable::new().rule(NOW, &service, true);
    assert_eq!(unknown, VersionRule::Any);
}

/// Answers that were counted for another order do not count.
#[test]
fn evidence_belongs_to_its_order() {
    let mut table = table_with(news(RolloutPhase::Running, 1, 0));
    let service = order().service;
    let id = BackendId::without_start("i-1");
    let (class, target) = (RouteClass::of("audit"), order().target);
    table.note_answer(&service, class, &id, Some(&target), AnswerKind::Failed);
    let mut report = table.own_reports().remove(0);
    table.note_report(Incarnation(1), &report);
    assert_eq!(table.total(&service).failures(VersionSide::New), 2);
    report.number = LogOffset(6);
    table.note_report(Incarnation(2), &report);
    assert_eq!(table.total(&service).failures(VersionSide::New), 2);
}

proptest! {
    /// Counts of another entry may be anything.
    #[test]
    fn damaged_counts_are_bounded(numbers in prop::collection::vec(any::<u32>(), 424..440)) {
        let Some(evidence) = RolloutEvidence::from_numbers(&numbers) else {
            prop_assert_ne!(numbers.len(), 432);
            return Ok(());
        };
        for class in RouteClass::all() {
            let counts = evidence.of_class(VersionSide::New, class);
            let kinds: u64 = counts.paces.iter().copied().map(u64::from).sum();
            prop_assert!(u64::from(counts.failed) + kinds <= u64::from(counts.answers));
        }
        let mut table = EvidenceTable::default();
        table.note(Incarnation(1), &evidence);
        table.note(Incarnation(2), &evidence);
        let mut judge = RolloutJudge::new();
        judge.judge(&table.total());
        judge.judge(&RolloutEvidence::default());
        prop_assert!(judge.highest_sum(BadKind::Slow).is_finite());
    }

    /// News of another entry may be anything.
    #[test]
    fn damaged_news_is_bounded(
        millis in prop::array::uniform3(any::<u64>()),
        number in any::<u64>(),
        phase in prop::sample::select(RolloutPhase::ALL.to_vec()),
    ) {
        let [duration, age, news_age] = millis.map(Duration::from_millis);
        let mut reported = news(phase, 1, 0);
        reported.order.duration = duration;
        reported.number = LogOffset(number);
        (reported.age, reported.news_age) = (age, news_age);
        let mut table = table_with(reported);
        table.note_arrival(&order().service, &bounds());
        table.rule(NOW, &order().service, true);
        for news in table.current_news(NOW) {
            prop_assert!(news.news_age >= news_age);
            let share = running_share(&bounds(), &news.order);
            prop_assert!(share > 0.0 && share <= bounds().share.as_f64());
        }
    }

    /// What an entry tells arrives as it was, and an earlier message changes nothing.
    #[test]
    fn counts_are_relayed(answers in 0_u32..500, late in 0_u32..500) {
        let mut evidence = RolloutEvidence::default();
        let mut table = EvidenceTable::default();
        let mut earlier = evidence;
        for number in 0..answers {
            if number == late {
                earlier = evidence;
            }
            let id = BackendId::without_start(format!("i-{number}"));
            evidence.note(VersionSide::New, RouteClass::of("audit"), &id, AnswerKind::Failed);
        }
        let read = RolloutEvidence::from_numbers(&evidence.to_numbers());
        prop_assert_eq!(read, Some(evidence));
        table.note(Incarnation(1), &evidence);
        table.note(Incarnation(1), &earlier);
        prop_assert_eq!(table.total(), evidence);
    }
}

const SETTINGS: &str = "[gateway]
name = entry-1
zone = zone-a
caller_address = 127.0.0.1:1
readiness_address = 127.0.0.1:2
peer_address = 127.0.0.1:3

[store]
address = 127.0.0.1:4

[cloud]
address = 127.0.0.1:5

";

#[rstest]
#[case::absent("", None)]
#[case::given(
    "[rollout]\nexpose_share = 0.1\nexpose_slack = 50\nrollback_ms = 5000\n",
    Some(bounds())
)]
#[case::defaults("[rollout]\nexpose_share = 0.1\n", Some(bounds()))]
fn bounds_come_from_the_settings(#[case] section: &str, #[case] expected: Option<RolloutBounds>) {
    let text = format!("{SETTINGS}{section}");
    let settings = GatewaySettings::parse("entry.ini", &text).unwrap();
    assert_eq!(settings.rollout, expected);
}

#[rstest]
#[case("0")]
#[case("-0.1")]
#[case("0.6")]
#[case("NaN")]
#[case("much")]
fn unusable_share_is_a_finding(#[case] share: &str) {
    let text = format!("{SETTINGS}[rollout]\nexpose_share = {share}\n");
    let findings = GatewaySettings::parse("entry.ini", &text).unwrap_err();
    let expected = "entry.ini:15: [rollout] expose_share: \
        a share of exposed requests is more than 0 and at most 0.5";
    assert_eq!(findings.to_string().trim(), expected);
}

/// The cloud starts the replicas of the new version beside the old ones, and the need is
/// that of one version. No replica may be ended, and a loss has to be made up for.
#[test]
fn no_replicas_are_ended_during_a_roll_out() {
    let supply = |reclaimable, on_demand| ReplicaSupply {
        reclaimable,
        on_demand,
    };
    let supply = ZoneSupply::from([
        ("zone-a".parse().unwrap(), supply(50, 4)),
        ("zone-b".parse().unwrap(), supply(0, 4)),
    ]);
    let order = |zone: &str, reclaimable, count| ReplicaOrder {
        service: "pool".parse().unwrap(),
        zone: zone.parse().unwrap(),
        reclaimable,
        count,
    };
    let orders = vec![
        order("zone-a", true, 33),
        order("zone-a", false, 0),
        order("zone-b", true, 33),
        order("zone-b", false, 12),
        order("zone-c", true, 33),
    ];
    let placed: Vec<String> = without_reductions(&supply, orders)
        .iter()
        .map(|order| format!("{} {} {}", order.zone, order.reclaimable, order.count))
        .collect();
    insta::assert_snapshot!(placed.join("\n"), @r"
    zone-b true 33
    zone-b false 12
    zone-c true 33
    ");
}
