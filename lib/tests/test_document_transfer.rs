//! The configuration's document between entries: it arrives whole whatever is
//! lost or late, and what anybody holds of it is bounded.

use std::net::SocketAddr;

use bytes::Bytes;
use cloverbend::gateway::document_parts::DocumentPart;
use cloverbend::gateway::document_parts::DocumentPull;
use cloverbend::gateway::document_parts::PART_BYTES;
use cloverbend::gateway::document_transfer::CachedDocument;
use cloverbend::gateway::document_transfer::DocumentCache;
use cloverbend::gateway::document_transfer::DocumentFetcher;
use cloverbend::gateway::document_transfer::DocumentSource;
use cloverbend::gateway::document_transfer::ReceivedDocument;
use cloverbend::gateway::packed_document::DocumentError;
use cloverbend::gateway::packed_document::MAX_DOCUMENT_BYTES;
use cloverbend::gateway::packed_document::PackedDocument;
use cloverbend::id::LogOffset;
use cloverbend::id::RevisionNumber;
use cloverbend::quantity::Timestamp;
use cloverbend::wire::PeerMessage;
use proptest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

/// Bytes that do not shrink, so that a document has many parts.
fn noise(seed: u64, length: usize) -> Vec<u8> {
    let mut draws = StdRng::seed_from_u64(seed);
    (0..length).map(|_| draws.random()).collect()
}

fn kept(revision: u64, length: usize) -> CachedDocument {
    CachedDocument {
        revision: RevisionNumber(revision),
        document: PackedDocument::pack(&noise(revision, length)).unwrap(),
        log_end: Some(LogOffset(revision * 10)),
    }
}

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + number))
}

fn source(number: u16, revision: u64) -> DocumentSource {
    DocumentSource {
        address: address(number),
        revision: RevisionNumber(revision),
    }
}

const OWN: RevisionNumber = RevisionNumber(0);

/// Runs a transfer without losses, until it is whole.
fn fetch(
    transfer: &mut DocumentFetcher,
    shelf: &mut DocumentCache,
    sources: &[DocumentSource],
) -> ReceivedDocument {
    for step in 0..100 {
        let now = Timestamp::from_millis(step);
        let (_, pull) = transfer.next_pull(now, address(0), sources).unwrap();
        let part = shelf.part_for(now, &pull).unwrap();
        if let Some(arrived) = transfer.take_part(OWN, &part) {
            return arrived;
        }
    }
    panic!("the document did not arrive");
}

#[rstest]
#[case::one_part(10)]
#[case::a_whole_number_of_parts(3 * PART_BYTES)]
#[case::many_parts(7 * PART_BYTES + 1)]
fn a_document_arrives_whole(#[case] length: usize) {
    let mut shelf = DocumentCache::new();
    shelf.put(Timestamp(0), kept(4, length));
    let mut transfer = DocumentFetcher::new();
    let arrived = fetch(&mut transfer, &mut shelf, &[source(1, 4)]);
    assert_eq!(arrived.document.unpack().unwrap(), noise(4, length));
    assert_eq!(arrived.revision, RevisionNumber(4));
    assert_eq!(arrived.log_end, Some(LogOffset(40)));
    assert_eq!(transfer.buffered_bytes(), 0);
}

#[test]
fn one_question_is_open_at_a_time_however_many_entries_are_ahead() {
    let sources: Vec<DocumentSource> = (1..320).map(|number| source(number, 4)).collect();
    let mut transfer = DocumentFetcher::new();
    let asked = (0..599).filter_map(|at| {
        let now = Timestamp::from_millis(at);
        transfer.next_pull(now, address(0), &sources)
    });
    assert_eq!(asked.count(), 1);
}

#[test]
fn another_entry_goes_on_where_one_fell_silent() {
    let mut shelf = DocumentCache::new();
    shelf.put(Timestamp(0), kept(4, 2 * PART_BYTES));
    let sources = [source(1, 4), source(2, 4)];
    let mut transfer = DocumentFetcher::new();
    let at = Timestamp::from_millis;
    let (first, pull) = transfer.next_pull(at(0), address(0), &sources).unwrap();
    let part = shelf.part_for(at(0), &pull).unwrap();
    assert_eq!(transfer.take_part(OWN, &part), None);
    let (same, _) = transfer.next_pull(at(1), address(0), &sources).unwrap();
    assert_eq!(same, first);
    assert_eq!(transfer.next_pull(at(500), address(0), &sources), None);
    let (other, pull) = transfer.next_pull(at(700), address(0), &sources).unwrap();
    assert_ne!(other, first);
    assert_eq!(pull.from, PART_BYTES as u64);
    assert_eq!(transfer.failures(), 1);
}

/// Entries of different versions may pack a document differently.
#[rstest]
#[case::shorter(2 * PART_BYTES)]
#[case::longer(9 * PART_BYTES)]
fn a_document_that_is_packed_otherwise_elsewhere_is_begun_anew(#[case] length: usize) {
    let mut here = DocumentCache::new();
    here.put(Timestamp(0), kept(4, 5 * PART_BYTES));
    let mut there = DocumentCache::new();
    let packed = kept(9, length).document;
    there.put(
        Timestamp(0),
        CachedDocument {
            document: packed,
            ..kept(4, 1)
        },
    );
    let mut transfer = DocumentFetcher::new();
    let at = Timestamp::from_millis;
    for step in 0..3 {
        let (_, pull) = transfer
            .next_pull(at(step), address(0), &[source(1, 4)])
            .unwrap();
        let part = here.part_for(at(step), &pull).unwrap();
        assert_eq!(transfer.take_part(OWN, &part), None);
    }
    // The first one is gone; the other is all there is.
    let arrived = (0..100).find_map(|step| {
        let now = at(10 + step * 100);
        let (_, pull) = transfer.next_pull(now, address(0), &[source(2, 4)])?;
        let part = there.part_for(now, &pull)?;
        transfer.take_part(OWN, &part)
    });
    let arrived = arrived.expect("not whole after ten seconds");
    assert_eq!(arrived.document.unpack().unwrap(), noise(9, length));
}

#[test]
fn nothing_is_held_once_nobody_is_ahead() {
    let mut shelf = DocumentCache::new();
    shelf.put(Timestamp(0), kept(4, 2 * PART_BYTES));
    let mut transfer = DocumentFetcher::new();
    let now = Timestamp(0);
    let (_, pull) = transfer
        .next_pull(now, address(0), &[source(1, 4)])
        .unwrap();
    let part = shelf.part_for(now, &pull).unwrap();
    transfer.take_part(OWN, &part);
    assert_eq!(transfer.buffered_bytes(), PART_BYTES);
    assert_eq!(transfer.next_pull(now, address(0), &[]), None);
    assert_eq!(transfer.buffered_bytes(), 0);
}

#[test]
fn a_document_that_cannot_be_used_is_not_asked_for_over_and_over() {
    let sources = [source(1, 4), source(2, 4)];
    let mut transfer = DocumentFetcher::new();
    let at = Timestamp::from_millis;
    let (first, _) = transfer.next_pull(at(0), address(0), &sources).unwrap();
    let bytes = Bytes::from_static(b"no packed document");
    let part = DocumentPart {
        revision: RevisionNumber(4),
        length: bytes.len() as u64,
        digest: 0,
        from: 0,
        bytes,
        log_end: None,
    };
    // Its digest shows that bytes were lost or changed.
    assert_eq!(transfer.clone().take_part(OWN, &part), None);
    let digest = PackedDocument::from_packed(part.bytes.clone()).digest();
    let part = DocumentPart { digest, ..part };
    let arrived = transfer.take_part(OWN, &part).unwrap();
    let read = arrived.document.unpack();
    assert!(matches!(read, Err(DocumentError::Damaged(_))), "{read:?}");
    transfer.note_unusable(at(10), RevisionNumber(4));
    assert_eq!(transfer.next_pull(at(1_900), address(0), &sources), None);
    let newer = [source(3, 5)];
    assert!(
        transfer
            .clone()
            .next_pull(at(20), address(0), &newer)
            .is_some()
    );
    let (other, _) = transfer.next_pull(at(2_100), address(0), &sources).unwrap();
    assert_ne!(other, first);
}

#[test]
fn an_entry_finishes_what_it_began_however_often_the_configuration_changes() {
    let mut shelf = DocumentCache::new();
    shelf.put(Timestamp(0), kept(1, 9 * PART_BYTES));
    let mut transfer = DocumentFetcher::new();
    let mut newest = 1;
    let mut arrived = None;
    // A part takes 50 ms, and every 300 ms there is another revision.
    for step in 0..20 {
        let now = Timestamp::from_millis(step * 50);
        if step % 6 == 5 {
            newest += 1;
            shelf.put(now, kept(newest, 9 * PART_BYTES));
        }
        let sources = [source(1, newest)];
        let Some((_, pull)) = transfer.next_pull(now, address(0), &sources) else {
            continue;
        };
        let part = shelf.part_for(now, &pull).unwrap();
        arrived = arrived.or(transfer.take_part(OWN, &part));
        assert!(shelf.kept_bytes() <= 2 * 10 * PART_BYTES);
    }
    let arrived = arrived.expect("no revision arrived in a second");
    assert_eq!(arrived.revision, RevisionNumber(1));
    shelf.drop_unasked(Timestamp::from_millis(9_000));
    assert_eq!(
        shelf.kept_bytes(),
        shelf.newest().unwrap().document.bytes().len()
    );
}

#[test]
fn a_document_over_the_limit_is_refused_by_whoever_reads_it() {
    let long = vec![b' '; MAX_DOCUMENT_BYTES + 1];
    assert_eq!(PackedDocument::pack(&long), Err(DocumentError::TooLong));
    // Another entry may have another limit: a small packed document may be
    // long once it is unpacked.
    let mut encoder = flate2::write::DeflateEncoder::new(Vec::new(), flate2::Compression::fast());
    std::io::Write::write_all(&mut encoder, &long).unwrap();
    let packed = PackedDocument::from_packed(encoder.finish().unwrap().into());
    assert_eq!(packed.unpack(), Err(DocumentError::TooLong));
}

#[test]
fn parts_and_questions_pass_the_wire_unchanged() {
    let pull = DocumentPull {
        reply_to: address(3),
        revision: RevisionNumber(7),
        from: 64,
    };
    let sent = PeerMessage::decode(PeerMessage::DocumentPull(pull).encode());
    assert!(matches!(sent, Ok(PeerMessage::DocumentPull(read)) if read == pull));
    let part = DocumentPart {
        revision: RevisionNumber(7),
        length: 70,
        digest: 5,
        from: 64,
        bytes: Bytes::from_static(b"abcdef"),
        log_end: Some(LogOffset(0)),
    };
    let sent = PeerMessage::decode(PeerMessage::DocumentPart(part.clone()).encode());
    assert!(matches!(sent, Ok(PeerMessage::DocumentPart(read)) if read == part));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: proptest::test_runner::RngSeed::Fixed(29),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Answers are lost, late and repeated, sources change their revision, and
    /// still only whole documents arrive, and the newest one in the end.
    #[test]
    fn whatever_is_lost_or_late_only_whole_documents_arrive(
        seed in any::<u64>(),
        parts in 1_usize..5,
    ) {
        let mut draws = StdRng::seed_from_u64(seed);
        let mut shelves = [DocumentCache::new(), DocumentCache::new()];
        let mut revisions = [1_u64, 1];
        for shelf in &mut shelves {
            shelf.put(Timestamp(0), kept(1, parts * PART_BYTES));
        }
        let mut transfer = DocumentFetcher::new();
        let mut own = OWN;
        let mut late: Vec<DocumentPart> = Vec::new();
        for step in 0..600_u64 {
            let now = Timestamp::from_millis(step * 40);
            let rough = step < 300;
            if rough && draws.random_bool(0.03) {
                let which = draws.random_range(0..2);
                revisions[which] = revisions[0].max(revisions[1]) + 1;
                shelves[which].put(now, kept(revisions[which], parts * PART_BYTES));
            }
            let ahead = (0..2_u16).filter(|n| RevisionNumber(revisions[usize::from(*n)]) > own);
            let sources: Vec<DocumentSource> =
                ahead.map(|n| source(n, revisions[usize::from(n)])).collect();
            if let Some((asked, pull)) = transfer.next_pull(now, address(9), &sources) {
                let shelf = &mut shelves[usize::from(asked.port() - 1_000)];
                late.extend(shelf.part_for(now, &pull));
            }
            if rough && draws.random_bool(0.2) {
                late.pop();
            }
            if rough && draws.random_bool(0.4) {
                continue;
            }
            let index = draws.random_range(0..=late.len());
            let Some(part) = late.get(index).cloned() else { continue };
            if !rough || draws.random_bool(0.8) {
                late.remove(index);
            }
            if let Some(arrived) = transfer.take_part(own, &part) {
                prop_assert!(arrived.revision > own);
                let expected = noise(arrived.revision.0, parts * PART_BYTES);
                prop_assert_eq!(arrived.document.unpack().unwrap(), expected);
                own = arrived.revision;
            }
            prop_assert!(transfer.buffered_bytes() <= (parts + 1) * PART_BYTES);
        }
        prop_assert_eq!(own.0, revisions[0].max(revisions[1]));
    }
}
