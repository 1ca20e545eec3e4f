//! Which configuration is in force: the rule that every reader of the
//! configuration stream applies.
//!
//! A publication names the revision that it replaces. The first record in log
//! order that replaces the current revision wins; later ones for the same
//! revision lose. A snapshot repeats the current revision so that it outlives
//! the log's retention. The view only ever moves to a higher number.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::configuration::ConfigDocument;
use crate::configuration::ConfigView;
use crate::finding::FindingList;
use crate::id::IdError;
use crate::id::LogOffset;
use crate::id::RevisionNumber;

/// Identifies one attempt of an operator to publish, so that a lost answer
/// can be distinguished from a record that was never appended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PublicationId(pub String);

impl fmt::Display for PublicationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for PublicationId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        Ok(Self(text.to_owned()))
    }
}

/// A record of the configuration stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ConfigRecord {
    /// An operator's publication.
    Publication {
        /// Identifies the attempt.
        publication: PublicationId,
        /// The revision that it replaces; 0 if there is none yet.
        replaces: RevisionNumber,
        /// The new configuration.
        document: ConfigDocument,
    },
    /// A repetition of the revision in force.
    Snapshot {
        /// The publication that won this number.
        publication: PublicationId,
        /// The number in force.
        number: RevisionNumber,
        /// The configuration.
        document: ConfigDocument,
    },
}

/// A revision in force.
#[derive(Clone, Debug)]
pub struct ConfigRevision {
    /// Its number.
    pub number: RevisionNumber,
    /// The publication that won the number.
    pub publication: PublicationId,
    /// Its content.
    pub view: Arc<ConfigView>,
}

/// What a record did to the revision in force.
#[derive(Clone, Debug, PartialEq)]
pub enum RecordOutcome {
    /// The record's content is in force now.
    Applied(RevisionNumber),
    /// Another publication had replaced the same revision before.
    Lost {
        /// The loser.
        publication: PublicationId,
        /// The revision in force when it lost.
        current: RevisionNumber,
        /// The publication that won that revision.
        winner: PublicationId,
    },
    /// The record repeats what is known, or is older.
    Ignored,
    /// The content breaks a check; the revision in force stays.
    Rejected(FindingList),
    /// The record is not of a known form; the revision in force stays.
    Undecodable(String),
    /// The reader cannot judge the record, since it lacks what came before.
    Unjudged,
}

/// Follows the configuration stream.
#[derive(Clone, Debug, Default)]
pub struct RevisionFollower {
    current: Option<ConfigRevision>,
    next: LogOffset,
    saw_start: bool,
    restated: LogOffset,
}

impl RevisionFollower {
    /// Returns a follower that knows nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the revision in force, if one is known.
    pub fn current(&self) -> Option<&ConfigRevision> {
        self.current.as_ref()
    }

    /// Returns the number in force, 0 if none is known.
    pub fn number(&self) -> RevisionNumber {
        self.current
            .as_ref()
            .map_or(RevisionNumber(0), |revision| revision.number)
    }

    /// Returns the offset to read from.
    pub fn next_offset(&self) -> LogOffset {
        self.next
    }

    /// Returns the offset at which the current revision was last stated.
    pub fn restated_at(&self) -> LogOffset {
        self.restated
    }

    /// Notes that the log's records start at `first`. Reading from offset 0
    /// means that nothing came before.
    pub fn start_at(&mut self, first: LogOffset) {
        if first.0 == 0 {
            self.saw_start = true;
        }
        if first > self.next {
            // Records between were lost to retention: publications can no
            // longer be judged until a snapshot restates the current number.
            self.saw_start = false;
            self.next = first;
        }
    }

    /// Applies the record at `offset`. Repeated offsets are ignored.
    pub fn apply(&mut self, offset: LogOffset, text: &str) -> RecordOutcome {
        if offset < self.next {
            return RecordOutcome::Ignored;
        }
        self.next = LogOffset(offset.0 + 1);
        match serde_json::from_str(text) {
            Ok(record) => self.apply_record(offset, record),
            Err(error) => RecordOutcome::Undecodable(error.to_string()),
        }
    }

    fn apply_record(&mut self, offset: LogOffset, record: ConfigRecord) -> RecordOutcome {
        match record {
            ConfigRecord::Publication {
                publication,
                replaces,
                document,
            } => self.apply_publication(offset, publication, replaces, document),
            ConfigRecord::Snapshot {
                publication,
                number,
                document,
            } => {
                if self.number() == number {
                    self.restated = offset;
                    self.saw_start = true;
                    return RecordOutcome::Ignored;
                }
                let outcome = self.adopt(number, publication, document);
                if matches!(outcome, RecordOutcome::Applied(_)) {
                    self.restated = offset;
                    self.saw_start = true;
                }
                outcome
            }
        }
    }

    fn apply_publication(
        &mut self,
        offset: LogOffset,
        publication: PublicationId,
        replaces: RevisionNumber,
        document: ConfigDocument,
    ) -> RecordOutcome {
        let number = RevisionNumber(replaces.0 + 1);
        if let Some(current) = &self.current {
            if current.publication == publication {
                return RecordOutcome::Ignored;
            }
            if replaces != current.number {
                return RecordOutcome::Lost {
                    publication,
                    current: current.number,
                    winner: current.publication.clone(),
                };
            }
        }
        if !self.saw_start {
            return RecordOutcome::Unjudged;
        }
        if self.current.is_none() && replaces.0 != 0 {
            return RecordOutcome::Unjudged;
        }
        let outcome = self.adopt(number, publication, document);
        if matches!(outcome, RecordOutcome::Applied(_)) {
            self.restated = offset;
        }
        outcome
    }

    /// Takes over a revision that a peer has in force, while the log is down.
    /// An older or equal one is ignored.
    pub fn adopt(
        &mut self,
        number: RevisionNumber,
        publication: PublicationId,
        document: ConfigDocument,
    ) -> RecordOutcome {
        if number <= self.number() {
            return RecordOutcome::Ignored;
        }
        let before = self.number();
        match ConfigView::check(document) {
            Ok(view) => {
                self.current = Some(ConfigRevision {
                    number,
                    publication,
                    view: Arc::new(view),
                });
                assert!(self.number() > before, "a revision must never go back");
                RecordOutcome::Applied(number)
            }
            Err(findings) => RecordOutcome::Rejected(findings),
        }
    }
}
