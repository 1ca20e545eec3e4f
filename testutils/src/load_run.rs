//! What an experiment on routing is: demand, what happens, and its figures.

use std::collections::BTreeMap;
use std::time::Duration;

use cloverbend::route_strategy::RouteStrategy;
use cloverbend::routing::CostWeights;

use crate::engine_model::EngineShape;

/// Whose requests are drawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DemandKind {
    /// Excursion reports: many short requests over a few long templates.
    ColdChain,
    /// Feeding plans and chats: sessions with growing histories.
    PetFood,
}

/// What happens during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Nothing.
    Steady,
    /// A zone is reclaimed in the middle, and replaced.
    ZoneReclaim,
    /// A zone is reclaimed, and replacements are refused.
    Refused,
    /// One engine is four times as slow.
    SlowEngine,
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Self; 4] = [
        Self::Steady,
        Self::ZoneReclaim,
        Self::Refused,
        Self::SlowEngine,
    ];

    /// Returns the name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::ZoneReclaim => "zone reclaim",
            Self::Refused => "refused",
            Self::SlowEngine => "slow engine",
        }
    }
}

/// Whether requests that would be late are refused at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Everything is taken.
    All,
    /// What is expected to wait behind others for longer is refused.
    QueueLimit(Duration),
    /// What waits behind others at all and is expected to take longer until
    /// its first token is refused.
    EarlyRefusal(Duration),
}

/// How running work leaves an engine that is reclaimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveRule {
    /// The prompt and the tokens so far are computed again.
    Recompute,
    /// KV caches are moved within the notice.
    MoveKv,
    /// Requests stay until the engine is taken back.
    Stay,
}

/// A run.
#[derive(Clone, Copy, Debug)]
pub struct LoadRun {
    /// The seed.
    pub seed: u64,
    /// The demand.
    pub demand: DemandKind,
    /// Requests a second.
    pub rate: f64,
    /// What happens.
    pub scenario: Scenario,
    /// How engines are chosen.
    pub strategy: RouteStrategy,
    /// The weights of full cost.
    pub weights: CostWeights,
    /// Whether late requests are refused.
    pub admission: Admission,
    /// How running work is moved.
    pub moves: MoveRule,
    /// Engines.
    pub engines: usize,
    /// Entries.
    pub entries: usize,
    /// How many entries each takes to send as much as itself.
    pub sharers: usize,
    /// How long requests arrive.
    pub duration: Duration,
    /// The shape of the engines.
    pub shape: EngineShape,
}

/// What came of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadFigures {
    /// The 95th percentile of the time to the first token, in milliseconds.
    pub first_token_p95: f64,
    /// The median of the same.
    pub first_token_p50: f64,
    /// The 95th percentile of the time between tokens, in milliseconds.
    pub between_p95: f64,
    /// The share of all requests whose first token came within the target.
    pub within: f64,
    /// Requests within the target a second.
    pub goodput: f64,
    /// Prompt tokens computed again although computed before, per thousand
    /// tokens generated.
    pub recomputed: f64,
    /// Of these, those computed because work moved.
    pub recomputed_moved: f64,
    /// The price of a million tokens of requests within the target.
    pub cost: f64,
    /// The share of requests refused.
    pub refused: f64,
    /// Requests moved between engines.
    pub moved: u64,
}

/// Figures by name, in the order of the tables.
pub fn figure_columns(figures: &LoadFigures) -> BTreeMap<&'static str, f64> {
    BTreeMap::from([
        ("1 first token p95 ms", figures.first_token_p95),
        ("2 between p95 ms", figures.between_p95),
        ("3 within %", figures.within * 100.0),
        ("4 recomputed /1000", figures.recomputed),
        ("5 of these moved", figures.recomputed_moved),
        ("6 cost /M tokens", figures.cost),
        ("7 refused %", figures.refused * 100.0),
    ])
}
