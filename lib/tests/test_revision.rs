//! Which configuration is in force: races, repetition, retention, old news.

use cloverbend::configuration::ConfigDocument;
use cloverbend::id::LogOffset;
use cloverbend::id::RevisionNumber;
use cloverbend::revision::ConfigRecord;
use cloverbend::revision::PublicationId;
use cloverbend::revision::RecordOutcome;
use cloverbend::revision::RevisionFollower;
use proptest::prelude::*;

fn publication(name: &str, replaces: u64) -> String {
    let record = ConfigRecord::Publication {
        publication: PublicationId(name.to_owned()),
        replaces: RevisionNumber(replaces),
        document: ConfigDocument::default(),
    };
    serde_json::to_string(&record).unwrap()
}

fn snapshot(name: &str, number: u64) -> String {
    let record = ConfigRecord::Snapshot {
        publication: PublicationId(name.to_owned()),
        number: RevisionNumber(number),
        document: ConfigDocument::default(),
    };
    serde_json::to_string(&record).unwrap()
}

fn follow(first: u64, records: &[String]) -> (RevisionFollower, Vec<RecordOutcome>) {
    let mut follower = RevisionFollower::new();
    follower.start_at(LogOffset(first));
    let outcomes = records
        .iter()
        .enumerate()
        .map(|(index, record)| follower.apply(LogOffset(first + index as u64), record))
        .collect();
    (follower, outcomes)
}

#[test]
fn the_first_of_two_racing_publications_wins() {
    let records = [
        publication("a", 0),
        publication("b", 1),
        publication("c", 1),
        publication("d", 2),
    ];
    let (follower, outcomes) = follow(0, &records);
    insta::assert_debug_snapshot!(outcomes, @r#"
    [
        Applied(
            RevisionNumber(
                1,
            ),
        ),
        Applied(
            RevisionNumber(
                2,
            ),
        ),
        Lost {
            publication: PublicationId(
                "c",
            ),
            current: RevisionNumber(
                2,
            ),
            winner: PublicationId(
                "b",
            ),
        },
        Applied(
            RevisionNumber(
                3,
            ),
        ),
    ]
    "#);
    assert_eq!(follower.number(), RevisionNumber(3));
}

#[test]
fn a_publication_repeated_after_a_lost_answer_is_applied_once() {
    let records = [
        publication("a", 0),
        publication("a", 0),
        publication("b", 1),
    ];
    let (follower, outcomes) = follow(0, &records);
    assert_eq!(outcomes[1], RecordOutcome::Ignored);
    assert_eq!(follower.number(), RevisionNumber(2));
}

#[test]
fn bad_records_change_nothing() {
    let bad_policy = r##"{"kind":"publication","publication":"x","replaces":1,"document":
        {"services":[],"accounts":[],"policies":[{"name":"p","program":"#{"}]}}"##;
    let records = [
        publication("a", 0),
        "not json".to_owned(),
        bad_policy.to_owned(),
        publication("b", 1),
    ];
    let (follower, outcomes) = follow(0, &records);
    assert!(matches!(outcomes[1], RecordOutcome::Undecodable(_)));
    insta::assert_snapshot!(match &outcomes[2] {
        RecordOutcome::Rejected(findings) => findings.to_string(),
        other => format!("{other:?}"),
    }, @"policies[0].program: policy p: syntax error: Expecting '}' to end this object map literal (line 1, position 3)");
    assert_eq!(follower.number(), RevisionNumber(2));
}

#[test]
fn a_reader_that_lost_records_waits_for_a_snapshot() {
    let records = [publication("h", 7), snapshot("h", 8), publication("i", 8)];
    let (follower, outcomes) = follow(40, &records);
    assert_eq!(outcomes[0], RecordOutcome::Unjudged);
    assert_eq!(outcomes[1], RecordOutcome::Applied(RevisionNumber(8)));
    assert_eq!(follower.number(), RevisionNumber(9));
}

#[test]
fn a_reader_with_a_gap_does_not_trust_a_publication_that_may_have_lost() {
    let (mut follower, _) = follow(0, &[publication("a", 0)]);
    follower.start_at(LogOffset(10));
    let outcome = follower.apply(LogOffset(10), &publication("late", 1));
    assert_eq!(outcome, RecordOutcome::Unjudged);
    follower.apply(LogOffset(11), &snapshot("winner", 2));
    assert_eq!(follower.number(), RevisionNumber(2));
    assert_eq!(follower.current().unwrap().publication.0, "winner");
}

#[test]
fn a_site_that_rejoins_with_old_news_changes_nothing() {
    let (mut follower, _) = follow(0, &[publication("a", 0), publication("b", 1)]);
    let old = PublicationId("a".to_owned());
    let outcome = follower.adopt(RevisionNumber(1), old, ConfigDocument::default());
    assert_eq!(outcome, RecordOutcome::Ignored);
    assert_eq!(follower.current().unwrap().publication.0, "b");
}

fn any_record() -> impl Strategy<Value = String> {
    prop_oneof![
        ("[a-e]", 0_u64..6).prop_map(|(name, replaces)| publication(&name, replaces)),
        ("[a-e]", 1_u64..6).prop_map(|(name, number)| snapshot(&name, number)),
        Just("{".to_owned()),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Two readers of one log, of which one reads it in pieces, misses a
    /// stretch and hears old news in between, never go back, and agree
    /// wherever both know a revision of the same number.
    #[test]
    fn readers_never_go_back_and_agree(
        records in prop::collection::vec(any_record(), 1..30),
        gap in 0_usize..30,
        news in prop::collection::vec((0_usize..30, 1_u64..6), 0..5),
    ) {
        let mut whole = RevisionFollower::new();
        whole.start_at(LogOffset(0));
        let mut known = std::collections::BTreeMap::new();
        for (index, record) in records.iter().enumerate() {
            let before = whole.number();
            whole.apply(LogOffset(index as u64), record);
            prop_assert!(whole.number() >= before);
            if let Some(current) = whole.current() {
                known.insert(current.number, current.publication.clone());
            }
        }
        let mut partial = RevisionFollower::new();
        partial.start_at(LogOffset(0));
        for (index, record) in records.iter().enumerate() {
            for (at, number) in &news {
                let number = RevisionNumber(*number);
                if let (true, Some(name)) = (*at == index, known.get(&number)) {
                    let before = partial.number();
                    partial.adopt(number, name.clone(), ConfigDocument::default());
                    prop_assert!(partial.number() >= before);
                }
            }
            if index == gap {
                partial.start_at(LogOffset(index as u64 + 1));
                continue;
            }
            let before = partial.number();
            partial.apply(LogOffset(index as u64), record);
            prop_assert!(partial.number() >= before);
        }
    }
}
