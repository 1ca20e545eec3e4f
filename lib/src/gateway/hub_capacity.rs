//! How much gossip of other entries the VM of an entry can handle as a hub.

use std::fmt;
use std::str::FromStr;

/// How much gossip a VM can handle as a hub, in megabits per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct HubCapacity(pub u32);

/// Megabits per second of gossip that a whole CPU core handles.
const CORE_MBPS: f64 = 400.0;

impl HubCapacity {
    /// Computes the capacity from the scarcer resource, the link or the CPU.
    pub fn of(link_mbps: f64, cpu_share: f64) -> Self {
        // Both values are positive and small, so the cast only drops the fraction.
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
