//! Readers of one log of configurations, over drawn orders and groupings of its records:
//! whoever says that its configuration is the newest has the highest revision that the
//! store still has.

use bytes::Bytes;
use cloverbend::gateway::config_follower::ConfigFollower;
use cloverbend::gateway::log_position::LogRead;
use cloverbend::gateway::log_position::ReadProgress;
use cloverbend::gateway::packed_document::PackedDocument;
use cloverbend::gateway::platform_interface::LogRecord;
use cloverbend::gateway::platform_interface::LogSlice;
use cloverbend::gateway::published_config::PublishedConfig;
use cloverbend::gateway::site_config::CallerLimits;
use cloverbend::gateway::site_config::SiteConfig;
use cloverbend::id::LogOffset;
use cloverbend::id::RevisionNumber;
use cloverbend::quantity::Timestamp;
use proptest::prelude::*;
use rstest::rstest;

const LIMITS: CallerLimits = CallerLimits {
    head_bytes: 1_000,
    body_bytes: 1_000,
};
const READERS: usize = 3;
/// The most reads after which a reader of a log that does not change is up to date: a
/// page of the log has a record at least.
const MAX_READS: usize = 200;

/// A record: a revision of the configuration, or a record under another key.
type Published = Option<u64>;

#[derive(Clone, Debug, Default)]
struct LogModel {
    records: Vec<Published>,
    /// When each record was appended.
    appended_at: Vec<Timestamp>,
    /// The first record that is kept.
    first: usize,
}

#[derive(Clone, Debug)]
enum ReadResult {
    Slice(Vec<(u64, Published)>, LogSlice),
    OutOfRange(LogOffset),
}

impl LogModel {
    fn slice(&self, records: &[(u64, Published)], read_end: usize) -> ReadResult {
        let record = |(offset, _): &(u64, Published)| LogRecord {
            offset: LogOffset(*offset),
            key: None,
            value: Bytes::new(),
        };
        let slice = LogSlice {
            records: records.iter().map(record).collect(),
            oldest: LogOffset(self.first as u64),
            read_end: LogOffset(read_end as u64),
            end: LogOffset(self.records.len() as u64),
            ..LogSlice::default()
        };
        ReadResult::Slice(records.to_vec(), slice)
    }

    fn read(&self, read: LogRead, page: usize) -> ReadResult {
        let end = self.records.len();
        let numbered = |index: usize| (index as u64, self.records[index]);
        match read {
            LogRead::Newest => {
                let last_of = |is_config: bool| {
                    let mut indices = 0..end;
                    indices.rfind(|index| self.records[*index].is_some() == is_config)
                };
                let newest = [true, false].into_iter().filter_map(last_of);
                let newest: Vec<_> = newest.map(numbered).collect();
                self.slice(&newest, end)
            }
            LogRead::Hidden(from) | LogRead::Following(from) => {
                let from = from.0 as usize;
                if from < self.first || from > end {
                    return ReadResult::OutOfRange(LogOffset(self.first as u64));
                }
                let read_end = end.min(from + page);
                let records: Vec<_> = (from..read_end).map(numbered).collect();
                self.slice(&records, read_end)
            }
        }
    }

    fn append(&mut self, now: Timestamp, records: Vec<Published>) {
        self.appended_at.extend(records.iter().map(|_| now));
        self.records.extend(records);
    }

    /// Returns the highest revision that the store still has, of those that were published
    /// before a point in time.
    fn highest_before(&self, time: Timestamp) -> u64 {
        let is_config = |index: &usize| self.records[*index].is_some();
        let newest = (0..self.records.len()).rev().find(is_config);
        let kept = (self.first..self.records.len()).chain(newest);
        let earlier = kept.filter(|index| self.appended_at[*index] < time);
        let revisions = earlier.filter_map(|index| self.records[index]);
        revisions.max().unwrap_or(0)
    }
}

/// An entry that reads the log. A read that was sent returns at a later step.
#[derive(Clone, Debug, Default)]
struct ReaderModel {
    follower: ConfigFollower,
    /// The read, its result, and when it was sent.
    pending: Option<(LogRead, ReadResult, Timestamp)>,
}

impl ReaderModel {
    /// Sends a read, or takes in the result of the last one.
    fn step(&mut self, log: &LogModel, page: usize, now: Timestamp) -> Result<(), TestCaseError> {
        let Some((read, result, sent_at)) = self.pending.take() else {
            let read = self.follower.next_read();
            self.pending = Some((read, log.read(read, page), now));
            return Ok(());
        };
        let confirmed_before = self.follower.confirmed_at();
        match result {
            ReadResult::OutOfRange(oldest) => {
                if let Some(read_at) = self.follower.note_dropped(oldest) {
                    self.follower.confirm(self.follower.revision(), read_at);
                }
            }
            ReadResult::Slice(records, slice) => {
                let progress = self.follower.note_slice(read, &slice, sent_at);
                self.adopt_highest(&records);
                if progress == ReadProgress::Current {
                    self.follower.confirm(self.follower.revision(), sent_at);
                }
            }
        }
        let confirmed_at = self.follower.confirmed_at();
        if let Some(confirmed_at) = confirmed_at.filter(|_| confirmed_at != confirmed_before) {
            let highest = log.highest_before(confirmed_at);
            prop_assert!(self.follower.revision() >= RevisionNumber(highest));
        }
        Ok(())
    }

    fn adopt_highest(&mut self, records: &[(u64, Published)]) {
        let published = records.iter().filter_map(|(offset, revision)| {
            Some(PublishedConfig {
                revision: Some(RevisionNumber((*revision)?)),
                log_end: LogOffset(offset + 1),
                document: Bytes::new(),
            })
        });
        let published: Vec<_> = published.collect();
        let in_force = self.follower.revision();
        let highest = PublishedConfig::by_precedence(&published, in_force);
        let is_complete = self.follower.log_end().is_some();
        if let Some(config) = highest.first() {
            let log_end = is_complete.then_some(config.log_end);
            self.adopt(config.revision.unwrap(), log_end);
        }
    }

    fn adopt(&mut self, revision: RevisionNumber, log_end: Option<LogOffset>) {
        let document = PackedDocument::pack(b"{}").unwrap();
        let config = SiteConfig::new(revision, LIMITS);
        self.follower.offer(Timestamp(0), config, document, log_end);
    }
}

#[derive(Clone, Debug)]
enum ModelStep {
    /// Records arrive at the same moment.
    Append(Vec<Published>),
    /// The store drops all but the last records.
    Drop(usize),
    /// A reader sends a read, or takes in its result, with pages of this length.
    Read(usize, usize),
    /// A reader passes its document on to another.
    Send(usize, usize),
    /// A reader starts again.
    Restart(usize),
}

fn any_step() -> impl Strategy<Value = ModelStep> {
    let published = prop::option::weighted(0.8, 1_u64..60);
    prop_oneof![
        3 => prop::collection::vec(published, 1..6).prop_map(ModelStep::Append),
        1 => (0_usize..6).prop_map(ModelStep::Drop),
        8 => (0..READERS, 1_usize..5).prop_map(|(reader, page)| ModelStep::Read(reader, page)),
        2 => (0..READERS, 0..READERS).prop_map(|(from, to)| ModelStep::Send(from, to)),
        1 => (0..READERS).prop_map(ModelStep::Restart),
    ]
}

fn send(readers: &mut [ReaderModel], from: usize, to: usize) {
    let sender = &readers[from].follower;
    let revision = sender.revision();
    if revision > readers[to].follower.revision() {
        let log_end = sender.log_end();
        readers[to].adopt(revision, log_end);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4_000, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn whoever_confirms_a_configuration_has_the_highest_revision_that_is_left(
        steps in prop::collection::vec(any_step(), 1..80),
    ) {
        let mut log = LogModel::default();
        let mut readers = vec![ReaderModel::default(); READERS];
        for (time, step) in steps.into_iter().enumerate() {
            let now = Timestamp::from_millis(1 + time as u64);
            match step {
                ModelStep::Append(records) => log.append(now, records),
                ModelStep::Drop(kept) => {
                    log.first = log.first.max(log.records.len().saturating_sub(kept));
                }
                ModelStep::Read(reader, page) => readers[reader].step(&log, page, now)?,
                ModelStep::Send(from, to) => send(&mut readers, from, to),
                ModelStep::Restart(reader) => readers[reader] = ReaderModel::default(),
            }
        }
        for reader in &mut readers {
            let begun = Timestamp::from_millis(1_000);
            let mut reads = 0;
            while reader.follower.adopted().is_some() && reader.follower.confirmed_at() < Some(begun) {
                reader.step(&log, 1, Timestamp::from_millis(1_000 + reads as u64))?;
                reads += 1;
                prop_assert!(reads < MAX_READS, "the reader does not come to the end");
            }
        }
    }
}

/// An entry that starts where an older revision is the newest record.
#[test]
fn a_reader_that_starts_reads_what_the_newest_record_hides() {
    let mut log = LogModel::default();
    log.append(Timestamp(0), vec![Some(1), Some(5), Some(4)]);
    let mut reads = Vec::new();
    for first in [0, 1, 2, 3] {
        log.first = first;
        let mut reader = ReaderModel::default();
        let mut calls = 0;
        while reader.follower.confirmed_at().is_none() {
            reader.step(&log, 10, Timestamp(1)).unwrap();
            calls += usize::from(reader.pending.is_some());
        }
        reads.push((first, reader.follower.revision().0, calls));
    }
    assert_eq!(reads, [(0, 5, 2), (1, 5, 3), (2, 4, 3), (3, 4, 2)]);
}

/// Nothing is hidden from a reader at the first start, and it makes no further call.
#[test]
fn a_reader_of_a_log_without_older_records_reads_once() {
    let mut log = LogModel::default();
    log.append(Timestamp(0), vec![Some(1), None]);
    let mut reader = ReaderModel::default();
    reader.step(&log, 10, Timestamp(1)).unwrap();
    reader.step(&log, 10, Timestamp(2)).unwrap();
    assert_eq!(reader.follower.confirmed_at(), Some(Timestamp(1)));
    assert_eq!(
        reader.follower.next_read(),
        LogRead::Following(LogOffset(2))
    );
}

/// A store that answers so may lack a newer revision as well.
#[rstest]
#[case::shorter_than_before(LogRead::Following(LogOffset(3)), 2)]
#[case::empty(LogRead::Newest, 0)]
fn a_log_that_ends_too_early_confirms_nothing(#[case] read: LogRead, #[case] end: u64) {
    let mut log = LogModel::default();
    log.append(Timestamp(0), vec![Some(3), Some(4), Some(5)]);
    let mut reader = ReaderModel::default();
    while reader.follower.confirmed_at().is_none() {
        reader.step(&log, 10, Timestamp(1)).unwrap();
    }
    let slice = LogSlice {
        read_end: LogOffset(end),
        end: LogOffset(end),
        ..LogSlice::default()
    };
    let progress = reader.follower.note_slice(read, &slice, Timestamp(2));
    assert_eq!(progress, ReadProgress::Contradicted);
    assert_eq!(reader.follower.next_read(), LogRead::Newest);
}
