//! The records of the duties' topic, in the order of the store.
//!
//! Every record tells under which tenure it was written: stores keep a topic's
//! history for seconds only, so that a reader may find any part of it.

use serde::Deserialize;
use serde::Serialize;

use crate::gateway::usage_table::IncarnationCounts;
use crate::gateway::usage_table::WindowCounts;
use crate::gateway::usage_table::WindowNumber;
use crate::id::EntryName;
use crate::id::FenceToken;
use crate::id::Incarnation;
use crate::id::StoreGeneration;

/// One entry's time as the holder, from its claim on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TenureInfo {
    /// The holder.
    pub entry: EntryName,
    /// Its life.
    pub incarnation: Incarnation,
    /// The fence of its calls.
    pub fence: FenceToken,
    /// The store's generation in which it claimed. None from entries of
    /// versions that did not know generations.
    pub generation: Option<StoreGeneration>,
    /// The entries that may claim once a short term is over; all others wait
    /// for the long one.
    pub successors: Vec<EntryName>,
    /// Milliseconds since it claimed, by its own clock.
    #[serde(default)]
    pub held_ms: u64,
}

/// A record of the duties' topic.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DutyRecord {
    /// An entry takes the lease. Its fence follows from the record's offset.
    Claim {
        /// The entry.
        entry: EntryName,
        /// Its life.
        incarnation: Incarnation,
        /// The store's generation when it claimed. The claim counts only if
        /// the store was still in it.
        #[serde(default)]
        generation: Option<StoreGeneration>,
        /// See [`TenureInfo::successors`].
        #[serde(default)]
        successors: Vec<EntryName>,
    },
    /// The holder goes on.
    Renewal {
        /// Its tenure.
        tenure: TenureInfo,
    },
    /// The holder has ended its last call and makes no more.
    Release {
        /// Its tenure.
        tenure: TenureInfo,
    },
    /// The counts that are reported for a window.
    Usage {
        /// The window.
        window: WindowNumber,
        /// The counts.
        counts: WindowCounts,
        /// The tenure in which this was decided.
        #[serde(default)]
        tenure: Option<TenureInfo>,
    },
    /// What the holder knows so far of windows that are not decided yet. It is
    /// kept for the case that all entries are lost at once.
    Interim {
        /// The counts, by window and by the life that counted.
        windows: IncarnationCounts,
        /// The tenure in which this was written.
        #[serde(default)]
        tenure: Option<TenureInfo>,
    },
}

impl DutyRecord {
    /// Returns the tenure that a record tells of, if it is no claim.
    pub fn tenure(&self) -> Option<&TenureInfo> {
        match self {
            Self::Claim { .. } => None,
            Self::Renewal { tenure } | Self::Release { tenure } => Some(tenure),
            Self::Usage { tenure, .. } | Self::Interim { tenure, .. } => tenure.as_ref(),
        }
    }
}
