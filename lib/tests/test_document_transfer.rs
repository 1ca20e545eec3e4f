//! Fetching of the configuration document: it arrives complete whatever is lost
//! or late, and the memory used for it is bounded on both sides.

use std::net::SocketAddr;

use bytes::Bytes;
use cloverbend::gateway::document_parts::DocumentPart;
use cloverbend::gateway::document_parts::DocumentPartFrame;
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
use prost::Message;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

/// Returns incompressible bytes, so that a document has many parts.
fn noise(seed: u64, length: usize) -> Vec<u8> {
    let mut rng = StdRng::seed_from_u64(seed);
    (0..length).map(|_| rng.random()).collect()
}

fn cached(revision: u64, length: usize) -> CachedDocument {
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

const OWN_REVISION: RevisionNumber = RevisionNumber(0);

/// Fetches a document without losses until it is complete.
fn fetch(
    fetcher: &mut DocumentFetcher,
    cache: &mut DocumentCache,
    sources: &[DocumentSource],
) -> ReceivedDocument {
    for step in 0..100 {
        let now = Timestamp::from_millis(step);
        let (_, pull) = fetcher.next_pull(now, address(0), sources).unwrap();
        let part = cache.part_for(now, &pull).unwrap();
        if let Some(received) = fetcher.take_part(OWN_REVISION, &part) {
            return received;
        }
    }
    panic!("the document did not arrive");
}

#[rstest]
#[case::one_part(10)]
#[case::a_whole_number_of_parts(3 * PART_BYTES)]
#[case::many_parts(7 * PART_BYTES + 1)]
fn a_document_arrives_complete(#[case] length: usize) {
    let mut cache = DocumentCache::new();
    cache.put(Timestamp(0), cached(4, length));
    let mut fetcher = DocumentFetcher::new();
    let received = fetch(&mut fetcher, &mut cache, &[source(1, 4)]);
    assert_eq!(received.document.unpack().unwrap(), noise(4, length));
    assert_eq!(received.revision, RevisionNumber(4));
    assert_eq!(received.log_end, Some(LogOffset(40)));
    assert_eq!(fetcher.buffered_bytes(), 0);
}

#[test]
fn one_pull_is_pending_at_a_time_however_many_sources_there_are() {
    let sources: Vec<DocumentSource> = (1..320).map(|number| source(number, 4)).collect();
    let mut fetcher = DocumentFetcher::new();
    let pulls = (0..599).filter_map(|at| {
        let now = Timestamp::from_millis(at);
        fetcher.next_pull(now, address(0), &sources)
    });
    assert_eq!(pulls.count(), 1);
}

#[test]
fn the_next_source_continues_after_one_does_not_answer() {
    let mut cache = DocumentCache::new();
    cache.put(Timestamp(0), cached(4, 2 * PART_BYTES));
    let sources = [source(1, 4), source(2, 4)];
    let mut fetcher = DocumentFetcher::new();
    let at = Timestamp::from_millis;
    let (first, pull) = fetcher.next_pull(at(0), address(0), &sources).unwrap();
    let part = cache.part_for(at(0), &pull).unwrap();
    assert_eq!(fetcher.take_part(OWN_REVISION, &part), None);
    let (same, _) = fetcher.next_pull(at(1), address(0), &sources).unwrap();
    assert_eq!(same, first);
    assert_eq!(fetcher.next_pull(at(500), address(0), &sources), None);
    let (other, pull) = fetcher.next_pull(at(700), address(0), &sources).unwrap();
    assert_ne!(other, first);
    assert_eq!(pull.from, PART_BYTES as u64);
    assert_eq!(fetcher.failures(), 1);
}

/// Entries of different versions may pack a document differently.
#[rstest]
#[case::shorter(2 * PART_BYTES)]
#[case::longer(9 * PART_BYTES)]
fn a_document_in_another_packed_form_is_fetched_from_the_start(#[case] length: usize) {
    let mut first_cache = DocumentCache::new();
    first_cache.put(Timestamp(0), cached(4, 5 * PART_BYTES));
    let mut second_cache = DocumentCache::new();
    let packed = cached(9, length).document;
    second_cache.put(
        Timestamp(0),
        CachedDocument {
            document: packed,
            ..cached(4, 1)
        },
    );
    let mut fetcher = DocumentFetcher::new();
    let at = Timestamp::from_millis;
    for step in 0..3 {
        let (_, pull) = fetcher
            .next_pull(at(step), address(0), &[source(1, 4)])
            .unwrap();
        let part = first_cache.part_for(at(step), &pull).unwrap();
        assert_eq!(fetcher.take_part(OWN_REVISION, &part), None);
    }
    // The first source is gone, only the second is left.
    let received = (0..100).find_map(|step| {
        let now = at(10 + step * 100);
        let (_, pull) = fetcher.next_pull(now, address(0), &[source(2, 4)])?;
        let part = second_cache.part_for(now, &pull)?;
        fetcher.take_part(OWN_REVISION, &part)
    });
    let received = received.expect("not complete after ten seconds");
    assert_eq!(received.document.unpack().unwrap(), noise(9, length));
}

#[test]
fn the_buffer_is_dropped_when_no_source_is_left() {
    let mut cache = DocumentCache::new();
    cache.put(Timestamp(0), cached(4, 2 * PART_BYTES));
    let mut fetcher = DocumentFetcher::new();
    let now = Timestamp(0);
    let (_, pull) = fetcher.next_pull(now, address(0), &[source(1, 4)]).unwrap();
    let part = cache.part_for(now, &pull).unwrap();
    fetcher.take_part(OWN_REVISION, &part);
    assert_eq!(fetcher.buffered_bytes(), PART_BYTES);
    assert_eq!(fetcher.next_pull(now, address(0), &[]), None);
    assert_eq!(fetcher.buffered_bytes(), 0);
}

#[test]
fn an_unusable_document_is_not_pulled_again_at_once() {
    let sources = [source(1, 4), source(2, 4)];
    let mut fetcher = DocumentFetcher::new();
    let at = Timestamp::from_millis;
    let (first, _) = fetcher.next_pull(at(0), address(0), &sources).unwrap();
    let bytes = Bytes::from_static(b"no packed document");
    let part = DocumentPart {
        revision: RevisionNumber(4),
        length: bytes.len() as u64,
        digest: 0,
        from: 0,
        bytes,
        log_end: None,
    };
    // The digest does not match, so bytes were lost or changed.
    assert_eq!(fetcher.clone().take_part(OWN_REVISION, &part), None);
    let digest = PackedDocument::from_packed(part.bytes.clone()).digest();
    let part = DocumentPart { digest, ..part };
    let received = fetcher.take_part(OWN_REVISION, &part).unwrap();
    let unpacked = received.document.unpack();
    assert!(
        matches!(unpacked, Err(DocumentError::Damaged(_))),
        "{unpacked:?}"
    );
    fetcher.note_unusable(at(10), RevisionNumber(4));
    assert_eq!(fetcher.next_pull(at(1_900), address(0), &sources), None);
    let newer = [source(3, 5)];
    assert!(
        fetcher
            .clone()
            .next_pull(at(20), address(0), &newer)
            .is_some()
    );
    let (other, _) = fetcher.next_pull(at(2_100), address(0), &sources).unwrap();
    assert_ne!(other, first);
}

#[test]
fn a_document_is_completed_however_often_the_configuration_changes() {
    let mut cache = DocumentCache::new();
    cache.put(Timestamp(0), cached(1, 9 * PART_BYTES));
    let mut fetcher = DocumentFetcher::new();
    let mut newest = 1;
    let mut received = None;
    // A part takes 50 ms, and a new revision comes every 300 ms.
    for step in 0..20 {
        let now = Timestamp::from_millis(step * 50);
        if step % 6 == 5 {
            newest += 1;
            cache.put(now, cached(newest, 9 * PART_BYTES));
        }
        let sources = [source(1, newest)];
        let Some((_, pull)) = fetcher.next_pull(now, address(0), &sources) else {
            continue;
        };
        let part = cache.part_for(now, &pull).unwrap();
        received = received.or(fetcher.take_part(OWN_REVISION, &part));
        assert!(cache.cached_bytes() <= 2 * 10 * PART_BYTES);
    }
    let received = received.expect("no revision arrived in a second");
    assert_eq!(received.revision, RevisionNumber(1));
    cache.drop_unrequested(Timestamp::from_millis(9_000));
    assert_eq!(
        cache.cached_bytes(),
        cache.newest().unwrap().document.bytes().len()
    );
}

#[test]
fn a_document_over_the_limit_is_neither_packed_nor_unpacked() {
    let long = vec![b' '; MAX_DOCUMENT_BYTES + 1];
    assert_eq!(PackedDocument::pack(&long), Err(DocumentError::TooLong));
    // Another entry may have a higher limit, so a short packed document may be too
    // long after unpacking.
    let mut encoder = flate2::write::DeflateEncoder::new(Vec::new(), flate2::Compression::fast());
    std::io::Write::write_all(&mut encoder, &long).unwrap();
    let packed = PackedDocument::from_packed(encoder.finish().unwrap().into());
    assert_eq!(packed.unpack(), Err(DocumentError::TooLong));
}

#[test]
fn encoded_parts_and_pulls_are_decoded_unchanged() {
    let pull = DocumentPull {
        reply_to: address(3),
        revision: RevisionNumber(7),
        from: 64,
    };
    let decoded = PeerMessage::decode(PeerMessage::DocumentPull(pull).encode());
    assert!(matches!(decoded, Ok(PeerMessage::DocumentPull(read)) if read == pull));
    let part = DocumentPart {
        revision: RevisionNumber(7),
        length: 70,
        digest: 5,
        from: 64,
        bytes: Bytes::from_static(b"abcdef"),
        log_end: Some(LogOffset(0)),
    };
    let decoded = PeerMessage::decode(PeerMessage::DocumentPart(part.clone()).encode());
    assert!(matches!(decoded, Ok(PeerMessage::DocumentPart(read)) if read == part));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: proptest::test_runner::RngSeed::Fixed(29),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Although answers are lost, delayed and repeated and sources change their
    /// revision, only complete documents arrive, and finally the newest one.
    #[test]
    fn only_complete_documents_arrive_whatever_is_lost_or_late(
        seed in any::<u64>(),
        parts in 1_usize..5,
    ) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut caches = [DocumentCache::new(), DocumentCache::new()];
        let mut revisions = [1_u64, 1];
        for cache in &mut caches {
            cache.put(Timestamp(0), cached(1, parts * PART_BYTES));
        }
        let mut fetcher = DocumentFetcher::new();
        let mut own_revision = OWN_REVISION;
        let mut in_flight: Vec<DocumentPart> = Vec::new();
        for step in 0..600_u64 {
            let now = Timestamp::from_millis(step * 40);
            let is_unreliable = step < 300;
            if is_unreliable && rng.random_bool(0.03) {
                let changed = rng.random_range(0..2);
                revisions[changed] = revisions[0].max(revisions[1]) + 1;
                caches[changed].put(now, cached(revisions[changed], parts * PART_BYTES));
            }
            let newer = (0..2_u16).filter(|n| RevisionNumber(revisions[usize::from(*n)]) > own_revision);
            let sources: Vec<DocumentSource> =
                newer.map(|n| source(n, revisions[usize::from(n)])).collect();
            if let Some((address, pull)) = fetcher.next_pull(now, address(9), &sources) {
                let cache = &mut caches[usize::from(address.port() - 1_000)];
                in_flight.extend(cache.part_for(now, &pull));
            }
            if is_unreliable && rng.random_bool(0.2) {
                in_flight.pop();
            }
            if is_unreliable && rng.random_bool(0.4) {
                continue;
            }
            let index = rng.random_range(0..=in_flight.len());
            let Some(part) = in_flight.get(index).cloned() else { continue };
            if !is_unreliable || rng.random_bool(0.8) {
                in_flight.remove(index);
            }
            if let Some(received) = fetcher.take_part(own_revision, &part) {
                prop_assert!(received.revision > own_revision);
                let expected = noise(received.revision.0, parts * PART_BYTES);
                prop_assert_eq!(received.document.unpack().unwrap(), expected);
                own_revision = received.revision;
            }
            prop_assert!(fetcher.buffered_bytes() <= (parts + 1) * PART_BYTES);
        }
        prop_assert_eq!(own_revision.0, revisions[0].max(revisions[1]));
    }
}

/// The digest guards documents on their way. Without it, no part of one passes for a whole.
#[test]
fn no_part_of_a_packed_document_unpacks() {
    let lines = (0..1_000_u32).map(|number| format!("record {number}\n"));
    let packed = PackedDocument::pack(lines.collect::<String>().as_bytes()).unwrap();
    for end in 0..packed.bytes().len() {
        let part = PackedDocument::from_packed(packed.bytes().slice(..end));
        assert!(part.unpack().is_err(), "{end} bytes");
    }
}

/// A part as entries of earlier versions send it.
#[derive(Clone, PartialEq, Message)]
struct EarlierPartFrame {
    #[prost(uint64, tag = "1")]
    revision: u64,
    #[prost(uint64, tag = "2")]
    length: u64,
    #[prost(bytes = "vec", tag = "5")]
    bytes: Vec<u8>,
    #[prost(uint64, optional, tag = "6")]
    record_end: Option<u64>,
}

/// Records before the offset that they send may have a higher revision.
#[test]
fn the_offset_of_an_entry_of_an_earlier_version_is_not_relied_on() {
    let earlier = EarlierPartFrame {
        revision: 4,
        length: 2,
        bytes: b"{}".to_vec(),
        record_end: Some(9),
    };
    let frame = DocumentPartFrame::decode(earlier.encode_to_vec().as_slice()).unwrap();
    let part = DocumentPart::from(frame);
    assert_eq!((part.revision, part.log_end), (RevisionNumber(4), None));
    // Theirs is still sent to them.
    let part = DocumentPart {
        log_end: Some(LogOffset(7)),
        ..part
    };
    let sent = DocumentPartFrame::from(part.clone()).encode_to_vec();
    let read = EarlierPartFrame::decode(sent.as_slice()).unwrap();
    assert_eq!(read.record_end, Some(7));
    let frame = DocumentPartFrame::decode(sent.as_slice()).unwrap();
    assert_eq!(DocumentPart::from(frame), part);
}
