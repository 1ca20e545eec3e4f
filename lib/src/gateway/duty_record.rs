//! The records of the topic `LogTopic::Duties`.
//!
//! Every record but a claim names the tenure in which it was written. The store keeps
//! records for seconds only, so a reader may not find the claim that began the tenure.

use serde::Deserialize;
use serde::Serialize;

use crate::gateway::usage_table::IncarnationCounts;
use crate::gateway::usage_table::WindowCounts;
use crate::gateway::usage_table::WindowNumber;
use crate::id::EntryName;
use crate::id::FenceToken;
use crate::id::Incarnation;
use crate::id::StoreGeneration;

/// The tenure of one entry as the lease holder, which begins with its claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TenureInfo {
    /// The holder.
    pub entry: EntryName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// The fencing token of its calls.
    pub fence: FenceToken,
    /// The generation of the store in which it claimed. None in records of older
    /// versions.
    pub generation: Option<StoreGeneration>,
    /// The entries that may claim after the short term. All others wait for the long
    /// term.
    pub successors: Vec<EntryName>,
    /// Milliseconds since it claimed, by its clock.
    #[serde(default)]
    pub held_ms: u64,
}

/// A record of the topic `LogTopic::Duties`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DutyRecord {
    /// An entry claims the lease. Its fencing token follows from the generation and the
    /// record's offset.
    Claim {
        /// The entry.
        entry: EntryName,
        /// Its incarnation.
        incarnation: Incarnation,
        /// The generation of the store as the entry knew it. The claim counts only if
        /// the store was still in this generation.
        #[serde(default)]
        generation: Option<StoreGeneration>,
        /// See [`TenureInfo::successors`].
        #[serde(default)]
        successors: Vec<EntryName>,
    },
    /// The holder renews the lease.
    Renewal {
        /// Its tenure.
        tenure: TenureInfo,
    },
    /// The holder gave the lease up. Its last call has ended.
    Release {
        /// Its tenure.
        tenure: TenureInfo,
    },
    /// The holder decided the counts to report for a window.
    Usage {
        /// The window.
        window: WindowNumber,
        /// The counts.
        counts: WindowCounts,
        /// The tenure in which the holder decided.
        #[serde(default)]
        tenure: Option<TenureInfo>,
    },
    /// The counts so far of windows that are not decided yet, as far as they changed since
    /// the record before. The next holder restores them from all records if all entries
    /// are lost at once.
    Interim {
        /// The counts by window, and by the incarnation of the entry that counted.
        windows: IncarnationCounts,
        /// The tenure in which the holder saved them.
        #[serde(default)]
        tenure: Option<TenureInfo>,
    },
}

impl DutyRecord {
    /// Returns the tenure that a record names. A claim names none.
    pub fn tenure(&self) -> Option<&TenureInfo> {
        match self {
            Self::Claim { .. } => None,
            Self::Renewal { tenure } | Self::Release { tenure } => Some(tenure),
            Self::Usage { tenure, .. } | Self::Interim { tenure, .. } => tenure.as_ref(),
        }
    }
}
