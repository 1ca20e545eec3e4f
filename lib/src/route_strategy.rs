//! The ways to choose an engine, by name.

use std::fmt;
use std::str::FromStr;

/// How an engine is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteStrategy {
    /// Each engine in turn.
    RoundRobin,
    /// The engine with the least known work.
    LeastLoaded,
    /// The less loaded of two engines drawn at random.
    TwoChoices,
    /// By rendezvous hash of the prompt's first block.
    PrefixHash,
    /// By hash buckets that move from overloaded to underloaded engines.
    BucketHash,
    /// The lowest expected cost: wait, prefill, price.
    FullCost,
}

impl RouteStrategy {
    /// All strategies, in the order of the tables.
    pub const ALL: [Self; 6] = [
        Self::RoundRobin,
        Self::LeastLoaded,
        Self::TwoChoices,
        Self::PrefixHash,
        Self::BucketHash,
        Self::FullCost,
    ];
}

impl fmt::Display for RouteStrategy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::RoundRobin => "round-robin",
            Self::LeastLoaded => "least-loaded",
            Self::TwoChoices => "two-choices",
            Self::PrefixHash => "prefix-hash",
            Self::BucketHash => "bucket-hash",
            Self::FullCost => "full-cost",
        })
    }
}

/// A text that names no strategy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StrategyError(String);

impl fmt::Display for StrategyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not a routing strategy", self.0)
    }
}

impl std::error::Error for StrategyError {}

impl FromStr for RouteStrategy {
    type Err = StrategyError;

    fn from_str(text: &str) -> Result<Self, StrategyError> {
        Self::ALL
            .into_iter()
            .find(|strategy| strategy.to_string() == text)
            .ok_or_else(|| StrategyError(text.to_owned()))
    }
}
