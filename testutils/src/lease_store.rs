//! The store of the lease's model: one topic with appends on a condition, that
//! may be lost in part and come back from an older copy.

use std::sync::Arc;

use cloverbend::gateway::duty_record::DutyRecord;
use cloverbend::id::LogOffset;
use cloverbend::id::StoreGeneration;

/// The topic.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ModelStore {
    first: usize,
    records: Arc<Vec<DutyRecord>>,
    generation: StoreGeneration,
}

impl ModelStore {
    /// Returns the oldest offset that is kept.
    pub fn first(&self) -> LogOffset {
        LogOffset(self.first as u64)
    }

    /// Returns the offset of the next append.
    pub fn end(&self) -> LogOffset {
        LogOffset(self.records.len() as u64)
    }

    /// Returns the generation.
    pub fn generation(&self) -> StoreGeneration {
        self.generation
    }

    /// Returns the records from an offset on, which has to be kept.
    pub fn records(&self, from: LogOffset) -> impl Iterator<Item = (LogOffset, &DutyRecord)> {
        let from = from.0 as usize;
        let records = self.records.iter().enumerate().skip(from);
        records.map(|(offset, record)| (LogOffset(offset as u64), record))
    }

    /// Appends a record, if the topic ends where it is expected to; otherwise
    /// returns where it ends.
    ///
    /// # Errors
    ///
    /// The topic ends elsewhere.
    pub fn append(
        &mut self,
        record: DutyRecord,
        expected_end: Option<LogOffset>,
    ) -> Result<(LogOffset, StoreGeneration), LogOffset> {
        let end = self.end();
        if expected_end.is_some_and(|expected| expected != end) {
            return Err(end);
        }
        Arc::make_mut(&mut self.records).push(record);
        Ok((end, self.generation))
    }

    /// Comes back from a copy that had `length` records.
    pub fn restore(&mut self, length: usize) {
        Arc::make_mut(&mut self.records).truncate(length);
        self.first = self.first.min(length);
        self.generation = StoreGeneration(self.generation.0 + 1);
    }

    /// Forgets all records so far.
    pub fn forget(&mut self) {
        self.first = self.records.len();
    }
}
