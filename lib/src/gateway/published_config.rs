//! The configurations among the records of a read of the log.

use std::cmp::Reverse;

use bytes::Bytes;

use crate::gateway::platform_interface::LogRecord;
use crate::gateway::platform_interface::LogSlice;
use crate::gateway::platform_interface::PlatformFormat;
use crate::id::LogOffset;
use crate::id::RevisionNumber;

/// A configuration as one record of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublishedConfig {
    /// The revision, if it can be decoded.
    pub revision: Option<RevisionNumber>,
    /// The offset after the record.
    pub log_end: LogOffset,
    /// The document.
    pub document: Bytes,
}

impl PublishedConfig {
    /// Returns the configurations of a slice in log order.
    pub fn all_of(format: &dyn PlatformFormat, slice: &LogSlice) -> Vec<Self> {
        let key = format.config_key();
        let is_config =
            |record: &&LogRecord| record.key.as_deref() == Some(key) && !record.value.is_empty();
        let records = slice.records.iter();
        records
            .filter(is_config)
            .map(|record| Self {
                revision: format.decode_config_revision(&record.value).ok(),
                log_end: LogOffset(record.offset.0 + 1),
                document: record.value.clone(),
            })
            .collect()
    }

    /// Returns the configurations that may replace the revision `in_force`, in the order in
    /// which to try them: first those whose revision is unknown, then the highest ones. Of
    /// those with the same revision the first counts, as if they were read one by one.
    pub fn by_precedence(published: &[Self], in_force: RevisionNumber) -> Vec<&Self> {
        let may_replace = |config: &&Self| config.revision.is_none_or(|own| own > in_force);
        let mut newer: Vec<&Self> = published.iter().filter(may_replace).collect();
        newer.sort_by_key(|config| match config.revision {
            None => (false, Reverse(RevisionNumber(0)), config.log_end),
            Some(revision) => (true, Reverse(revision), config.log_end),
        });
        newer
    }
}
