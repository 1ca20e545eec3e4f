//! Frames between entries: what is sent is what arrives, and bytes from
//! anywhere are refused and never harm.

use bytes::Bytes;
use cloverbend::answer::AnswerHead;
use cloverbend::id::Incarnation;
use cloverbend::id::PairEpoch;
use cloverbend::id::Serial;
use cloverbend::pair::PairId;
use cloverbend::pair::RequestKey;
use cloverbend::wire::AnswerProgress;
use cloverbend::wire::PeerMessage;
use proptest::prelude::*;

fn key() -> impl Strategy<Value = RequestKey> {
    (any::<u64>(), any::<u32>(), any::<u64>(), any::<u64>()).prop_map(
        |(holder, epoch, mirror, serial)| RequestKey {
            pair: PairId {
                holder: Incarnation(holder),
                epoch: PairEpoch(epoch),
                mirror: Incarnation(mirror),
            },
            serial: Serial(serial),
        },
    )
}

fn progress() -> impl Strategy<Value = AnswerProgress> {
    let chunk = prop::collection::vec(any::<u8>(), 0..40).prop_map(Bytes::from);
    let head = (100_u16..600, "[a-z/]{0,12}").prop_map(|(status, content_type)| AnswerHead {
        status,
        content_type,
    });
    (
        key(),
        prop::option::of(head),
        any::<u64>(),
        prop::collection::vec(chunk, 0..5),
        any::<bool>(),
    )
        .prop_map(|(key, head, from, chunks, complete)| AnswerProgress {
            carrier: key.pair,
            key,
            head,
            from,
            chunks,
            complete,
        })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(13),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn progress_arrives_as_it_was_sent(sent in progress()) {
        let bytes = PeerMessage::Progress(sent.clone()).encode();
        let Ok(PeerMessage::Progress(arrived)) = PeerMessage::decode(bytes) else {
            return Err(TestCaseError::fail("not progress"));
        };
        prop_assert_eq!(arrived, sent);
    }

    #[test]
    fn damaged_frames_are_refused_or_read_but_never_harm(
        sent in progress(),
        at in any::<prop::sample::Index>(),
        value in any::<u8>(),
        cut in any::<prop::sample::Index>(),
    ) {
        let mut bytes = PeerMessage::Progress(sent).encode().to_vec();
        let index = at.index(bytes.len());
        bytes[index] = value;
        bytes.truncate(cut.index(bytes.len()) + 1);
        let _ = PeerMessage::decode(bytes.into());
    }

    #[test]
    fn tickets_are_read_as_they_were_written(key in key()) {
        prop_assert_eq!(key.to_string().parse::<RequestKey>(), Ok(key));
    }

    #[test]
    fn any_text_is_a_ticket_or_refused(text in "\\PC{0,80}") {
        if let Ok(key) = text.parse::<RequestKey>() {
            prop_assert_eq!(key.to_string().parse::<RequestKey>(), Ok(key));
        }
    }
}
