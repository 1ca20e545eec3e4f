//! Visits every state that a model world can reach.

use std::collections::HashSet;
use std::collections::VecDeque;
use std::fmt;
use std::hash::BuildHasher;
use std::hash::BuildHasherDefault;

use twox_hash::XxHash64;

use crate::pair_model::PairWorld;
use crate::pair_step::WorldStep;
use crate::pair_step::WorldViolation;

/// What an exploration found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExploreReport {
    /// The number of states reached.
    pub states: usize,
    /// The rule that was broken first, with the shortest history to it.
    pub violation: Option<(WorldViolation, Vec<WorldStep>)>,
}

impl fmt::Display for ExploreReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.violation {
            None => write!(f, "{} states, no violation", self.states),
            Some((violation, history)) => {
                writeln!(f, "{violation:?} after {} steps:", history.len())?;
                let lines: Vec<String> = history.iter().map(WorldStep::to_string).collect();
                f.write_str(&lines.join("\n"))
            }
        }
    }
}

/// Visits every state that can be reached from `start`, breadth first, up to
/// `limit` states. States are told apart by a hash of 64 bits, so that a few
/// million of them are confused with a chance of less than one in a million.
///
/// # Panics
///
/// More states than `limit`, since the result would then prove nothing.
pub fn explore(start: PairWorld, limit: usize) -> ExploreReport {
    let hasher = BuildHasherDefault::<XxHash64>::default();
    let mut parents: Vec<(u32, Option<WorldStep>)> = vec![(0, None)];
    let mut known: HashSet<u64> = HashSet::from([hasher.hash_one(&start)]);
    let mut queue = VecDeque::from([(0, start)]);
    while let Some((number, world)) = queue.pop_front() {
        for step in world.enabled() {
            let mut next = world.clone();
            let violation = next.apply(&step);
            if let Some(violation) = violation {
                let mut history = history_of(&parents, number);
                history.push(step);
                return ExploreReport {
                    states: known.len(),
                    violation: Some((violation, history)),
                };
            }
            if !known.insert(hasher.hash_one(&next)) {
                continue;
            }
            let index = parents.len();
            assert!(index < limit, "more than {limit} states");
            parents.push((number as u32, Some(step)));
            queue.push_back((index, next));
        }
    }
    ExploreReport {
        states: known.len(),
        violation: None,
    }
}

fn history_of(parents: &[(u32, Option<WorldStep>)], number: usize) -> Vec<WorldStep> {
    let mut history = Vec::new();
    let mut at = number;
    while let (parent, Some(step)) = &parents[at] {
        history.push(step.clone());
        at = *parent as usize;
    }
    history.reverse();
    history
}
