//! Visits every state that a model world can reach.

use std::collections::HashSet;
use std::collections::VecDeque;
use std::fmt;
use std::hash::BuildHasher;
use std::hash::BuildHasherDefault;
use std::hash::Hash;

use twox_hash::XxHash64;

/// How a world moves.
#[derive(Clone, Copy, Debug)]
pub struct WorldRules<World, Step, Violation> {
    /// Returns every step that is possible now, in a fixed order.
    pub enabled: fn(&World) -> Vec<Step>,
    /// Takes a step; returns the rule that it broke.
    pub apply: fn(&mut World, &Step) -> Option<Violation>,
}

/// How far an exploration goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExploreBounds {
    /// The most states. More are an error, since the result would then prove
    /// nothing.
    pub states: usize,
    /// The most steps of a history.
    pub steps: usize,
}

/// What an exploration found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExploreReport<Step, Violation> {
    /// The number of states reached.
    pub states: usize,
    /// The rule that was broken first, with the shortest history to it.
    pub violation: Option<(Violation, Vec<Step>)>,
}

impl<Step: fmt::Display, Violation: fmt::Debug> fmt::Display for ExploreReport<Step, Violation> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.violation {
            None => write!(f, "{} states, no violation", self.states),
            Some((violation, history)) => {
                writeln!(f, "{violation:?} after {} steps:", history.len())?;
                let lines: Vec<String> = history.iter().map(Step::to_string).collect();
                f.write_str(&lines.join("\n"))
            }
        }
    }
}

/// Visits every state that can be reached from `start` within `bounds`, breadth
/// first. States are distinguished by a hash of 64 bits, so that a few million of
/// them are confused with a chance of less than one in a million.
///
/// # Panics
///
/// More states than the bounds allow.
pub fn explore<World: Clone + Hash, Step: Clone, Violation>(
    start: World,
    rules: WorldRules<World, Step, Violation>,
    bounds: ExploreBounds,
) -> ExploreReport<Step, Violation> {
    let hasher = BuildHasherDefault::<XxHash64>::default();
    let mut parents: Vec<(u32, Option<Step>)> = vec![(0, None)];
    let mut known: HashSet<u64> = HashSet::from([hasher.hash_one(&start)]);
    let mut queue = VecDeque::from([(0, 0, start)]);
    while let Some((number, steps, world)) = queue.pop_front() {
        if steps == bounds.steps {
            continue;
        }
        for step in (rules.enabled)(&world) {
            let mut next = world.clone();
            let violation = (rules.apply)(&mut next, &step);
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
            let limit = bounds.states;
            assert!(index < limit, "more than {limit} states");
            parents.push((number as u32, Some(step)));
            queue.push_back((index, steps + 1, next));
        }
    }
    ExploreReport {
        states: known.len(),
        violation: None,
    }
}

fn history_of<Step: Clone>(parents: &[(u32, Option<Step>)], number: usize) -> Vec<Step> {
    let mut history = Vec::new();
    let mut at = number;
    while let (parent, Some(step)) = &parents[at] {
        history.push(step.clone());
        at = *parent as usize;
    }
    history.reverse();
    history
}
