//! Randomised histories of the protocol of holders and mirrors: many seeds,
//! virtual time, counts of what happened, and the shortest failing history.

use std::collections::BTreeMap;
use std::fmt;

use cloverbend::configuration::RepeatRule;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::pair_model::PairWorld;
use crate::pair_step::BrokenRule;
use crate::pair_step::FaultBudget;
use crate::pair_step::WorldStep;

/// What a history broke.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HistoryFailure {
    /// A rule about runs.
    Rule(String),
    /// An accepted request neither ran nor is held by anybody, although no
    /// entry ended without a word and nobody gave up on it.
    Lost(String),
}

impl fmt::Display for HistoryFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Rule(rule) => write!(f, "broke a rule: {rule}"),
            Self::Lost(key) => write!(f, "lost the accepted request {key}"),
        }
    }
}

/// The shape of randomised histories.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HistoryShape {
    /// Entries.
    pub entries: usize,
    /// Requests.
    pub requests: usize,
    /// Steps before the network settles.
    pub steps: usize,
    /// The break, for proofs that fail first.
    pub broken: BrokenRule,
}

/// Counts over many histories.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HistoryCounts {
    /// Histories.
    pub histories: u64,
    /// Steps taken.
    pub steps: u64,
    /// Steps by kind.
    pub by_kind: BTreeMap<&'static str, u64>,
    /// Requests accepted.
    pub accepted: u64,
    /// Requests that ran.
    pub ran: u64,
}

/// A history that failed.
#[derive(Clone, Debug)]
pub struct FailedHistory {
    /// The seed.
    pub seed: u64,
    /// What it broke.
    pub failure: HistoryFailure,
    /// The steps, as few as were found.
    pub steps: Vec<WorldStep>,
}

impl fmt::Display for FailedHistory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {} {}", self.seed, self.failure)?;
        for step in &self.steps {
            writeln!(f, "  {step}")?;
        }
        Ok(())
    }
}

fn kind(step: &WorldStep) -> &'static str {
    match step {
        WorldStep::Accept(..) => "accept",
        WorldStep::Deliver(_) => "deliver",
        WorldStep::Crash(_) => "crash",
        WorldStep::Restart(_) => "restart",
        WorldStep::TakeOver(..) => "take over",
        WorldStep::Leave(_) => "leave",
        WorldStep::GiveUp(..) => "give up",
        WorldStep::GiveUpUnconfirmed(..) => "unconfirmed",
        WorldStep::NewPair(..) => "new pair",
        WorldStep::Release(_) => "release",
        WorldStep::Finish(..) => "finish",
        WorldStep::RetryAtMirror(..) => "retry",
    }
}

/// Draws the world of a seed.
pub fn world_of(seed: u64, shape: HistoryShape) -> PairWorld {
    let mut generator = StdRng::seed_from_u64(seed);
    let rule = if generator.random_bool(0.7) {
        RepeatRule::AtMostOnce
    } else {
        RepeatRule::Repeatable
    };
    // Every second world has only announced faults, so that nothing accepted
    // may be lost in it.
    let announced = generator.random_bool(0.5);
    let unannounced = if announced { 0 } else { 1 };
    let budget = FaultBudget {
        crashes: unannounced * generator.random_range(0..=2),
        take_overs: generator.random_range(0..=2),
        leaves: generator.random_range(0..=(shape.entries as u8 - 1)),
        give_ups: unannounced * generator.random_range(0..=2),
        new_pairs: generator.random_range(0..=3),
        restarts: unannounced * generator.random_range(0..=2),
        retries: unannounced * generator.random_range(0..=2),
    };
    PairWorld::new(shape.entries, shape.requests, rule, budget, shape.broken)
}

/// Takes a step of a drawn history. Deliveries are drawn less often than their
/// number suggests, or the network's old messages would crowd out the rest.
fn draw_step(world: &PairWorld, generator: &mut StdRng) -> Option<WorldStep> {
    let steps = world.enabled();
    let (deliveries, others): (Vec<_>, Vec<_>) = steps
        .into_iter()
        .partition(|step| matches!(step, WorldStep::Deliver(_)));
    let deliver = !deliveries.is_empty() && (others.is_empty() || generator.random_bool(0.7));
    let pool = if deliver { deliveries } else { others };
    if pool.is_empty() {
        return None;
    }
    let index = generator.random_range(0..pool.len());
    pool.into_iter().nth(index)
}

/// Replays steps in a world, skipping those that are not possible, then lets
/// the network settle. Returns what broke.
pub fn replay(start: &PairWorld, steps: &[WorldStep]) -> Option<HistoryFailure> {
    let mut world = start.clone();
    for step in steps {
        if !world.enabled().contains(step) {
            continue;
        }
        if let Some(violation) = world.apply(step) {
            return Some(HistoryFailure::Rule(format!("{violation:?}")));
        }
    }
    finish(start, &mut world)
}

fn finish(start: &PairWorld, world: &mut PairWorld) -> Option<HistoryFailure> {
    if let Some(violation) = world.settle() {
        return Some(HistoryFailure::Rule(format!("{violation:?}")));
    }
    let faults = start.budget();
    let announced = faults.crashes == 0 && faults.give_ups == 0 && faults.restarts == 0;
    if !announced || world.staying() == 0 {
        return None;
    }
    let lost =
        |key: &cloverbend::pair::RequestKey| world.was_accepted(*key) && world.runs(*key) == 0;
    let key = world.keys().into_iter().find(lost)?;
    Some(HistoryFailure::Lost(key.to_string()))
}

/// Runs the history of a seed and adds to `counts`.
///
/// # Errors
///
/// A history that broke a rule, shortened.
pub fn run_history(
    seed: u64,
    shape: HistoryShape,
    counts: &mut HistoryCounts,
) -> Result<(), Box<FailedHistory>> {
    let start = world_of(seed, shape);
    let mut generator = StdRng::seed_from_u64(seed ^ 0x5eed);
    let mut world = start.clone();
    let mut steps = Vec::new();
    for _ in 0..shape.steps {
        let Some(step) = draw_step(&world, &mut generator) else {
            break;
        };
        *counts.by_kind.entry(kind(&step)).or_default() += 1;
        counts.steps += 1;
        let violation = world.apply(&step);
        steps.push(step);
        if let Some(violation) = violation {
            let failure = HistoryFailure::Rule(format!("{violation:?}"));
            return Err(Box::new(shorten(seed, &start, steps, failure)));
        }
    }
    if let Some(failure) = finish(&start, &mut world) {
        return Err(Box::new(shorten(seed, &start, steps, failure)));
    }
    counts.histories += 1;
    for key in world.keys() {
        counts.accepted += u64::from(world.was_accepted(key));
        counts.ran += u64::from(world.runs(key) > 0);
    }
    Ok(())
}

/// Drops steps for as long as the history still fails.
fn shorten(
    seed: u64,
    start: &PairWorld,
    mut steps: Vec<WorldStep>,
    mut failure: HistoryFailure,
) -> FailedHistory {
    let mut index = 0;
    while index < steps.len() {
        let mut fewer = steps.clone();
        fewer.remove(index);
        match replay(start, &fewer) {
            Some(found) => {
                steps = fewer;
                failure = found;
            }
            None => index += 1,
        }
    }
    FailedHistory {
        seed,
        failure,
        steps,
    }
}
