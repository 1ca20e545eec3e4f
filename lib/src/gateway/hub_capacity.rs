//! How much an entry's VM can carry for other entries.

use std::fmt;
use std::str::FromStr;

/// How much a VM can carry as a hub; more is better.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct HubCapacity(pub u32);

/// Megabits a second of news that a whole core handles, by the processor time
/// of hubs at 87 entries.
const CORE_MBPS: f64 = 400.0;

impl HubCapacity {
    /// Computes the strength by what is scarcer, the link or the processor.
    pub fn of(link_mbps: f64, cpu_share: f64) -> Self {
        // Both are positive and small; the cast keeps whole megabits.
        Self(link_mbps.min(cpu_share * CORE_MBPS) as u32)
    }
}

impl fmt::Display for HubCapacity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for HubCapacity {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}
