//! Answers from late, repeated, reordered and truncated streams.

use bytes::Bytes;
use cloverbend::answer::AnswerEnd;
use cloverbend::answer::AnswerLog;
use cloverbend::answer::ChunkOutcome;
use cloverbend::id::ChunkPosition;
use proptest::prelude::*;

fn chunk(position: u64) -> Bytes {
    Bytes::from(format!("chunk {position}"))
}

fn text(log: &AnswerLog) -> Vec<Bytes> {
    log.chunks_from(ChunkPosition(0)).to_vec()
}

#[test]
fn a_second_attempt_never_changes_a_position() {
    let mut log = AnswerLog::new();
    log.place(ChunkPosition(0), chunk(0));
    let again = log.place(ChunkPosition(0), Bytes::from("other"));
    assert_eq!(again, ChunkOutcome::Repeated);
    assert_eq!(text(&log), vec![chunk(0)]);
}

#[test]
fn an_end_marker_before_its_chunks_does_not_complete_the_answer() {
    let mut log = AnswerLog::new();
    log.place(ChunkPosition(0), chunk(0));
    log.place_end(ChunkPosition(2));
    assert_eq!(log.end(), None);
    log.place(ChunkPosition(1), chunk(1));
    assert_eq!(log.end(), Some(&AnswerEnd::Complete));
    assert_eq!(
        log.place(ChunkPosition(2), chunk(2)),
        ChunkOutcome::OutOfRange
    );
}

#[test]
fn callers_are_shown_only_what_the_mirror_has() {
    let mut log = AnswerLog::new();
    log.place(ChunkPosition(0), chunk(0));
    log.place(ChunkPosition(1), chunk(1));
    log.confirm(ChunkPosition(1));
    log.confirm(ChunkPosition(0));
    assert_eq!(log.confirmed(), ChunkPosition(1));
    log.confirm(ChunkPosition(9));
    assert_eq!(log.confirmed(), ChunkPosition(2));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Whatever order, repetition and loss the chunks and end markers of two
    /// attempts suffer, the answer is a prefix of the true one, and complete
    /// only when it is whole.
    #[test]
    fn an_answer_is_whole_or_not_complete(
        length in 1_u64..20,
        arrivals in prop::collection::vec(0_u64..21, 0..80),
    ) {
        let mut log = AnswerLog::new();
        for arrival in arrivals {
            if arrival >= length {
                log.place_end(ChunkPosition(length));
            } else {
                log.place(ChunkPosition(arrival), chunk(arrival));
            }
            let expected: Vec<Bytes> = (0..log.len().0).map(chunk).collect();
            prop_assert_eq!(text(&log), expected);
            let complete = log.end() == Some(&AnswerEnd::Complete);
            prop_assert!(!complete || log.len().0 == length);
        }
    }
}
